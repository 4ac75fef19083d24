"""Limits the bytes that all connections of one machine pass in a direction."""

from asyncio import get_running_loop, sleep

#: Time without use that a limit makes up for, in seconds: a timer that wakes
#: late takes nothing from the rate.
SLACK_S = 0.02


class ByteRate:
    """A rate that connections share, first come, first served.

    `bytes_per_s` is None while nothing is limited.
    """

    def __init__(self, bytes_per_s: float | None = None) -> None:
        """Starts with nothing on its way."""
        self.bytes_per_s = bytes_per_s
        self._free_at: float = 0

    async def take(self, size: int) -> None:
        """Waits until `size` bytes have passed."""
        if self.bytes_per_s is None:
            return
        now = get_running_loop().time()
        begin = max(self._free_at, now - SLACK_S)
        self._free_at = begin + size / self.bytes_per_s
        await sleep(self._free_at - now)
