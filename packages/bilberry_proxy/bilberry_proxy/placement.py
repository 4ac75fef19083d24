"""Where a request goes next, and for how long it may wait for a slot there.

The load this answers: more requests than slots, in one failure domain or in
all. Endpoints of the own domain are asked first, and a call may wait there for
part of what its target latency leaves. Those farther away are asked for a free
slot only. When several have none, or none is known to have one, the request
waits at the one with the least work expected, for as long as its answer can
still be in time; what could only be late would take the slot of something that
is not, so it is refused at once and told when to come back. What is urgent
waits for as long as its time allows: a call of a request under way is urgent,
and refusing it wastes that work.
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

#: Endpoints without a free slot after which a request waits at one of them.
MAX_SLOT_QUERIES = 5
#: The same where no endpoint is known to have a slot free: asking more of them
#: costs time and bytes, and finds one seldom.
MAX_SLOT_QUERIES_BUSY = 2
#: Times the mean service time that is left for a request behind its wait.
SERVICE_MARGIN = 1.25
#: Least share of the latency wanted for which a request waits for a slot.
MIN_WAIT_SHARE = 0.1
#: Share of the longest wait for which a request waits in its own failure domain
#: before others are asked; bytes between domains are dear.
NEAR_WAIT_SHARE = 0.6
#: Share of the longest wait after which a refused request may come back: by
#: then that part of the queues before it has gone.
RETRY_AFTER_SHARE = 0.5


class PlacementChoice(NamedTuple):
    """The endpoint of the next attempt, and the longest wait there."""

    selection: Selection
    max_wait_ms: int


class Placement:
    """The endpoints that one request has asked for a slot."""

    def __init__(self, router: Router) -> None:
        """Has asked none yet."""
        self._router = router
        self._without_slot: list[str] = []
        self._is_last_resort = False
        self._max_wait_ms = 0

    def choose(self, plan: Plan, tried: list[str]) -> PlacementChoice | None:
        """Returns the next place; None where no endpoint is ready.

        `tried` are the instances that attempts went to.
        """
        route = plan.snapshot.routes[plan.service]
        asked = [*tried, *self._without_slot]
        selection = self._router.choose(route, plan.decision, asked)
        if selection is None:
            return None
        max_queries = (
            MAX_SLOT_QUERIES_BUSY if selection.is_busy else MAX_SLOT_QUERIES
        )
        if len(self._without_slot) >= max_queries or selection.all_tried:
            self._is_last_resort = True
            selection = self._router.choose(route, plan.decision, tried)
        elif self._without_slot:
            # Those without a slot can still be waited for.
            selection = selection._replace(has_other=True)
        return PlacementChoice(selection, self._limit_wait(plan, selection))

    def record_no_slot(self, endpoint: Endpoint, load: Load) -> Failure | None:
        """Takes in that an endpoint has no slot in time.

        Returns the refusal of the request where nothing is left to ask.
        """
        self._without_slot.append(endpoint.instance)
        self._router.record_no_slot(endpoint, load)
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
            'no upstream has a slot in time',
            max(
                suggest_retry_after_ms(occupancy),
                int(self._max_wait_ms * RETRY_AFTER_SHARE),
            ),
        )

    def _limit_wait(self, plan: Plan, selection: Selection) -> int:
        target_ms = plan.decision.policy.target_latency_ms
        service_s = self._router.service_times.estimate_s(plan.route_key)
        slack_ms = target_ms - service_s * MS_PER_S * SERVICE_MARGIN
        slack_ms = max(slack_ms, target_ms * MIN_WAIT_SHARE)
        self._max_wait_ms = int(slack_ms)
        if self._is_last_resort:
            if plan.decision.policy.priority is Priority.URGENT:
                return NO_WAIT_LIMIT_MS
            return int(slack_ms) or NO_WAIT_LIMIT_MS
        return int(slack_ms * NEAR_WAIT_SHARE) if selection.is_near else 0
