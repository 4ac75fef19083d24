"""How far the event loop is behind, and what is shed because of it.

A daemon that can't keep up would serve callers in the order of arrival; it
sheds first what can wait, so that what is urgent is served.
"""

from bilberry_core.policy import Priority
from bilberry_core.verdict import Failure, FailureCode, Verdict

#: Lag of the event loop from which on a priority is shed, in seconds.
MAX_LAG_S = {
    Priority.URGENT: float('inf'),
    Priority.NORMAL: 0.5,
    Priority.DEFERRABLE: 0.1,
}
#: When a caller may come back to a proxy that is behind.
PRESSURE_RETRY_AFTER_MS = 1000

_SHED = Failure(
    Verdict.NOT_RUN,
    FailureCode.OVERLOADED,
    'this proxy has fallen behind',
    PRESSURE_RETRY_AFTER_MS,
)


class Pressure:
    """The lag of the event loop, as its timer last saw it."""

    def __init__(self) -> None:
        """Starts without lag."""
        self._lag_s: float = 0

    def record_lag(self, lag_s: float) -> None:
        """Takes in how late the timer was, in seconds."""
        self._lag_s = lag_s

    def find_refusal(self, priority: Priority) -> Failure | None:
        """Returns the failure of a request that is shed, if it is."""
        if self._lag_s <= MAX_LAG_S[priority]:
            return None
        return _SHED
