"""Admission of receivers that join a relay.

Joins are admitted at a bounded rate. The others are told when to come back,
later the more of them wait, so a storm is spread over time.
"""

#: Joins admitted each second.
JOINS_PER_S = 100.0
#: Joins admitted at once after a quiet time.
JOIN_BURST = 50.0
_MS_PER_S = 1000


class JoinAdmission:
    """A token bucket whose debt sets the time to come back."""

    def __init__(
        self,
        now: float,
        rate: float = JOINS_PER_S,
        burst: float = JOIN_BURST,
    ) -> None:
        """Starts with a full bucket."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refused = float(0)
        self._last_refill = now

    def admit(self, now: float) -> int:
        """Returns 0 where the join is admitted, else milliseconds to wait."""
        gained = (now - self._last_refill) * self._rate
        self._last_refill = now
        self._tokens = min(self._burst, self._tokens + gained)
        self._refused = max(0, self._refused - gained)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        self._refused += 1
        return int(_MS_PER_S * (1 + self._refused) / self._rate) + 1
