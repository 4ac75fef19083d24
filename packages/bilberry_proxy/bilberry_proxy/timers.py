"""A coarse timer wheel for many deadlines with few wake-ups.

Deadlines of requests rarely fire, so scheduling and cancelling one must be
cheap. A timer fires up to one tick after its time.
"""

from collections.abc import Callable

#: Time between two ticks, in seconds.
TICK_S = 0.02


class Timer:
    """One scheduled callback."""

    __slots__ = ('callback',)

    def __init__(self, callback: Callable[[], None]) -> None:
        """Creates a timer that calls `callback` unless cancelled."""
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevents the timer from firing."""
        self.callback = None


class TimerWheel:
    """Scheduled timers, by the tick in which they fire."""

    def __init__(self, now: float) -> None:
        """Creates an empty wheel at monotonic time `now`, in seconds."""
        self._slots: dict[int, list[Timer]] = {}
        self._tick = int(now / TICK_S)

    def schedule(self, when: float, callback: Callable[[], None]) -> Timer:
        """Calls `callback` within a tick after `when`.

        `when` is monotonic time, in seconds.
        """
        timer = Timer(callback)
        tick = max(int(when / TICK_S) + 1, self._tick + 1)
        self._slots.setdefault(tick, []).append(timer)
        return timer

    def advance(self, now: float) -> None:
        """Fires every timer whose tick has passed."""
        current = int(now / TICK_S)
        if current - self._tick > len(self._slots):
            passed = sorted(tick for tick in self._slots if tick <= current)
        else:
            passed = list(range(self._tick + 1, current + 1))
        self._tick = max(current, self._tick)
        for tick in passed:
            for timer in self._slots.pop(tick, ()):
                self._fire(timer)

    def _fire(self, timer: Timer) -> None:
        callback = timer.callback
        if callback is not None:
            timer.callback = None
            callback()
