"""Chooses the next endpoint of a request and limits the wait for a slot there.

Placement handles overload: more requests than slots, in one failure domain or
in all of them. Endpoints of the proxy's own domain are tried first, and a call
may wait there for part of the slack that its target latency leaves: briefly
while another near one may be free, since many small upstreams are seldom all
full, and longer at the last. A few near ones without a slot show that the
domain is full, however many it has: then endpoints of other domains are asked,
which run a call only if they have a free slot. When several endpoints have no
free slot, or none is known to have one, the request waits at the endpoint with
the least expected work, for as long as it can still meet its target latency. A
request that would miss the target is refused at once with a time to retry
after, so that it does not take the slot of one that can meet it. An urgent
request waits until its deadline: urgent calls belong to requests already in
progress, and refusing them wastes the work done so far.
"""

from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import NO_WAIT_LIMIT_MS, Load
from bilberry_core.policy import Priority
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.admission import Occupancy, suggest_retry_after_ms
from bilberry_proxy.plan import Plan
from bilberry_proxy.router import Router
from bilberry_proxy.selection import Selection

#: Number of endpoints without a free slot after which a request waits at one.
MAX_SLOT_QUERIES = 5
#: How many of these may be in the proxy's own failure domain.
MAX_NEAR_SLOT_QUERIES = 3
#: The same if no endpoint is known to have a free slot: asking more of them
#: costs time and bytes and rarely finds one.
MAX_SLOT_QUERIES_BUSY = 2
#: Multiple of the mean service time that is reserved after the wait.
SERVICE_MARGIN = 1.25
#: Shortest limit of the wait for a slot, as a share of the target latency.
MIN_WAIT_SHARE = 0.1
#: Share of the longest wait that a request spends at one endpoint of the
#: proxy's own failure domain while another one there is asked next.
NEAR_FIRST_WAIT_SHARE = 0.15
#: The same for the last one asked there, before those of other domains;
#: traffic between domains is expensive.
NEAR_WAIT_SHARE = 0.6
#: Share of the longest wait after which a refused request may be retried: by
#: then that share of the queues has been served.
RETRY_AFTER_SHARE = 0.5


class PlacementChoice(NamedTuple):
    """The endpoint of the next attempt, and the longest wait for a slot."""

    selection: Selection
    max_wait_ms: int


class Placement:
    """The placement of one request, and the endpoints without a free slot."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._without_slot: list[str] = []
        self._near_without_slot = 0
        self._asked_near = False
        self._is_last_resort = False
        self._max_wait_ms = 0
        self._priority = Priority.URGENT
        self._takes_new: bool | None = None

    def choose(self, plan: Plan, tried: list[str]) -> PlacementChoice | None:
        """Returns the next endpoint and wait; None if no endpoint is ready.

        `tried` are the instances that attempts were sent to.
        """
        self._priority = plan.priority
        route = plan.snapshot.routes[plan.service]
        asked = [*tried, *self._without_slot]
        selection = self._router.choose(
            route,
            plan.decision,
            asked,
            avoids_near=self._near_without_slot >= MAX_NEAR_SLOT_QUERIES,
            takes_new=self._draws_new_version(plan),
        )
        if selection is None:
            return None
        max_queries = (
            MAX_SLOT_QUERIES_BUSY if selection.is_busy else MAX_SLOT_QUERIES
        )
        if len(self._without_slot) >= max_queries or selection.all_tried:
            self._is_last_resort = True
            selection = self._router.choose(route, plan.decision, tried)
        elif self._without_slot or self._takes_new:
            # A request can still wait at endpoints without a free slot.
            selection = selection._replace(has_other=True)
        self._asked_near = selection.is_near
        return PlacementChoice(selection, self._limit_wait(plan, selection))

    def record_no_slot(
        self,
        endpoint: Endpoint,
        load: Load,
        retry_after_ms: int = 0,
    ) -> Failure | None:
        """Records that an endpoint has no free slot in time.

        `retry_after_ms` is set if it is at its rate limit: less urgent
        requests avoid it until then. Returns the refusal of the request if it
        already waited at the last endpoint, otherwise None.
        """
        self._without_slot.append(endpoint.instance)
        self._near_without_slot += self._asked_near
        self._router.record_no_slot(endpoint, load)
        if retry_after_ms and self._priority is not Priority.URGENT:
            self._router.record_shed(endpoint, self._priority, retry_after_ms)
        if not self._is_last_resort:
            return None
        occupancy = Occupancy(
            load.outstanding,
            load.slots,
            load.queued,
            load.latency_us,
        )
        return Failure(
            Verdict.NOT_RUN,
            FailureCode.OVERLOADED,
            'no upstream has a free slot in time',
            max(
                retry_after_ms or suggest_retry_after_ms(occupancy),
                int(self._max_wait_ms * RETRY_AFTER_SHARE),
            ),
        )

    def _draws_new_version(self, plan: Plan) -> bool:
        """Draws the version of the first attempt; later ones get the old."""
        is_first = self._takes_new is None
        self._takes_new = is_first and self._router.draw_new_version(
            plan.service
        )
        return self._takes_new

    def _limit_wait(self, plan: Plan, selection: Selection) -> int:
        target_ms = plan.decision.policy.target_latency_ms
        service_s = self._router.service_times.estimate_s(plan.route_key)
        slack_ms = target_ms - service_s * MS_PER_S * SERVICE_MARGIN
        slack_ms = max(slack_ms, target_ms * MIN_WAIT_SHARE)
        self._max_wait_ms = int(slack_ms)
        if self._is_last_resort:
            if plan.priority is Priority.URGENT:
                return NO_WAIT_LIMIT_MS
            return int(slack_ms) or NO_WAIT_LIMIT_MS
        if not selection.is_near:
            return 0
        is_last_near = (
            selection.candidates == 1
            or self._near_without_slot >= MAX_NEAR_SLOT_QUERIES - 1
        )
        share = NEAR_WAIT_SHARE if is_last_near else NEAR_FIRST_WAIT_SHARE
        return int(slack_ms * share)
