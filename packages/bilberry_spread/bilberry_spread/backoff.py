"""Full-jitter exponential backoff.

Each delay is uniform between nothing and a bound that doubles, so that a
herd that died together does not come back together.
"""

from bilberry_core.clock import RandomSource

#: Bound of the first delay, in seconds.
FIRST_DELAY_S = 0.2
#: Largest bound of a delay, in seconds.
MAX_DELAY_S = 10.0
_MAX_DOUBLINGS = 16


class Backoff:
    """Delays between attempts, until one succeeds."""

    def __init__(self, random: RandomSource) -> None:
        """Starts with the first delay."""
        self._random = random
        self._failures = 0

    def reset(self) -> None:
        """Starts over after a success."""
        self._failures = 0

    def next_delay(self) -> float:
        """Returns the delay after one more failure, in seconds."""
        doublings = min(self._failures, _MAX_DOUBLINGS)
        bound = min(MAX_DELAY_S, FIRST_DELAY_S * 2**doublings)
        self._failures += 1
        return self._random.uniform(0, bound)
