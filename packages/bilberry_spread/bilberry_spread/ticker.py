"""Calls a controller periodically until it is stopped."""

from asyncio import sleep
from collections.abc import Callable

#: Interval between ticks, in seconds.
TICK_S = 0.1


class Ticker:
    """A periodic timer that runs as a coroutine."""

    def __init__(self, tick: Callable[[], None]) -> None:
        """Calls `tick` once per interval."""
        self._tick = tick
        self._is_stopped = False

    async def run(self) -> None:
        """Ticks until `stop`."""
        while not self._is_stopped:
            self._tick()
            await sleep(TICK_S)

    def stop(self) -> None:
        """Makes `run` return after the current interval."""
        self._is_stopped = True
