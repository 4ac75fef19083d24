"""Bounds the volume of log lines, whatever the load.

Lines of failures and of what the process believes are kept up to a rate of
their own; those of requests that went well are sampled beyond theirs. What is
left out is counted and told.
"""

from collections.abc import Callable
from logging import INFO, LogRecord
from time import monotonic

#: Lines a second of requests that were answered.
ROUTINE_RATE = 50
#: Lines a second of everything else.
NOTABLE_RATE = 500
#: The one event that is written for each request that is answered.
ROUTINE_EVENT = 'request_routed'


class TokenBucket:
    """Lines that may be written: a rate, and as many at once."""

    def __init__(self, rate: float, now: float) -> None:
        """Starts full at monotonic time `now`, in seconds."""
        self.suppressed = 0
        self._rate = rate
        self._tokens = rate
        self._refilled_at = now

    def take(self, now: float) -> bool:
        """Takes one line; False where none is left."""
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._tokens + refill, self._rate)
        self._refilled_at = now
        if self._tokens < 1:
            self.suppressed += 1
            return False
        self._tokens -= 1
        return True


class LogRateFilter:
    """Decides which lines are written; a filter of `logging`."""

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        """Starts with full budgets."""
        self._clock = clock
        now = clock()
        self._routine = TokenBucket(ROUTINE_RATE, now)
        self._notable = TokenBucket(NOTABLE_RATE, now)

    def filter(self, record: LogRecord) -> bool:
        """Tells whether a line is written."""
        budget = self._routine if _is_routine(record) else self._notable
        return budget.take(self._clock())

    def pop_suppressed_counts(self) -> dict[str, int]:
        """Returns how many lines were left out since last asked."""
        counts = {
            'routine': self._routine.suppressed,
            'notable': self._notable.suppressed,
        }
        self._routine.suppressed = 0
        self._notable.suppressed = 0
        return counts


def _is_routine(record: LogRecord) -> bool:
    if record.levelno > INFO or record.msg != ROUTINE_EVENT:
        return False
    return not hasattr(record, 'code')
