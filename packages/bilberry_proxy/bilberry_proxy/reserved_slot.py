"""A place in the queue of an upstream for a request that is elsewhere.

The request is sent once its turn has come. Until then it may wait for a slot
at other upstreams as well, and none of them has its content.
"""

from enum import IntEnum
from typing import Protocol

from bilberry_core.clock import Clock
from bilberry_core.messages.call import (
    CallStart,
    Load,
    SlotRefused,
    SlotRequest,
)
from bilberry_core.metric import Metrics
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.call import AnswerReceiver, OpenCall, SlotReceiver
from bilberry_proxy.early_offers import EarlyOffers
from bilberry_proxy.notice_keeper import NoticeKeeper
from bilberry_proxy.timers import Timer, TimerWheel

#: Time for which a slot is kept for the request that it was offered to, in
#: seconds. A sender that answers takes a few milliseconds.
OFFER_S = 0.2


class ReservationState(IntEnum):
    """The stages of a reservation, in their order."""

    QUEUED = 0
    OFFERED = 1
    ENDED = 2


class SlotKeeper(Protocol):
    """The admitter of a reservation."""

    clock: Clock
    timers: TimerWheel
    metrics: Metrics
    notices: NoticeKeeper
    early_offers: EarlyOffers

    def measure_load(self) -> Load:
        """Returns the load of the upstream."""

    def open(self, start: CallStart, answers: AnswerReceiver) -> OpenCall:
        """Admits, queues or refuses a call."""

    def open_reserved(
        self,
        start: CallStart,
        answers: AnswerReceiver,
    ) -> OpenCall:
        """Runs a call in the slot that is kept for it."""

    def leave_queue(self, reservation: 'ReservedSlot') -> None:
        """Removes a reservation that no longer waits."""

    def return_slot(self) -> None:
        """Frees a slot that was offered and not used."""


class ReservedSlot:
    """A reservation; implements `SlotReservation` for its requester."""

    def __init__(
        self,
        request: SlotRequest,
        receiver: SlotReceiver,
        keeper: SlotKeeper,
    ) -> None:
        """Starts waiting; the keeper puts it into its queue."""
        self._call = request.call
        self._receiver = receiver
        self._keeper = keeper
        self._state = ReservationState.QUEUED
        self._offered_at: float = 0
        self._timer: Timer | None = None

    # Called by the requester.

    def take(self, start: CallStart, answers: AnswerReceiver) -> OpenCall:
        """Runs the request in its slot; without one it is like any other."""
        if self._end() is ReservationState.OFFERED:
            take_s = self._keeper.clock.now() - self._offered_at
            self._keeper.early_offers.record_take(take_s)
            return self._keeper.open_reserved(start, answers)
        return self._keeper.open(start, answers)

    def cancel(self) -> None:
        """Gives up the slot, or the wait for it."""
        before = self._end()
        if before is ReservationState.QUEUED:
            self._keeper.leave_queue(self)
        elif before is ReservationState.OFFERED:
            self._keeper.return_slot()

    # Called by the keeper.

    def offer(self) -> None:
        """Offers the requester a slot."""
        self._state = ReservationState.OFFERED
        keeper = self._keeper
        self._offered_at = keeper.clock.now()
        self._timer = keeper.timers.schedule(
            self._offered_at + OFFER_S,
            self._expire,
        )
        keeper.metrics.incr('slot.offered')
        self._receiver.offer_slot()

    def fail(
        self,
        code: FailureCode,
        detail: str,
        retry_after_ms: int = 0,
    ) -> None:
        """Ends the reservation and reports why to the requester."""
        if self._end() is ReservationState.ENDED:
            return
        keeper = self._keeper
        keeper.metrics.incr('slot.refused')
        failure = Failure(Verdict.NOT_RUN, code, detail, retry_after_ms)
        self._receiver.refuse_slot(
            SlotRefused(
                self._call,
                failure,
                keeper.measure_load(),
                keeper.notices.shared,
            ),
        )

    def _expire(self) -> None:
        keeper = self._keeper
        keeper.metrics.incr('slot.not_taken')
        self.fail(FailureCode.NO_FREE_SLOT, 'the slot was not taken in time')
        keeper.return_slot()

    def _end(self) -> ReservationState:
        before = self._state
        self._state = ReservationState.ENDED
        if self._timer is not None:
            self._timer.cancel()
        return before
