"""A token bucket that reads no clock and does no I/O."""

#: Longest time over which refused requests are asked to return, in seconds.
MAX_BACKLOG_S = 5.0


class TokenBucket:
    """Tokens that add up at a rate until they reach a capacity.

    `level`
        Tokens that may be taken; a new bucket is empty.
    `backlog`
        Refused requests that were asked to return later.
    """

    def __init__(self, now: float) -> None:
        """Starts empty at monotonic time `now`, in seconds."""
        self.level: float = 0
        self.backlog: float = 0
        self._advanced_at = now

    def advance(self, now: float, rate: float, capacity: float) -> None:
        """Adds the tokens since the last call, up to `capacity`."""
        gained = max(now - self._advanced_at, 0) * rate
        self._advanced_at = now
        self.level = min(self.level + gained, capacity)
        self.backlog = max(self.backlog - gained, 0)

    def take(self, most: int) -> int:
        """Takes up to `most` whole tokens; returns how many there were."""
        taken = max(min(most, int(self.level)), 0)
        self.level -= taken
        return taken

    def put(self, count: int) -> None:
        """Takes back tokens that were not used."""
        self.level += count

    def defer(self, count: int, rate: float, queued: int = 0) -> float:
        """Counts refused requests; returns when the first has a token.

        The time is in seconds from now; `queued` requests are ahead.
        """
        if rate <= 0:
            return MAX_BACKLOG_S
        ahead = queued + self.backlog + 1 - self.level
        self.backlog = min(self.backlog + count, rate * MAX_BACKLOG_S)
        return min(max(ahead, 0) / rate, MAX_BACKLOG_S)
