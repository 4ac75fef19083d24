"""Looks for a slot at several upstreams at once; the first one is used.

This handles a service whose upstreams are nearly all in use, each of which
runs few requests at a time. Who queues at one of them waits while others
become free, and no picture of their load is fresh enough to tell which. So a
request takes a place in several queues and is sent to the upstream that has a
slot first. The places cost a small message each; the request itself is sent
once. Upstreams of other failure domains are asked later than near ones, as
traffic between domains is expensive.
"""

from typing import NamedTuple, Protocol

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.call import SlotRefused, SlotRequest
from bilberry_core.policy import Priority

from bilberry_proxy.call import CallTarget, SlotReservation
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.selection import Selection
from bilberry_proxy.timers import Timer

#: Time after the longest wait in which the last refusal may arrive, in
#: seconds.
REFUSAL_GRACE_S = 0.05


class SearchPlan(NamedTuple):
    """Where a request looks for a slot, and for how long.

    The `far` upstreams are asked after `head_start_ms`, or when all near ones
    have refused. `is_late` tells that the request misses its target latency
    even with a slot at once. `response_bytes` is described at `CallStart`.
    """

    service: str
    priority: Priority
    near: tuple[Selection, ...]
    far: tuple[Selection, ...]
    max_wait_ms: int
    head_start_ms: int = 0
    is_late: bool = False
    response_bytes: int = 0


class FoundSlot(NamedTuple):
    """The slot that was offered first, and where it is."""

    selection: Selection
    reservation: SlotReservation


class SearchOwner(Protocol):
    """The request that needs a slot."""

    def on_slot(self, found: FoundSlot) -> None:
        """Handles the slot; all other reservations are withdrawn."""

    def on_slot_refused(self, asked: Selection, refused: SlotRefused) -> None:
        """Handles the refusal of one upstream."""

    def on_no_slot(self) -> None:
        """Handles the end of the search: no upstream has a slot in time."""


class SlotSearch:
    """The reservations of one request."""

    def __init__(self, context: ProxyContext, owner: SearchOwner) -> None:
        """Starts without reservations."""
        self._context = context
        self._owner = owner
        self._plan: SearchPlan | None = None
        self._asks: set[_Ask] = set()
        self._expires_at: float = 0
        self._timers: list[Timer] = []
        self._far: tuple[Selection, ...] = ()

    def start(self, plan: SearchPlan) -> None:
        """Requests slots at the near upstreams, and later at the far ones."""
        context = self._context
        now = context.clock.now()
        self._plan = plan
        self._far = plan.far
        self._expires_at = now + plan.max_wait_ms / MS_PER_S
        self._timers.append(
            context.timers.schedule(
                self._expires_at + REFUSAL_GRACE_S,
                self._give_up,
            ),
        )
        if plan.near and plan.far:
            head_start_s = plan.head_start_ms / MS_PER_S
            self._timers.append(
                context.timers.schedule(now + head_start_s, self._ask_far),
            )
            self._ask_all(plan.near)
        else:
            self._far = ()
            self._ask_all(plan.near or plan.far)

    def cancel(self) -> None:
        """Withdraws every reservation; no callback follows."""
        self._plan = None
        for timer in self._timers:
            timer.cancel()
        asks = self._asks
        self._asks = set()
        for ask in asks:
            ask.cancel()

    def _ask_far(self) -> None:
        far = self._far
        self._far = ()
        self._ask_all(far)

    def _ask_all(self, selections: tuple[Selection, ...]) -> None:
        asks = [_Ask(self, selection) for selection in selections]
        self._asks.update(asks)
        for ask in asks:
            if self._plan is None:
                return
            target = self._context.find_target(ask.selection.endpoint)
            ask.start(target, self._build_request())

    def _build_request(self) -> SlotRequest:
        plan = self._plan
        left_s = self._expires_at - self._context.clock.now()
        max_wait_ms = max(int(left_s * MS_PER_S), 0)
        return SlotRequest(
            0,
            plan.service,
            plan.priority,
            max_wait_ms,
            plan.is_late,
            plan.response_bytes,
        )

    def found(self, ask: '_Ask') -> None:
        """Uses the slot that was offered first."""
        if self._plan is None:
            return
        self._asks.discard(ask)
        self.cancel()
        self._owner.on_slot(FoundSlot(ask.selection, ask.reservation))

    def refused(self, ask: '_Ask', refused: SlotRefused) -> None:
        """Ends the search with the last refusal."""
        self._asks.discard(ask)
        if self._plan is None:
            return
        self._owner.on_slot_refused(ask.selection, refused)
        if self._asks or self._plan is None:
            return
        if self._far:
            self._ask_far()
        else:
            self._give_up()

    def _give_up(self) -> None:
        if self._plan is not None:
            self.cancel()
            self._owner.on_no_slot()


class _Ask:
    """One reservation of a search."""

    def __init__(self, search: SlotSearch, selection: Selection) -> None:
        self.selection = selection
        self.reservation: SlotReservation | None = None
        self._search = search
        self._is_offered = False

    def start(self, target: CallTarget, request: SlotRequest) -> None:
        """Requests the slot."""
        self.reservation = target.reserve(request, self)
        if self._is_offered:
            self._search.found(self)

    def cancel(self) -> None:
        """Withdraws the request."""
        if self.reservation is not None:
            self.reservation.cancel()

    def offer_slot(self) -> None:
        """Receives the slot."""
        self._is_offered = True
        if self.reservation is not None:
            self._search.found(self)

    def refuse_slot(self, refused: SlotRefused) -> None:
        """Receives the refusal."""
        self._search.refused(self, refused)
