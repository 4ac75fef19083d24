"""Estimates how long a caller has waited before it sent a request.

This handles callers that return after a refusal. A caller sets the deadline of
each request to the time that it has left, so a request of one that returns has
less than usual. The usual deadlines of a route are known while most of them
are alike. Only routes with a target latency are observed.
"""

from typing import NamedTuple

from bilberry_core.clock import MS_PER_S

#: Requests of a route between two looks at their deadlines.
BATCH_SIZE = 32
#: Longest deadlines of a batch that are left out, as those of a few callers who
#: wait for longer than others.
LEFT_OUT = 2
#: Largest difference between usual deadlines, as a share of the longest.
MAX_SPREAD = 0.2
#: Share of a batch that must be alike for its deadlines to become the usual
#: ones, and to stay them. Under overload many callers return.
MIN_ALIKE = 0.5
MIN_STILL_ALIKE = 0.2

_RouteKey = tuple[str, str]


class UsualDeadline(NamedTuple):
    """The shortest and the mean deadline of first requests, in milliseconds."""

    shortest_ms: int
    mean_ms: float


class UsualDeadlines:
    """The usual deadlines of each route, as one proxy observes them."""

    def __init__(self) -> None:
        """Starts without observations."""
        self._batches: dict[_RouteKey, list[int]] = {}
        self._usual: dict[_RouteKey, UsualDeadline] = {}

    def record(self, route: _RouteKey, deadline_ms: int) -> None:
        """Adds the deadline of a request, which its caller set."""
        batch = self._batches.setdefault(route, [])
        batch.append(deadline_ms)
        if len(batch) >= BATCH_SIZE:
            self._batches[route] = []
            self._evaluate(route, batch)

    def estimate_elapsed_s(self, route: _RouteKey, deadline_ms: int) -> float:
        """Returns how long the caller has waited before, in seconds.

        It is 0 for a first request, and if no deadlines are usual.
        """
        usual = self._usual.get(route)
        if usual is None or deadline_ms >= usual.shortest_ms:
            return 0
        return (usual.mean_ms - deadline_ms) / MS_PER_S

    def _evaluate(self, route: _RouteKey, batch: list[int]) -> None:
        kept = sorted(batch)[:-LEFT_OUT]
        shortest_ms = kept[-1] * (1 - MAX_SPREAD)
        alike = [
            deadline_ms for deadline_ms in kept if deadline_ms >= shortest_ms
        ]
        share = len(alike) / len(kept)
        if share >= MIN_ALIKE:
            mean_ms = sum(alike) / len(alike)
            self._usual[route] = UsualDeadline(min(alike), mean_ms)
        elif share < MIN_STILL_ALIKE:
            self._usual.pop(route, None)
