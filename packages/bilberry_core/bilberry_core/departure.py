"""Departures: starts of upstreams that have left and never come back."""

from typing import NamedTuple

from bilberry_core.upstream_notice import UpstreamIdentity

#: Time for which a departure is kept, in seconds: longer than an announcement
#: from before it may be delayed, and than a daemon takes to restart.
DEPARTURE_S = 60.0


class Departure(NamedTuple):
    """The departure of one start of an upstream.

    `left` is the monotonic time at which this process heard of it, in seconds.
    """

    upstream: UpstreamIdentity
    left: float

    def is_kept(self, now: float) -> bool:
        """Returns whether the departure is still to be told to others."""
        return now - self.left < DEPARTURE_S
