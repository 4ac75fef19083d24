"""Counts used tokens until a rate has made up for them; it reads no clock.

A rate makes up for the newest tokens first, and those that were used a window
ago count no more. So within any time up to a window, no more tokens are used
than the most that may count, and what the rate adds in that time.
"""

from collections import deque

#: Time whose amounts are kept as one, in seconds.
BIN_S = 0.02


class TokenDebts:
    """Used tokens of the last window that nothing has made up for."""

    def __init__(self, window_s: float) -> None:
        """Starts without any."""
        self.total: float = 0
        self._window_s = window_s
        self._bins: deque[tuple[float, float, float]] = deque()

    def add(self, now: float, amount: float) -> None:
        """Adds tokens that were used by monotonic time `now`, in seconds."""
        if amount <= 0:
            return
        self.total += amount
        since = now
        if self._bins and now - self._bins[-1][0] <= BIN_S:
            since, _until, known = self._bins.pop()
            amount += known
        self._bins.append((since, now, amount))

    def make_up(self, amount: float) -> None:
        """Makes up for tokens, the newest ones first."""
        while self._bins and amount > 0:
            since, until, known = self._bins.pop()
            paid = min(known, amount)
            amount -= paid
            self.total -= paid
            if known > paid:
                self._bins.append((since, until, known - paid))
        self._settle()

    def advance(self, now: float) -> None:
        """Drops what has left the window."""
        oldest = now - self._window_s
        while self._bins and self._bins[0][1] <= oldest:
            self.total -= self._bins.popleft()[2]
        self._settle()

    def _settle(self) -> None:
        """Drops the rounding errors of what has been made up for."""
        if not self._bins:
            self.total = 0
