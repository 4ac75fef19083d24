"""Calls to one other daemon, multiplexed on one stream.

The stream is opened with the first call and reopened after a loss. A call
that was not yet written to the stream fails as not run; a written one may
have run.
"""

from asyncio import get_running_loop
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from bilberry_core.endpoint import Address
from bilberry_core.messages.allowance import AllowanceAnswer, AllowanceOffer
from bilberry_core.messages.call import (
    NO_LOAD,
    CallAlive,
    CallFailed,
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
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.call import AnswerReceiver, SlotReceiver
from bilberry_proxy.message_handlers import MessageHandlers
from bilberry_proxy.remote_call import RemoteCall, refuse_call
from bilberry_proxy.remote_reservation import (
    RemoteReservation,
    RemoteReservations,
)
from bilberry_proxy.stream_opener import OPEN_WAIT_S, Dialer, StreamOpener

#: Time after which a caller may retry if a daemon could not be reached, in
#: milliseconds.
UNREACHABLE_RETRY_AFTER_MS = 250
#: Time for which no call is sent to a daemon after its `GoAway`, in seconds.
GO_AWAY_BACKOFF_S = 2.0
#: Maximum number of calls that wait for a stream to open.
MAX_WAITING_CALLS = 1024


class CallStream:
    """A target for calls to the upstream beside one other daemon."""

    def __init__(
        self,
        address: Address,
        dialer: Dialer,
        on_allowance: Callable[[Any], None] | None = None,
    ) -> None:
        """Creates the target; the first call opens the stream.

        `on_allowance` is called with what the daemon says of quotas.
        """
        #: Called when a stream has opened, before a call is written to it.
        self.on_open: Callable[[], None] = _do_nothing
        self._address = address
        self._stream: Stream | None = None
        self._calls: dict[int, RemoteCall] = {}
        self._reservations = RemoteReservations(self, self._close_if_left)
        self._last_call = 0
        self._leaving = False
        self._handlers = MessageHandlers(
            {
                ReplyStart: self._handle_reply,
                ReplyChunk: self._handle_chunk,
                CallFailed: self._handle_failed,
                CallAlive: lambda alive: _pass_on(self._calls, alive),
                Credit: lambda credit: _pass_on(self._calls, credit),
                GoAway: self._handle_go_away,
                SlotOffer: self._reservations.receive_offer,
                SlotRefused: self._reservations.receive_refusal,
            }
        )
        if on_allowance is not None:
            self._handlers.add(AllowanceOffer, on_allowance)
            self._handlers.add(AllowanceAnswer, on_allowance)
        self._opener = StreamOpener(
            address, dialer, self._handlers.receive, self
        )

    @property
    def is_open(self) -> bool:
        """Whether the stream is open, and its daemon stays."""
        stream = self._stream
        return stream is not None and stream.is_open and not self._leaving

    @property
    def is_idle(self) -> bool:
        """Whether no call is open and no slot is requested."""
        return not self._calls and not self._reservations

    def open(self, start: CallStart, answers: AnswerReceiver) -> RemoteCall:
        """Opens a call, and a stream if there is none."""
        self._last_call += 1
        numbered = start._replace(call=self._last_call)
        refusal = _find_refusal(
            self._stream,
            len(self._calls),
            self._leaving,
        )
        if refusal is not None:
            return refuse_call(self, numbered, answers, refusal)
        if self._stream is not None:
            return self.start_call(numbered, answers)
        call = RemoteCall(self, numbered, answers)
        if self._opener.request():
            self._calls[numbered.call] = call
            loop = get_running_loop()
            loop.call_later(OPEN_WAIT_S, self._give_up, numbered.call)
        else:
            detail = _describe_target(self._address, 'no stream opens')
            _fail_calls((call,), detail)
        return call

    def reserve(
        self,
        request: SlotRequest,
        receiver: SlotReceiver,
    ) -> RemoteReservation:
        """Requests a slot; refused at once while no stream is open."""
        self._last_call += 1
        if self._stream is None:
            self._opener.request()
        return self._reservations.add(
            request._replace(call=self._last_call),
            receiver,
            _find_refusal(self._stream, len(self._calls), self._leaving),
            is_connected=self._stream is not None,
        )

    def start_call(
        self,
        start: CallStart,
        answers: AnswerReceiver,
    ) -> RemoteCall:
        """Starts a call on the number that `start` has."""
        refusal = _find_closing(self._stream)
        if refusal is not None:
            return refuse_call(self, start, answers, refusal)
        call = RemoteCall(self, start, answers)
        self._calls[start.call] = call
        call.write()
        return call

    def send(self, message: Any) -> None:
        """Sends a message, or drops it if the stream has ended."""
        stream = self._stream
        if stream is not None and stream.is_open:
            stream.send(message)

    def unregister(self, call: RemoteCall) -> bool:
        """Drops all further messages of a call; False if it had ended."""
        return self._pop(call.start.call) is not None

    def close(self) -> None:
        """Closes the stream; open calls fail."""
        self._opener.close()
        if self._stream is not None:
            self._stream.close()

    def stream_opened(self, stream: Stream) -> None:
        """Writes the calls that wait for the stream."""
        self._stream = stream
        stream.on_close = partial(self.stream_lost, 'the stream was lost')
        if not stream.is_open:
            self.stream_lost('the stream was lost')
            return
        self.on_open()
        for call in tuple(self._calls.values()):
            call.write()

    def stream_lost(self, detail: str) -> None:
        """Fails every call; called when the stream or the last dial ends."""
        self._stream = None
        calls = self._calls
        self._calls = {}
        _fail_calls(calls.values(), _describe_target(self._address, detail))
        self._reservations.lose()

    def _give_up(self, number: int) -> None:
        call = self._calls.get(number)
        if call is not None and not call.written:
            self._calls.pop(number)
            detail = _describe_target(self._address, 'no stream opens in time')
            _fail_calls((call,), detail)

    def _handle_reply(self, reply: ReplyStart) -> None:
        call = self._calls.get(reply.call)
        if call is None or call.answer_started:
            return
        call.answer_started = True
        if reply.last:
            self._pop(reply.call)
        else:
            self.send(SliceReceived(reply.call))
        call.answers.start_reply(reply)

    def _handle_chunk(self, chunk: ReplyChunk) -> None:
        call = self._calls.get(chunk.call)
        if call is None or not call.answer_started:
            return
        self.send(SliceReceived(chunk.call))
        if chunk.last:
            self._pop(chunk.call)
        call.answers.continue_reply(chunk)

    def _handle_failed(self, failed: CallFailed) -> None:
        call = self._pop(failed.call)
        if call is not None:
            call.answers.fail(failed)

    def _handle_go_away(self, _go_away: GoAway) -> None:
        def clear() -> None:
            self._leaving = False

        self._leaving = True
        get_running_loop().call_later(GO_AWAY_BACKOFF_S, clear)
        self._close_if_left()

    def _pop(self, number: int) -> RemoteCall | None:
        call = self._calls.pop(number, None)
        self._close_if_left()
        return call

    def _close_if_left(self) -> None:
        if self._leaving and self.is_idle and self._stream is not None:
            # The draining daemon does not close the stream itself, because a
            # call of this daemon could be in flight on it.
            self._stream.close()


def _do_nothing() -> None:
    """Default callback."""


def _pass_on(calls: dict[int, RemoteCall], message: CallAlive | Credit) -> None:
    call = calls.get(message.call)
    if call is None:
        return
    if isinstance(message, Credit):
        call.answers.credit(message.size)
    else:
        call.answers.report_alive(message.alive)


def _describe_target(address: Address, detail: str) -> str:
    """Returns the detail of a failure with the daemon that it concerns."""
    return f'daemon {address.host}:{address.port}: {detail}'


def _find_refusal(
    stream: Stream | None,
    waiting_calls: int,
    leaving: bool,
) -> Failure | None:
    if leaving:
        return _build_not_run(
            FailureCode.DRAINING, 'the daemon is shutting down'
        )
    if stream is None and waiting_calls < MAX_WAITING_CALLS:
        return None
    if stream is not None and stream.is_writable:
        return _find_closing(stream)
    return _build_not_run(FailureCode.OVERLOADED, 'the daemon reads too slowly')


def _find_closing(stream: Stream | None) -> Failure | None:
    """Returns a refusal if nothing can be sent on a stream any more.

    A stream that closes still sends what it has, which may take long.
    """
    if stream is not None and stream.is_open:
        return None
    return _build_not_run(FailureCode.STREAM_LOST, 'the stream closes')


def _fail_calls(calls: Iterable[RemoteCall], detail: str) -> None:
    for call in calls:
        if call.answer_started:
            verdict = Verdict.RAN
        elif call.written:
            verdict = Verdict.MAY_HAVE_RUN
        else:
            verdict = Verdict.NOT_RUN
        failure = Failure(
            verdict,
            FailureCode.STREAM_LOST,
            detail,
            UNREACHABLE_RETRY_AFTER_MS,
        )
        call.answers.fail(CallFailed(call.start.call, failure, NO_LOAD))


def _build_not_run(code: FailureCode, detail: str) -> Failure:
    return Failure(Verdict.NOT_RUN, code, detail, UNREACHABLE_RETRY_AFTER_MS)
