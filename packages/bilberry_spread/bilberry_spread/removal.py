"""Limits how many endpoints expired leases may remove.

Many leases that expire at once can mean that this daemon itself is cut off.
"""

from collections import defaultdict, deque

#: Share of a service's endpoints that expired leases may remove in a window.
LEASE_REMOVAL_SHARE = 0.5
#: Length of that window, in lease durations.
WINDOW_LEASES = 10


class RemovalLimit:
    """A sliding-window limit of removals for each service."""

    def __init__(self, window_s: float) -> None:
        """Counts the removals of the last `window_s` seconds."""
        self._window_s = window_s
        self._removals: defaultdict[str, deque[float]] = defaultdict(deque)

    def allow(self, service: str, present: int, now: float) -> bool:
        """Returns whether one more removal is allowed, and counts it if so.

        `present` is the number of endpoints that the service has now.
        """
        removals = self._removals[service]
        while removals and removals[0] <= now - self._window_s:
            removals.popleft()
        total = present + len(removals)
        if len(removals) + 1 > total * LEASE_REMOVAL_SHARE:
            return False
        removals.append(now)
        return True
