"""Serves the calls that one other daemon opens on its stream."""

from typing import Any

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.allowance import (
    AllowanceFollow,
    AllowanceReport,
)
from bilberry_core.messages.call import (
    NO_LOAD,
    CallAlive,
    CallCancel,
    CallChunk,
    CallerStops,
    CallFailed,
    CallProbe,
    CallStart,
    Credit,
    ReplyChunk,
    ReplyStart,
    SliceReceived,
    SlotOffer,
    SlotRefused,
    SlotRequest,
)
from bilberry_core.stream import Stream
from bilberry_core.verdict import Failure

from bilberry_proxy.allowance_detour import AllowanceDetour
from bilberry_proxy.call import CallTarget, OpenCall, SlotReservation
from bilberry_proxy.link_admission import LinkAdmission, WaitingRequest
from bilberry_proxy.message_handlers import MessageHandlers
from bilberry_proxy.reply_drop import DropCause
from bilberry_proxy.reply_queue import ReplyQueues
from bilberry_proxy.reply_slices import MAX_SLICE_BYTES
from bilberry_proxy.served_sizes import build_key


class ServedStream:
    """One stream from another daemon, with its open calls."""

    def __init__(
        self,
        stream: Stream,
        target: CallTarget,
        replies: ReplyQueues,
        link: LinkAdmission,
    ) -> None:
        self.calls: dict[int, OpenCall] = {}
        self.reservations: dict[int, SlotReservation] = {}
        #: The calls that wait for the link.
        self.waiting: set[int] = set()
        self.replies = replies.open(stream)
        stream.limit_buffer(MAX_SLICE_BYTES)
        stream.on_writable = self.replies.flush
        self._stream = stream
        self._target = target
        self.link = link
        self._now = replies.now
        self.handlers = MessageHandlers(
            {
                CallerStops: self._precede,
                CallStart: self._start,
                CallChunk: self._continue,
                CallCancel: self._cancel,
                CallProbe: self._probe,
                Credit: self._grant,
                SliceReceived: self._acknowledge,
                SlotRequest: self._reserve,
            }
        )

    def add_detour(self, detour: AllowanceDetour) -> None:
        """Passes on what the other daemon says of quotas."""
        self.handlers.add(
            AllowanceFollow, lambda _follow: detour.add_follower(self)
        )
        self.handlers.add(
            AllowanceReport, lambda report: detour.pass_on(self, report)
        )

    @property
    def open_calls(self) -> int:
        """Number of calls that are open or not completely answered."""
        return len(self.calls) + len(self.replies)

    def send(self, message: Any) -> None:
        """Sends a message, or drops it if the stream has ended."""
        if self._stream.is_open:
            self._stream.send(message)

    def end(self) -> None:
        """Cancels every call, as no response can be delivered any more."""
        self.replies.close()
        for number in (*self.calls, *self.reservations, *self.waiting):
            self.link.release((self, number))
        self.waiting.clear()
        calls = self.calls
        self.calls = {}
        for call in calls.values():
            call.cancel()
        reservations = self.reservations
        self.reservations = {}
        for reservation in reservations.values():
            reservation.cancel()

    def _reserve(self, request: SlotRequest) -> None:
        known = (self.reservations, self.calls, self.waiting)
        if any(request.call in calls for calls in known):
            return
        receiver = _StreamSlotReceiver(self, request.call)
        waiting_s = request.max_wait_ms / MS_PER_S
        waiting = WaitingRequest(
            (self, request.call),
            request,
            self._now() + waiting_s,
            lambda admitted: self._reserve_slot(admitted, receiver),
            receiver.refuse,
        )
        self.waiting.add(request.call)
        self.link.request(waiting)

    def _reserve_slot(
        self, request: SlotRequest, receiver: '_StreamSlotReceiver'
    ) -> None:
        """Requests the slot: the link has room for the response."""
        self.waiting.discard(request.call)
        reservation = self._target.reserve(request, receiver)
        if receiver.is_refused:
            return
        self.reservations[request.call] = reservation
        if receiver.is_offered:
            self.send(SlotOffer(request.call))

    def _start(self, start: CallStart) -> None:
        if start.call in self.calls:
            return
        answers = _StreamAnswers(self, start)
        refusal = self.link.admit((self, start.call), start)
        if refusal is not None:
            self._drop_reservation(start.call)
            answers.fail(CallFailed(start.call, refusal, NO_LOAD))
            return
        reservation = self.reservations.pop(start.call, None)
        if reservation is None:
            call = self._target.open(start, answers)
        else:
            call = reservation.take(start, answers)
        if not answers.ended:
            self.calls[start.call] = call

    def _continue(self, chunk: CallChunk) -> None:
        call = self.calls.get(chunk.call)
        if call is not None:
            call.send(chunk.body, chunk.last)

    def _cancel(self, cancel: CallCancel) -> None:
        self.replies.cancel(cancel.call)
        self.waiting.discard(cancel.call)
        self.link.release((self, cancel.call))
        call = self.calls.pop(cancel.call, None)
        if call is not None:
            call.cancel()
        self._drop_reservation(cancel.call)

    def _drop_reservation(self, number: int) -> None:
        reservation = self.reservations.pop(number, None)
        if reservation is not None:
            reservation.cancel()

    def _probe(self, probe: CallProbe) -> None:
        call = self.calls.get(probe.call)
        if call is not None:
            call.probe(probe.silence_ms)

    def _acknowledge(self, received: SliceReceived) -> None:
        self.replies.acknowledge(received.call)

    def _precede(self, stops: CallerStops) -> None:
        self.replies.precede_others(self._now() + stops.left_ms / MS_PER_S)

    def _grant(self, credit: Credit) -> None:
        call = self.calls.get(credit.call)
        if call is not None:
            call.grant(credit.size)


