"""Limits what leases alone may remove, since silence may be one's own fault."""

from collections import defaultdict, deque

#: Share of a service's endpoints that leases alone may remove in a window.
LEASE_REMOVAL_SHARE = 0.5
#: Length of that window, in leases.
WINDOW_LEASES = 10


class RemovalLimit:
    """The removals of each service within the window."""

    def __init__(self, window_s: float) -> None:
        """Counts the removals of the last `window_s` seconds."""
        self._window_s = window_s
        self._removals: defaultdict[str, deque[float]] = defaultdict(deque)

    def allow(self, service: str, present: int, now: float) -> bool:
        """Counts one removal, of `present` endpoints, if it is allowed."""
        removals = self._removals[service]
        while removals and removals[0] <= now - self._window_s:
            removals.popleft()
        total = present + len(removals)
        if len(removals) + 1 > total * LEASE_REMOVAL_SHARE:
            return False
        removals.append(now)
        return True
