"""Limits the rate of the requests that an upstream gets.

A token bucket that does no I/O and reads no clock. The daemon beside an
upstream sends it every request, so its bucket counts exactly. A new bucket is
empty: nobody knows what the upstream got in the last seconds, so they count as
used.
"""

from typing import NamedTuple

from bilberry_core.upstream_notice import UpstreamNotice

#: Rate at which requests are sent to an upstream that accepts fewer, in
#: requests a second. Only a response can show that a limit has ended.
MIN_RATE = 0.25
#: Time in which an unused rate adds up to a burst, in seconds.
BURST_S = 0.5
#: Smallest burst, in requests.
MIN_BURST = 1.0
#: Longest time over which refused callers are asked to come back, in seconds.
MAX_BACKLOG_S = 5.0


class Pace(NamedTuple):
    """The requests that may be sent now, and the rate of further ones.

    `rate` is in requests a second, None without a limit. `backlog` is the
    number of refused calls whose callers were asked to come back later.
    """

    tokens: float = 0
    rate: float | None = None
    backlog: float = 0

    @property
    def backlog_s(self) -> float:
        """The time in which the refused calls are sent, in seconds."""
        return 0 if self.rate is None else self.backlog / self.rate

    def estimate_wait_s(self, ahead: int) -> float:
        """Returns the time until a call behind `ahead` others may be sent."""
        if self.rate is None:
            return 0
        return max(0, ahead + 1 - self.tokens) / self.rate

    def suggest_return_s(self, queued: int) -> float:
        """Returns the time after which a refused call finds a token."""
        if self.rate is None:
            return 0
        return self.estimate_wait_s(queued) + self.backlog_s


class RateLimiter:
    """The token bucket of one upstream."""

    def __init__(self) -> None:
        """Starts without a limit."""
        self.pace = Pace()
        self._advanced_at: float | None = None

    @property
    def has_token(self) -> bool:
        """Whether a request may be sent now."""
        return self.pace.rate is None or self.pace.tokens >= 1

    def advance(self, now: float) -> None:
        """Adds the tokens since the last call; `now` is in seconds."""
        before = self._advanced_at
        self._advanced_at = now
        elapsed_s = 0 if before is None else now - before
        tokens, rate, backlog = self.pace
        if rate is not None:
            gained = elapsed_s * rate
            tokens = min(tokens + gained, compute_burst(rate))
            self.pace = Pace(tokens, rate, max(0, backlog - gained))

    def take(self) -> None:
        """Counts a request that is sent."""
        if self.pace.rate is not None:
            self.pace = self.pace._replace(tokens=self.pace.tokens - 1)

    def give_back(self) -> None:
        """Takes back a token, as no request was sent."""
        if self.pace.rate is not None:
            self.pace = self.pace._replace(tokens=self.pace.tokens + 1)

    def defer(self) -> None:
        """Counts a refused call whose caller is asked to come back."""
        rate = self.pace.rate
        if rate is not None:
            backlog = min(self.pace.backlog + 1, rate * MAX_BACKLOG_S)
            self.pace = self.pace._replace(backlog=backlog)

    def follow(self, notice: UpstreamNotice) -> None:
        """Adopts the limit in a notice of the upstream."""
        if notice.rate_limit is None:
            self.pace = Pace()
            return
        rate = max(notice.rate_limit, MIN_RATE)
        tokens = min(self.pace.tokens, compute_burst(rate))
        self.pace = Pace(tokens, rate, self.pace.backlog)


def compute_burst(rate: float) -> float:
    """Returns the number of requests that may be sent at once."""
    return max(rate * BURST_S, MIN_BURST)
