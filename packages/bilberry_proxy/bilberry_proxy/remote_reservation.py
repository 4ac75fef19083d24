"""The slots requested on the stream to another daemon."""

from collections.abc import Callable
from typing import Protocol

from bilberry_core.messages.call import (
    NO_LOAD,
    CallCancel,
    CallStart,
    SlotOffer,
    SlotRefused,
    SlotRequest,
)
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.call import AnswerReceiver, OpenCall, SlotReceiver
from bilberry_proxy.remote_call import CallOwner, refuse_call

_NOT_CONNECTED = Failure(
    Verdict.NOT_RUN,
    FailureCode.NO_FREE_SLOT,
    'no stream to the daemon is open',
)


class ReservationStream(CallOwner, Protocol):
    """The stream on which slots are requested."""

    def start_call(self, start: CallStart, answers: AnswerReceiver) -> OpenCall:
        """Starts a call on the number that `start` has."""


class RemoteReservation:
    """One requested slot; implements `SlotReservation`."""

    __slots__ = ('_owner', 'receiver', 'request')

    def __init__(
        self,
        owner: 'RemoteReservations',
        request: SlotRequest,
        receiver: SlotReceiver,
    ) -> None:
        """Creates a reservation of a slot that was not requested yet."""
        self.request = request
        self.receiver = receiver
        self._owner = owner

    def take(self, start: CallStart, answers: AnswerReceiver) -> OpenCall:
        """Sends the request to the slot that was offered."""
        return self._owner.start(self, start, answers)

    def cancel(self) -> None:
        """Gives up the slot, or the wait for it."""
        self._owner.drop(self)

    def fail(self, failure: Failure = _NOT_CONNECTED) -> None:
        """Reports that no slot follows."""
        refused = SlotRefused(self.request.call, failure, NO_LOAD)
        self.receiver.refuse_slot(refused)


class RemoteReservations:
    """The slots requested on one stream that were not used yet."""

    def __init__(
        self,
        stream: ReservationStream,
        on_dropped: Callable[[], None],
    ) -> None:
        """Calls `on_dropped` after a request for a slot is withdrawn."""
        self._stream = stream
        self._on_dropped = on_dropped
        self._open: dict[int, RemoteReservation] = {}

    def __len__(self) -> int:
        """Returns how many slots are requested."""
        return len(self._open)

    def add(
        self,
        request: SlotRequest,
        receiver: SlotReceiver,
        refusal: Failure | None,
        *,
        is_connected: bool,
    ) -> RemoteReservation:
        """Requests a slot, unless there is a refusal or no open stream."""
        reservation = RemoteReservation(self, request, receiver)
        if refusal is not None:
            reservation.fail(refusal)
        elif is_connected:
            self._open[request.call] = reservation
            self._stream.send(request)
        else:
            reservation.fail()
        return reservation

    def start(
        self,
        reservation: RemoteReservation,
        start: CallStart,
        answers: AnswerReceiver,
    ) -> OpenCall:
        """Sends the request to the slot, on the number of the reservation."""
        number = reservation.request.call
        numbered = start._replace(call=number)
        if self._open.pop(number, None) is None:
            return refuse_call(self._stream, numbered, answers, _NOT_CONNECTED)
        return self._stream.start_call(numbered, answers)

    def drop(self, reservation: RemoteReservation) -> None:
        """Withdraws the request for a slot."""
        number = reservation.request.call
        if self._open.pop(number, None) is not None:
            self._stream.send(CallCancel(number))
            self._on_dropped()

    def lose(self) -> None:
        """Fails every reservation: the stream has ended."""
        lost = self._open
        self._open = {}
        for reservation in lost.values():
            reservation.fail()

    def receive_offer(self, offer: SlotOffer) -> None:
        """Passes on the offer of a slot."""
        reservation = self._open.get(offer.call)
        if reservation is not None:
            reservation.receiver.offer_slot()

    def receive_refusal(self, refused: SlotRefused) -> None:
        """Passes on a refusal, unless the slot was taken meanwhile."""
        reservation = self._open.pop(refused.call, None)
        if reservation is not None:
            reservation.receiver.refuse_slot(refused)
