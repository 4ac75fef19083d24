"""Finds the upstream for each attempt of a request, and a slot there."""

from typing import Protocol

from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import NO_WAIT_LIMIT_MS, SlotRefused
from bilberry_core.verdict import Failure

from bilberry_proxy.attempt import Attempt
from bilberry_proxy.call import SlotReservation
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.decision_log import Outcome
from bilberry_proxy.examination import choose_examiner
from bilberry_proxy.placement import Placement, PlacementChoice
from bilberry_proxy.plan import Plan
from bilberry_proxy.selection import Selection
from bilberry_proxy.slot_search import FoundSlot, SlotSearch


class FinderOwner(Protocol):
    """The request whose attempts are placed."""

    def open_attempt(
        self,
        choice: PlacementChoice,
        reservation: SlotReservation | None = None,
    ) -> None:
        """Sends the request, to a slot that was offered if there is one."""

    def fail(self, failure: Failure) -> None:
        """Handles the refusal of a request that found no slot."""


class SlotFinder:
    """The placement of one request and its search for a slot."""

    def __init__(
        self,
        context: ProxyContext,
        owner: FinderOwner,
        plan: Plan,
        outcome: Outcome,
    ) -> None:
        """Looks for a slot for the request that `plan` and `outcome` tell."""
        self._context = context
        self._owner = owner
        self._plan = plan
        self._outcome = outcome
        waited_s = context.router.usual_deadlines.estimate_elapsed_s(
            plan.route_key, plan.request.deadline_ms
        )
        self._placement = Placement(
            context.router, outcome.started_at - waited_s
        )
        self._search = SlotSearch(context, self)

    def find(self, *, must_queue: bool, examined: bytes = b'') -> bool:
        """Starts the next attempt; False if no endpoint is ready.

        A request that `must_queue` waits at one endpoint only. One with the
        fingerprint `examined` is sent to the endpoint that examines it.
        """
        now = self._context.clock.now()
        choice = self._placement.choose(self._plan, self._outcome.tried, now)
        if choice is not None and examined:
            examiner = choose_examiner(self._get_endpoints(), examined)
            choice = choice._replace(selection=examiner or choice.selection)
        if choice is None:
            return False
        if must_queue:
            waiting = self._placement.wait_at(choice, self._plan, now)
            self._owner.open_attempt(waiting)
        elif choice.selection.is_busy:
            self._start_search()
        else:
            self._owner.open_attempt(choice)
        return True

    def find_after(
        self, attempt: Attempt, failure: Failure, *, may_repeat: bool
    ) -> None:
        """Looks for a slot, as the endpoint of an attempt had none.

        A request that can't be sent again is refused.
        """
        self._outcome.drop_attempt()
        refused = SlotRefused(
            0,
            failure,
            attempt.reported_load,
            attempt.reported_notice,
        )
        self._record(attempt.endpoint, refused)
        if may_repeat:
            self._start_search()
        else:
            self.on_no_slot()

    def cancel(self) -> None:
        """Ends the search."""
        self._search.cancel()

    # Callbacks of the search.

    def on_slot(self, found: FoundSlot) -> None:
        """Sends the request to the slot that was offered first."""
        choice = PlacementChoice(found.selection, NO_WAIT_LIMIT_MS)
        self._owner.open_attempt(choice, found.reservation)

    def on_slot_refused(self, asked: Selection, refused: SlotRefused) -> None:
        """Records that an upstream has no slot in time."""
        self._outcome.slot_refusals += 1
        self._record(asked.endpoint, refused)

    def on_no_slot(self) -> None:
        """Refuses the request."""
        now = self._context.clock.now()
        self._owner.fail(self._placement.build_refusal(self._plan, now))

    def _get_endpoints(self) -> tuple[Endpoint, ...]:
        return self._plan.snapshot.routes[self._plan.service].endpoints

    def _record(self, endpoint: Endpoint, refused: SlotRefused) -> None:
        self._placement.record_refusal(endpoint, self._plan.priority, refused)

    def _start_search(self) -> None:
        plan = self._placement.plan_search(
            self._plan,
            self._outcome.tried,
            self._context.clock.now(),
        )
        if plan is None:
            self.on_no_slot()
            return
        if plan.is_late:
            self._context.metrics.incr('request.late')
        self._search.start(plan)
