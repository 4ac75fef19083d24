"""Computes delays of full-jitter exponential backoff.

Each delay is uniform between 0 and a bound that doubles with each failure, so
that daemons that failed at the same time don't all retry at the same time.
"""

from bilberry_core.clock import RandomSource

#: Upper bound of the first delay, in seconds.
FIRST_DELAY_S = 0.2
#: Upper bound of every delay unless a shorter one is given, in seconds.
MAX_DELAY_S = 10.0
_MAX_DOUBLINGS = 16


class Backoff:
    """The delays between consecutive failed attempts."""

    def __init__(
        self, random: RandomSource, max_delay_s: float = MAX_DELAY_S
    ) -> None:
        """Draws delays of at most `max_delay_s` seconds from `random`."""
        self._random = random
        self._max_delay_s = max_delay_s
        self._failures = 0

    def reset(self) -> None:
        """Returns to the first delay; called after a success."""
        self._failures = 0

    def next_delay(self) -> float:
        """Records a failure; returns the delay that follows, in seconds."""
        doublings = min(self._failures, _MAX_DOUBLINGS)
        bound = min(self._max_delay_s, FIRST_DELAY_S * 2**doublings)
        self._failures += 1
        return self._random.uniform(0, bound)
