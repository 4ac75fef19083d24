"""Limits the rate at which receivers join a relay.

A refused receiver gets a retry delay that grows with the number of refused
joins, so that many joins at the same time are spread over time.
"""

#: Sustained rate of admitted joins, per second.
JOINS_PER_S = 100.0
#: Size of the token bucket: joins admitted at once when it is full.
JOIN_BURST = 50.0
_MS_PER_S = 1000


class JoinAdmission:
    """A token bucket whose retry delay grows with the refused joins."""

    def __init__(
        self,
        now: float,
        rate: float = JOINS_PER_S,
        burst: float = JOIN_BURST,
    ) -> None:
        """Starts full; refills at `rate` tokens per second up to `burst`."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refused = float(0)
        self._last_refill = now

    def admit(self, now: float) -> int:
        """Returns 0 if the join is admitted, else the retry delay in ms."""
        gained = (now - self._last_refill) * self._rate
        self._last_refill = now
        self._tokens = min(self._burst, self._tokens + gained)
        self._refused = max(0, self._refused - gained)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        self._refused += 1
        return int(_MS_PER_S * (1 + self._refused) / self._rate) + 1
