"""Estimates a wait in the queue by how fast earlier calls left it.

This handles a full upstream. How long a call waits depends on the work of the
calls in the slots, on the more urgent calls that overtake it, and on those
ahead that get a slot elsewhere first. All of it shows in the time between two
departures of calls of one rank, while calls of that rank wait.
"""

#: Weight of the newest gap in the exponential moving average.
_GAP_WEIGHT = 0.1


class QueueDepartures:
    """The departures of waiting calls of one rank."""

    def __init__(self) -> None:
        """Starts with an empty queue."""
        self._mean_gap_s: float | None = None
        self._last_at: float | None = None

    def record_arrival(self, now: float, *, is_first: bool) -> None:
        """Records a call that begins to wait; `is_first` if no other waits."""
        if is_first:
            self._last_at = now

    def record_departure(self, now: float) -> None:
        """Records a call that got a slot, here or elsewhere."""
        if self._last_at is None:
            return
        gap_s = now - self._last_at
        mean_s = gap_s if self._mean_gap_s is None else self._mean_gap_s
        self._mean_gap_s = mean_s + (gap_s - mean_s) * _GAP_WEIGHT
        self._last_at = now

    def estimate_wait_s(
        self,
        ahead: int,
        now: float,
        initial_gap_s: float,
    ) -> float:
        """Returns the expected wait behind `ahead` calls, in seconds.

        `initial_gap_s` is used until a departure was seen. A gap that lasts
        longer than the mean counts as the mean.
        """
        mean_s = self._mean_gap_s
        gap_s = initial_gap_s if mean_s is None else mean_s
        if ahead and self._last_at is not None:
            gap_s = max(gap_s, now - self._last_at)
        return (ahead + 1) * gap_s