class _StreamAnswers:
    """Sends the response to one call to the daemon that opened it."""

    __slots__ = ('_call', '_request', '_served', '_size_key', 'ended')

    def __init__(self, served: ServedStream, start: CallStart) -> None:
        self.ended = False
        self._served = served
        self._call = start.call
        self._request = start.headers
        self._size_key = build_key(start)

    def start_reply(self, reply: ReplyStart) -> None:
        """Sends the start of the response."""
        link = self._served.link
        link.release((self._served, self._call))
        link.sizes.record(self._size_key, reply)
        self._served.replies.start(reply, self._request)
        self._end(reply.last)

    def continue_reply(self, chunk: ReplyChunk) -> None:
        """Sends more of the response."""
        self._served.replies.add(chunk)
        self._end(chunk.last)

    def fail(self, failed: CallFailed) -> None:
        """Sends the failure that ends the call, and nothing after it."""
        self._served.link.release((self._served, self._call))
        self._served.replies.cancel(self._call, DropCause.FAILED)
        self._served.send(failed)
        self._end(last=True)

    def report_alive(self, alive: bool) -> None:
        """Sends whether the upstream responds."""
        self._served.send(CallAlive(self._call, alive))

    def credit(self, size: int) -> None:
        """Sends credit for `size` further bytes of the request body."""
        self._served.send(Credit(self._call, size))

    def _end(self, last: bool) -> None:
        if last:
            self.ended = True
            self._served.calls.pop(self._call, None)


class _StreamSlotReceiver:
    """Sends the offer of a slot to the daemon that requested it."""

    __slots__ = ('_call', '_served', 'is_offered', 'is_refused')

    def __init__(self, served: ServedStream, call: int) -> None:
        self.is_offered = False
        self.is_refused = False
        self._served = served
        self._call = call

    def offer_slot(self) -> None:
        """Sends the offer, unless the reservation isn't recorded yet."""
        self.is_offered = True
        if self._call in self._served.reservations:
            self._served.send(SlotOffer(self._call))

    def refuse_slot(self, refused: SlotRefused) -> None:
        """Sends the refusal."""
        self.is_refused = True
        self._served.reservations.pop(self._call, None)
        self._served.waiting.discard(self._call)
        self._served.link.release((self._served, self._call))
        self._served.send(refused)

    def refuse(self, failure: Failure) -> None:
        """Sends a refusal of this daemon itself."""
        self.refuse_slot(SlotRefused(self._call, failure, NO_LOAD))
