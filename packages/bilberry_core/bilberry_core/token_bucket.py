"""A token bucket whose capacity comes back with each window; no clock is read.

In any time up to a window, no more tokens are used than the capacity and what
the rate adds in that time. So one bucket may follow another that is lost, if it
begins empty: both together keep that.
"""

from collections import deque

from bilberry_core.token_debts import BIN_S, TokenDebts

#: Longest time over which refused requests are asked to return, in seconds.
MAX_BACKLOG_S = 5.0
#: Latest return of a token after it was settled, in seconds.
LATEST_RETURN_S = 1.5
#: Errors of sums of fractions, in tokens.
ROUNDING = 1e-6


class RollingIntegral:
    """What a rate adds up to in the last window."""

    def __init__(self, window_s: float) -> None:
        """Starts at 0."""
        self.total: float = 0
        self._window_s = window_s
        self._spans: deque[list[float]] = deque()

    def advance(self, start: float, end: float, rate: float) -> None:
        """Adds a rate between two times, in seconds; `end` is now."""
        newest = self._spans[-1] if self._spans else None
        if newest is not None and newest[1:] == [start, rate]:
            newest[1] = end
        elif end > start:
            self._spans.append([start, end, rate])
        since = end - self._window_s
        while self._spans and self._spans[0][1] <= since:
            self._spans.popleft()
        self.total = sum(
            (until - max(begin, since)) * rate
            for begin, until, rate in self._spans
        )


class RollingSum:
    """The sum of the amounts of the last window.

    Amounts that are kept as one leave the window with the first of them if
    `is_early`, else with the last.
    """

    def __init__(self, window_s: float, *, is_early: bool) -> None:
        """Starts at 0."""
        self.total = 0
        self._window_s = window_s
        self._place = 0 if is_early else 1
        self._bins: deque[list[float]] = deque()

    def add(self, now: float, amount: int) -> None:
        """Adds an amount at monotonic time `now`, in seconds."""
        if not amount:
            return
        self.total += amount
        newest = self._bins[-1] if self._bins else None
        if newest is None or now - newest[0] > BIN_S:
            self._bins.append([now, now, amount])
        else:
            newest[1] = now
            newest[2] += amount

    def advance(self, now: float) -> None:
        """Drops what has left the window."""
        oldest = now - self._window_s
        while self._bins and self._bins[0][self._place] <= oldest:
            self.total -= self._bins.popleft()[2]


class TokenBucket:
    """Tokens that add up at a rate until they reach a capacity.

    `held`
        Tokens that were taken and may still be used.
    `backlog`
        Refused requests that were asked to return later.
    """

    def __init__(self, now: float, window_s: float) -> None:
        """Starts empty at monotonic time `now`, in seconds."""
        self.held = 0
        self.backlog: float = 0
        self._window_s = window_s
        self._capacity: float = 0
        self._most: float = 0
        self._debts = TokenDebts(window_s)
        self._added = RollingIntegral(window_s)
        self._used = RollingSum(window_s, is_early=False)
        self._unused = RollingSum(
            max(window_s - LATEST_RETURN_S, 0), is_early=True
        )
        self._advanced_at = now

    @property
    def level(self) -> float:
        """Tokens that are there."""
        return self._most - self._debts.total - self.held

    @property
    def available(self) -> int:
        """Whole tokens that may be taken now."""
        used = self._used.total - self._unused.total + self.held
        left = self._added.total - used
        return max(int(min(self.level, left) + ROUNDING), 0)

    def advance(
        self, now: float, rate: float, capacity: float, rounding: float = 0
    ) -> None:
        """Adds the tokens since the last call.

        A capacity that grows begins empty. The level may exceed it by
        `rounding`, as it waits for whole tokens; a window has none more.
        """
        now = max(now, self._advanced_at)
        gained = (now - self._advanced_at) * rate
        returning = min(capacity, self._capacity) / self._window_s
        self._added.advance(self._advanced_at, now, rate + returning)
        self._used.advance(now)
        self._unused.advance(now)
        self._advanced_at = now
        self._debts.make_up(gained)
        self._debts.advance(now)
        self._capacity = capacity
        self._resize(capacity + rounding)
        self.backlog = max(self.backlog - gained, 0)

    def take(self, most: int) -> int:
        """Takes up to `most` tokens; returns how many there were."""
        taken = min(most, self.available)
        self.held += taken
        return taken

    def settle(self, count: int) -> None:
        """Counts held tokens that have been used by now, or can't be any more.

        Unused ones are taken back by `put`.
        """
        self.held -= count
        self._debts.add(self._advanced_at, count)
        self._used.add(self._advanced_at, count)

    def put(self, count: int) -> None:
        """Takes back tokens that were settled a moment ago and not used."""
        self._debts.make_up(count)
        self._unused.add(self._advanced_at, count)

    def defer(self, count: int, rate: float, queued: int = 0) -> float:
        """Counts refused requests; returns when the first has a token.

        The time is in seconds from now; `queued` requests are ahead.
        """
        if rate <= 0:
            return MAX_BACKLOG_S
        ahead = queued + self.backlog + 1 - self.available
        self.backlog = min(self.backlog + count, rate * MAX_BACKLOG_S)
        return min(max(ahead, 0) / rate, MAX_BACKLOG_S)

    def _resize(self, most: float) -> None:
        grown = most - self._most
        self._most = most
        self._debts.add(self._advanced_at, grown)
        self._debts.make_up(-grown)
