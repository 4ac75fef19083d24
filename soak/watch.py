"""Detects daemons whose version decreases."""

from threading import Event, Thread

from demo.convergence import get_version
from demo.fleet import Fleet

_POLL_S = 0.05


class VersionWatch:
    """A thread that polls the versions of the running daemons.

    `reversals` describes each decrease of a version.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Starts the polling thread."""
        self.reversals: list[str] = []
        self._fleet = fleet
        self._highest: dict[str, int] = {}
        self._stopping = Event()
        self._thread = Thread(target=self._poll, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stops the polling thread."""
        self._stopping.set()
        self._thread.join()

    def _poll(self) -> None:
        while not self._stopping.wait(_POLL_S):
            for instance in self._fleet.running_daemons():
                status = self._fleet.read_status(instance)
                version = get_version(status)
                if version:
                    self._record(instance, version)

    def _record(self, instance: str, version: int) -> None:
        highest = self._highest.get(instance, 0)
        if version < highest:
            self.reversals.append(f'{instance}: {highest} to {version}')
        self._highest[instance] = max(highest, version)
