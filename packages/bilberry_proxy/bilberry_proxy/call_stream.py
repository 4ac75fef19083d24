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
from bilberry_core.messages.call import (
    CallAlive,
    CallFailed,
    CallStart,
    Credit,
    GoAway,
    Load,
    ReplyChunk,
    ReplyStart,
    SliceReceived,
)
from bilberry_core.stream import Stream
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.call import AnswerReceiver
from bilberry_proxy.remote_call import RemoteCall
from bilberry_proxy.stream_opener import OPEN_WAIT_S, Dialer, StreamOpener

#: Time after which a caller may retry if a daemon could not be reached, in
#: milliseconds.
UNREACHABLE_RETRY_AFTER_MS = 250
#: Time for which no call is sent to a daemon after its `GoAway`, in seconds.
GO_AWAY_BACKOFF_S = 2.0
#: Maximum number of calls that wait for a stream to open.
MAX_WAITING_CALLS = 1024

_NO_LOAD = Load(0, 0, 0, 0)


class CallStream:
    """A target for calls to the upstream beside one other daemon."""

    def __init__(self, address: Address, dialer: Dialer) -> None:
        """Creates the target; the first call opens the stream."""
        self._address = address
        self._opener = StreamOpener(address, dialer, self._receive, self)
        self._stream: Stream | None = None
        self._calls: dict[int, RemoteCall] = {}
        self._last_call = 0
        self._leaving = False
        self._handlers: dict[type, Callable[[Any], None]] = {
            ReplyStart: self._handle_reply,
            ReplyChunk: self._handle_chunk,
            CallFailed: self._handle_failed,
            CallAlive: self._handle_alive,
            Credit: self._handle_credit,
            GoAway: self._handle_go_away,
        }

    @property
    def is_idle(self) -> bool:
        """Whether no call is open."""
        return not self._calls

    def open(self, start: CallStart, answers: AnswerReceiver) -> RemoteCall:
        """Opens a call, and a stream if there is none."""
        self._last_call += 1
        numbered = start._replace(call=self._last_call)
        call = RemoteCall(self, numbered, answers)
        refusal = _find_refusal(
            self._stream,
            len(self._calls),
            self._leaving,
        )
        if refusal is not None:
            _refuse(call, refusal)
            return call
        if self._stream is not None:
            self._calls[numbered.call] = call
            call.write()
        elif self._opener.request():
            self._calls[numbered.call] = call
            loop = get_running_loop()
            loop.call_later(OPEN_WAIT_S, self._give_up, numbered.call)
        else:
            detail = _describe_target(self._address, 'no stream opens')
            _fail_calls((call,), detail)
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
        for call in tuple(self._calls.values()):
            call.write()

    def stream_lost(self, detail: str) -> None:
        """Fails every call; called when the stream or the last dial ends."""
        self._stream = None
        calls = self._calls
        self._calls = {}
        _fail_calls(calls.values(), _describe_target(self._address, detail))

    def _give_up(self, number: int) -> None:
        call = self._calls.get(number)
        if call is not None and not call.written:
            self._calls.pop(number)
            detail = _describe_target(self._address, 'no stream opens in time')
            _fail_calls((call,), detail)

    def _receive(self, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

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

    def _handle_alive(self, alive: CallAlive) -> None:
        call = self._calls.get(alive.call)
        if call is not None:
            call.answers.report_alive(alive.alive)

    def _handle_credit(self, credit: Credit) -> None:
        call = self._calls.get(credit.call)
        if call is not None:
            call.answers.credit(credit.size)

    def _handle_go_away(self, _go_away: GoAway) -> None:
        self._leaving = True
        get_running_loop().call_later(GO_AWAY_BACKOFF_S, self._clear_go_away)
        self._pop(0)

    def _clear_go_away(self) -> None:
        self._leaving = False

    def _pop(self, number: int) -> RemoteCall | None:
        call = self._calls.pop(number, None)
        if self._leaving and not self._calls and self._stream is not None:
            # The draining daemon does not close the stream itself, because a
            # call of this daemon could be in flight on it.
            self._stream.close()
        return call


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
        return None
    return _build_not_run(FailureCode.OVERLOADED, 'the daemon reads too slowly')


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
        call.answers.fail(CallFailed(call.start.call, failure, _NO_LOAD))


def _build_not_run(code: FailureCode, detail: str) -> Failure:
    return Failure(Verdict.NOT_RUN, code, detail, UNREACHABLE_RETRY_AFTER_MS)


def _refuse(call: RemoteCall, failure: Failure) -> None:
    call.answers.fail(CallFailed(call.start.call, failure, _NO_LOAD))
