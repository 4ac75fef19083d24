"""Limits the rate of log lines under load.

Lines of successful requests have a rate of their own, so that they don't crowd
out failures and state changes, which have another. Lines over their rate are
dropped and counted.
"""

from collections.abc import Callable
from logging import INFO, LogRecord
from time import monotonic

#: Lines per second of requests that got a response.
ROUTINE_RATE = 50
#: Lines per second of everything else.
NOTABLE_RATE = 500
#: The event that is logged for each request that gets a response.
ROUTINE_EVENT = 'request_routed'


class TokenBucket:
    """A token bucket for lines; its burst is one second of its rate."""

    def __init__(self, rate: float, now: float) -> None:
        """Starts full; `rate` is in lines per second, `now` in seconds."""
        self.suppressed = 0
        self._rate = rate
        self._tokens = rate
        self._refilled_at = now

    def take(self, now: float) -> bool:
        """Takes one token; returns False if none is left."""
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._tokens + refill, self._rate)
        self._refilled_at = now
        if self._tokens < 1:
            self.suppressed += 1
            return False
        self._tokens -= 1
        return True


class LogRateFilter:
    """A filter for `logging` that drops lines over their rate."""

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        """Uses `clock` for monotonic time, in seconds."""
        self._clock = clock
        now = clock()
        self._routine = TokenBucket(ROUTINE_RATE, now)
        self._notable = TokenBucket(NOTABLE_RATE, now)

    def filter(self, record: LogRecord) -> bool:
        """Returns whether a line is written."""
        budget = self._routine if _is_routine(record) else self._notable
        return budget.take(self._clock())

    def pop_suppressed_counts(self) -> dict[str, int]:
        """Returns how many lines were dropped since the last call."""
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
