"""Sheds requests by priority while the event loop lags.

Without this, an overloaded daemon would serve callers in order of arrival. It
sheds requests of lower priority first, so that urgent ones are served.
"""

from bilberry_core.policy import Priority
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.kept_bodies import KeptBodies

#: Lag of the event loop above which a priority is shed, in seconds.
MAX_LAG_S = {
    Priority.URGENT: float('inf'),
    Priority.NORMAL: 0.5,
    Priority.DEFERRABLE: 0.1,
}
#: Time after which a caller may retry at a proxy that lags, in milliseconds.
PRESSURE_RETRY_AFTER_MS = 1000

_SHED = Failure(
    Verdict.NOT_RUN,
    FailureCode.OVERLOADED,
    'the event loop of this proxy lags',
    PRESSURE_RETRY_AFTER_MS,
)


class Pressure:
    """The load shedder for the latest lag of the event loop.

    It also holds the limit of the bytes that requests keep.
    """

    def __init__(self) -> None:
        self.kept_bodies = KeptBodies()
        self._lag_s: float = 0

    def record_lag(self, lag_s: float) -> None:
        """Records how late the timer fired, in seconds."""
        self._lag_s = lag_s

    def get_shed_failure(self, priority: Priority) -> Failure | None:
        """Returns the failure of a request to shed, None to accept it."""
        if self._lag_s <= MAX_LAG_S[priority]:
            return None
        return _SHED
