"""Measures how long a change takes to be in force on all daemons.

A thread polls the status of every daemon while the change is applied.
"""

from threading import Event, Thread
from time import monotonic, sleep
from typing import Any, NamedTuple

from demo.fleet import Fleet

_POLL_S = 0.005
_TIMEOUT_S = 30.0


class Convergence(NamedTuple):
    """The time between the first and the last daemon to run a version.

    `daemons` is the number of daemons that were polled.
    """

    version: int
    seconds: float
    daemons: int


def get_version(status: dict[str, Any] | None) -> int:
    """Returns the version that a daemon runs; 0 without a status."""
    if status is None:
        return 0
    return status['running_version']


class ConvergenceWatch:
    """A thread that records when each daemon first runs a version."""

    def __init__(self, fleet: Fleet, version: int) -> None:
        """Prepares to poll the running daemons of `fleet` for `version`."""
        self._fleet = fleet
        self._version = version
        self._converged_at: dict[str, float] = {}
        self._converged = Event()
        self._thread = Thread(target=self._poll, daemon=True)

    def start(self) -> None:
        """Starts the polling thread."""
        self._thread.start()

    def wait(self) -> Convergence:
        """Waits until every daemon runs the version.

        Raises `TimeoutError` with the names of the daemons that do not.
        """
        if not self._converged.wait(_TIMEOUT_S):
            behind = set(self._fleet.running_daemons()) - set(
                self._converged_at
            )
            raise TimeoutError(
                f'version {self._version} is not in force on {sorted(behind)}',
            )
        times = self._converged_at.values()
        seconds = max(times) - min(times)
        return Convergence(self._version, seconds, len(self._converged_at))

    def _poll(self) -> None:
        start = monotonic()
        while monotonic() - start < _TIMEOUT_S:
            for instance in self._fleet.running_daemons():
                self._poll_instance(instance)
            if set(self._converged_at) >= set(self._fleet.running_daemons()):
                self._converged.set()
                return
            sleep(_POLL_S)

    def _poll_instance(self, instance: str) -> None:
        if instance in self._converged_at:
            return
        if get_version(self._fleet.read_status(instance)) >= self._version:
            self._converged_at[instance] = monotonic()
