"""Serves the calls that other daemons open on their streams."""

from collections.abc import Callable
from time import monotonic
from typing import Any, Self

from bilberry_core.handshake import Purpose
from bilberry_core.listener import StreamListener
from bilberry_core.messages.allowance import (
    AllowanceFollow,
    AllowanceReport,
)
from bilberry_core.messages.call import (
    CallAlive,
    CallCancel,
    CallChunk,
    CallFailed,
    CallProbe,
    CallStart,
    Credit,
    GoAway,
    ReplyChunk,
    ReplyStart,
    SliceReceived,
    SlotOffer,
    SlotRefused,
    SlotRequest,
)
from bilberry_core.stream import Stream

from bilberry_proxy.allowance_detour import AllowanceDetour
from bilberry_proxy.call import CallTarget, OpenCall, SlotReservation
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.message_handlers import MessageHandlers
from bilberry_proxy.reply_drop import DropCause, LeftBytes, ReplyDropLog
from bilberry_proxy.reply_queue import ReplyQueues
from bilberry_proxy.reply_slices import MAX_SLICE_BYTES


class CallServer:
    """The server of all streams for calls from other daemons."""

    def __init__(
        self,
        target: CallTarget,
        now: Callable[[], float] = monotonic,
        drops: ReplyDropLog = ReplyDropLog(),
    ) -> None:
        """Forwards every received call to `target`.

        `now` returns monotonic time, in seconds. `drops` gets the long
        responses that are not sent whole. What other daemons say of
        quotas goes to `detour`, if there is one.
        """
        self._target = target
        self._replies = ReplyQueues(now, drops)
        self._streams: set[_ServedStream] = set()
        self._is_leaving = False
        self.detour: AllowanceDetour | None = None

    @classmethod
    def from_context(cls, context: ProxyContext, target: CallTarget) -> Self:
        """Builds the server of one proxy."""
        drops = ReplyDropLog(context.metrics, context.dialect)
        return cls(target, context.clock.now, drops)

    @property
    def open_calls(self) -> int:
        """Number of open calls from other daemons."""
        return sum(served.open_calls for served in self._streams)

    @property
    def unsent_responses(self) -> int:
        """Number of long responses with an unsent part."""
        return sum(len(served.replies) for served in self._streams)

    @property
    def left_bytes(self) -> LeftBytes:
        """The bytes of long responses that other daemons have not got."""
        parts = [served.replies.left for served in self._streams]
        return LeftBytes(
            sum(left.unsent for left in parts),
            sum(left.on_way for left in parts),
        )

    @property
    def window_bytes(self) -> float:
        """The bytes of long responses that may be on their way."""
        return self._replies.window.size

    @property
    def open_streams(self) -> int:
        """Number of open streams from other daemons."""
        return len(self._streams)

    def listen(self, listener: StreamListener) -> None:
        """Accepts the streams for calls from now on."""
        listener.handle(Purpose.CALL, self.accept)

    def accept(self, stream: Stream) -> None:
        """Serves a stream until it ends."""
        served = _ServedStream(stream, self._target, self._replies)
        self._streams.add(served)
        detour = self.detour
        if detour is not None:
            served.add_detour(detour)

        def end() -> None:
            self._streams.discard(served)
            served.end()
            if detour is not None:
                detour.drop(served)

        stream.receiver = served.handlers.receive
        stream.on_close = end
        if self._is_leaving:
            served.send(GoAway())

    def report_stop(self) -> None:
        """Tells of the responses that are cut because the proxy ends."""
        for served in self._streams:
            served.replies.report_drops(DropCause.STOP)

    def flush(self) -> None:
        """Sends what waited for receivers that stand still."""
        self._replies.flush()

    def send_go_away(self) -> None:
        """Notifies every other daemon that no new call is accepted.

        Each of them closes its stream once its calls have ended.
        """
        self._is_leaving = True
        for served in tuple(self._streams):
            served.send(GoAway())


class _ServedStream:
    """One stream from another daemon, with its open calls."""

    def __init__(
        self,
        stream: Stream,
        target: CallTarget,
        replies: ReplyQueues,
    ) -> None:
        self.calls: dict[int, OpenCall] = {}
        self.reservations: dict[int, SlotReservation] = {}
        self.replies = replies.open(stream)
        stream.limit_buffer(MAX_SLICE_BYTES)
        stream.on_writable = self.replies.flush
        self._stream = stream
        self._target = target
        self.handlers = MessageHandlers(
            {
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
        calls = self.calls
        self.calls = {}
        for call in calls.values():
            call.cancel()
        reservations = self.reservations
        self.reservations = {}
        for reservation in reservations.values():
            reservation.cancel()

    def _reserve(self, request: SlotRequest) -> None:
        if request.call in self.reservations or request.call in self.calls:
            return
        receiver = _StreamSlotReceiver(self, request.call)
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
        call = self.calls.pop(cancel.call, None)
        if call is not None:
            call.cancel()
        reservation = self.reservations.pop(cancel.call, None)
        if reservation is not None:
            reservation.cancel()

    def _probe(self, probe: CallProbe) -> None:
        call = self.calls.get(probe.call)
        if call is not None:
            call.probe(probe.silence_ms)

    def _acknowledge(self, received: SliceReceived) -> None:
        self.replies.acknowledge(received.call)

    def _grant(self, credit: Credit) -> None:
        call = self.calls.get(credit.call)
        if call is not None:
            call.grant(credit.size)


class _StreamAnswers:
    """Sends the response to one call to the daemon that opened it."""

    __slots__ = ('_call', '_request', '_served', 'ended')

    def __init__(self, served: _ServedStream, start: CallStart) -> None:
        self.ended = False
        self._served = served
        self._call = start.call
        self._request = start.headers

    def start_reply(self, reply: ReplyStart) -> None:
        """Sends the start of the response."""
        self._served.replies.start(reply, self._request)
        self._end(reply.last)

    def continue_reply(self, chunk: ReplyChunk) -> None:
        """Sends more of the response."""
        self._served.replies.add(chunk)
        self._end(chunk.last)

    def fail(self, failed: CallFailed) -> None:
        """Sends the failure that ends the call, and nothing after it."""
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

    def __init__(self, served: _ServedStream, call: int) -> None:
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
        self._served.send(refused)
