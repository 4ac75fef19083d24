"""Chooses the next endpoint of a request, and where it waits for a slot.

Placement handles overload: more requests than slots, in one failure domain or
in all of them. A request is sent to an endpoint of the proxy's own domain if
one is likely to have a free slot. Without one it takes places in the queues of
several endpoints and goes where a slot is free first (`slot_search`): near
ones at once, and those of other domains after part of the time that it can
wait. A request waits for as long as it can still meet its target latency; one
that would miss the target is refused at once with a time to retry after, so
that it does not take the slot of one that can meet it. An urgent request waits
until its deadline: urgent calls belong to requests already in progress, and
refusing them wastes the work done so far.

Callers that were refused return. What is left of their target latency counts
from their first request (`usual_deadlines`): one that will miss it in any case
waits behind those that can still meet it. That serves as many in lasting
overload, and more of them in time; after a burst or a restart the late ones are
served as soon as there is room.
"""

from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import SlotRefused
from bilberry_core.policy import Priority
from bilberry_core.snapshot import Route
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.admission import MAX_AGE_S
from bilberry_proxy.plan import Plan
from bilberry_proxy.router import Router
from bilberry_proxy.selection import Selection
from bilberry_proxy.slot_search import SearchPlan

#: Endpoints of the proxy's own failure domain at which a request waits.
MAX_NEAR_PLACES = 3
#: Endpoints of other failure domains at which it waits besides.
MAX_FAR_PLACES = 1
#: Multiple of the mean service time that is reserved after the wait.
SERVICE_MARGIN = 1.25
#: Share of the slack that a request may wait. A queue that is as long as the
#: slack makes all requests late and serves no more of them.
WAIT_SHARE = 0.4
#: Shortest limit of the slack for a slot, as a share of the target latency.
MIN_WAIT_SHARE = 0.1
#: Share of its remaining time that a late request may wait. It takes only
#: slots that no other request waits for.
LATE_WAIT_SHARE = 0.1
#: Share of its remaining time for which the caller of a request stays away that
#: will be late in any case.
LATE_RETRY_AFTER_SHARE = 0.3
#: Share of the longest wait after which endpoints of other domains are asked
#: beside near ones.
HEAD_START_SHARE = 0.25
#: Share of the longest wait after which a refused request may be retried: by
#: then that share of the queues has been served.
RETRY_AFTER_SHARE = 0.5


class PlacementChoice(NamedTuple):
    """The endpoint of the next attempt, and the longest wait for a slot."""

    selection: Selection
    max_wait_ms: int


