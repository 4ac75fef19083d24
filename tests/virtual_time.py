"""An event loop whose time passes only while nothing is left to do.

Tests of deadlines run on it, so that they don't depend on the speed of the
machine or on what else runs there. Sockets and threads are real; no time passes
while a thread works.
"""

from asyncio import Future, Runner, SelectorEventLoop, get_running_loop
from collections.abc import Coroutine
from selectors import DefaultSelector
from typing import Any

from bilberry_core.clock import MS_PER_S

#: Time for which no socket must become ready before the time passes, in
#: seconds of the machine.
_IDLE_S = 0.005
_STARTED_S = 1000.0


class _VirtualSelector(DefaultSelector):
    """A selector that lets the time of its loop pass instead of waiting."""

    def __init__(self, trip_s: float) -> None:
        """Starts at the same time in each test."""
        super().__init__()
        self.now = _STARTED_S
        self.working = 0
        self._trip_s = trip_s

    def select(self, timeout: float | None = None) -> list:
        """Returns what is ready; what was under way took `trip_s`."""
        if timeout is None or timeout <= 0:
            ready = super().select(timeout)
        else:
            ready = super().select(_IDLE_S)
            if not ready and not self.working:
                self.now += timeout
        if ready:
            self.now += self._trip_s
        return ready


class _VirtualLoop(SelectorEventLoop):
    """An event loop with the time of its selector."""

    def __init__(self, trip_s: float) -> None:
        """Starts with an own selector."""
        self._virtual = _VirtualSelector(trip_s)
        super().__init__(self._virtual)

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._virtual.now

    def run_in_executor(self, executor, func, *arguments) -> Future:
        """Runs a function in a thread; time stands still until it ends."""
        done = super().run_in_executor(executor, func, *arguments)
        self._virtual.working += 1
        done.add_done_callback(self._on_work_done)
        return done

    def _on_work_done(self, _done: Future) -> None:
        self._virtual.working -= 1


class VirtualClock:
    """The clock of a loop of `run_virtually`."""

    def now(self) -> float:
        """Returns monotonic time, in seconds."""
        return get_running_loop().time()

    def wall_ms(self) -> int:
        """Returns wall clock time, in milliseconds."""
        return int(self.now() * MS_PER_S)


def run_virtually(scenario: Coroutine[Any, Any, Any], trip_s: float = 0) -> Any:
    """Runs a scenario in virtual time and returns its result.

    Each time that sockets are ready, `trip_s` seconds have passed: the time
    that messages are under way.
    """
    with Runner(loop_factory=lambda: _VirtualLoop(trip_s)) as runner:
        return runner.run(scenario)