class Placement:
    """The placement of one request."""

    def __init__(self, router: Router, started_at: float) -> None:
        """`started_at` is when the caller began to wait, in seconds."""
        self._router = router
        self._started_at = started_at
        self._max_wait_ms = 0
        self._retry_after_ms = 0
        self._takes_new: bool | None = None

    def choose(
        self,
        plan: Plan,
        tried: list[str],
        now: float,
    ) -> PlacementChoice | None:
        """Returns the next endpoint and wait; None if no endpoint is ready.

        `tried` are the instances that attempts were sent to. A request may
        only wait there if there is no other endpoint.
        """
        route = plan.snapshot.routes[plan.service]
        selection = self._choose_own(route, plan, tried)
        if selection is None:
            selection = self._router.choose(
                route,
                plan.decision,
                tried,
                takes_new=self._draws_new_version(plan),
            )
        if selection is None:
            return None
        if self._takes_new:
            # A request can still wait at endpoints with the old version.
            selection = selection._replace(has_other=True)
        if selection.has_other or self._is_late(plan, now):
            # What finds no slot at once waits by its rank, in a search.
            return PlacementChoice(selection, 0)
        return PlacementChoice(
            selection._replace(is_busy=False),
            self._limit_wait(plan, now),
        )

    def wait_at(
        self,
        choice: PlacementChoice,
        plan: Plan,
        now: float,
    ) -> PlacementChoice:
        """Returns a choice whose request waits for a slot there."""
        return choice._replace(max_wait_ms=self._limit_wait(plan, now))

    def plan_search(
        self,
        plan: Plan,
        tried: list[str],
        now: float,
    ) -> SearchPlan | None:
        """Returns where the request waits from `now` on, in seconds.

        None if no endpoint is ready.
        """
        route = plan.snapshot.routes[plan.service]
        max_wait_ms = self._limit_wait(plan, now)
        self._max_wait_ms = max_wait_ms
        own = self._choose_own(route, plan, tried)
        if own is not None:
            tried = [*tried, own.endpoint.instance]
        near = self._choose_places(route, plan, tried, is_far=False)
        far = self._choose_places(route, plan, tried, is_far=True)
        if own is not None:
            near, far = (own,), (*near, *far)
        if not near and not far:
            return None
        return SearchPlan(
            plan.service,
            plan.priority,
            near,
            far,
            max_wait_ms,
            _compute_head_start(plan.priority, max_wait_ms),
            self._is_late(plan, now),
            self._router.response_sizes.estimate(plan.route_key),
        )

    def record_refusal(
        self,
        endpoint: Endpoint,
        priority: Priority,
        refused: SlotRefused,
    ) -> None:
        """Records that an endpoint has no free slot in time.

        Less urgent requests avoid one that is at its rate limit until it has
        room.
        """
        router = self._router
        retry_after_ms = refused.failure.retry_after_ms
        router.record_no_slot(endpoint, refused.load)
        if retry_after_ms:
            least_ms = self._retry_after_ms or retry_after_ms
            self._retry_after_ms = min(least_ms, retry_after_ms)
        if refused.notice is None:
            return
        router.record_notice(endpoint, refused.notice)
        is_limited = refused.notice.rate_limit is not None
        if is_limited and retry_after_ms and priority is not Priority.URGENT:
            router.record_shed(endpoint, priority, retry_after_ms)

    def build_refusal(self, plan: Plan, now: float) -> Failure:
        """Returns the refusal of a request that found no slot.

        A caller that can be served in time after a short absence returns soon,
        another one once the load may have eased.
        """
        retry_after_ms = max(
            self._retry_after_ms,
            int(self._max_wait_ms * RETRY_AFTER_SHARE),
        )
        if self._is_late(plan, now + retry_after_ms / MS_PER_S):
            left_ms = (plan.deadline - now) * MS_PER_S
            retry_after_ms = max(
                retry_after_ms, int(left_ms * LATE_RETRY_AFTER_SHARE)
            )
        return Failure(
            Verdict.NOT_RUN,
            FailureCode.OVERLOADED,
            'no upstream has a free slot in time',
            retry_after_ms,
        )

    def _choose_own(
        self,
        route: Route,
        plan: Plan,
        tried: list[str],
    ) -> Selection | None:
        """Returns the endpoint beside this proxy for long responses.

        They cross no link then.
        """
        if not self._router.response_sizes.is_long(plan.route_key):
            return None
        return self._router.choose_own(route, tried)

    def _choose_places(
        self,
        route: Route,
        plan: Plan,
        tried: list[str],
        *,
        is_far: bool,
    ) -> tuple[Selection, ...]:
        return self._router.choose_several(
            route,
            plan.decision,
            tried,
            MAX_FAR_PLACES if is_far else MAX_NEAR_PLACES,
            is_far=is_far,
        )

    def _draws_new_version(self, plan: Plan) -> bool:
        """Draws the version of the first attempt; later ones get the old."""
        is_first = self._takes_new is None
        self._takes_new = is_first and self._router.draw_new_version(
            plan.service
        )
        return self._takes_new

    def _is_late(self, plan: Plan, now: float) -> bool:
        """Returns whether the request misses its target even if sent now."""
        target_ms = plan.decision.policy.target_latency_ms
        if not target_ms or plan.priority is Priority.URGENT:
            return False
        service_s = self._router.service_times.estimate_s(plan.route_key)
        return self._measure_left_s(target_ms, now) < service_s

    def _measure_left_s(self, target_ms: int, now: float) -> float:
        """Returns the time until the target latency is missed, in seconds."""
        return self._started_at + target_ms / MS_PER_S - now

    def _limit_wait(self, plan: Plan, now: float) -> int:
        """Returns the longest useful wait, in milliseconds."""
        service_s = self._router.service_times.estimate_s(plan.route_key)
        left_s = plan.deadline - now - service_s
        target_ms = plan.decision.policy.target_latency_ms
        if plan.priority is Priority.URGENT:
            return max(int(left_s * MS_PER_S), 0)
        longest_s = min(left_s, MAX_AGE_S[plan.priority])
        if self._is_late(plan, now):
            longest_s *= LATE_WAIT_SHARE
        elif target_ms:
            left_for_wait_s = (
                self._measure_left_s(target_ms, now)
                - service_s * SERVICE_MARGIN
            )
            slack_s = max(
                left_for_wait_s,
                target_ms / MS_PER_S * MIN_WAIT_SHARE,
            )
            longest_s = min(longest_s, slack_s * WAIT_SHARE)
        return max(int(longest_s * MS_PER_S), 0)


def _compute_head_start(priority: Priority, max_wait_ms: int) -> int:
    """Returns after how long far endpoints are asked, in milliseconds.

    Urgent calls are small and hold the slot of the request behind them.
    """
    if priority is Priority.URGENT:
        return 0
    return int(max_wait_ms * HEAD_START_SHARE)
