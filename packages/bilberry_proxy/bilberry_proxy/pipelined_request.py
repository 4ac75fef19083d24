"""One request of a connection on which a caller may pipeline requests.

A caller may send further requests before the first one is answered. Each
request has its own HTTP state and exchange. Response bytes are buffered until
the responses to all earlier requests are complete.
"""

from logging import getLogger
from typing import Protocol

from bilberry_core.http_message import is_final_status
from bilberry_core.verdict import Failure, FailureCode, Verdict
from h11 import (
    DONE,
    MUST_CLOSE,
    SERVER,
    Connection,
    LocalProtocolError,
    RemoteProtocolError,
    Response,
)

from bilberry_proxy.exchange import Exchange
from bilberry_proxy.failure_answer import build_failure_answer
from bilberry_proxy.http_events import (
    EventBatch,
    encode_continue,
    encode_message,
)
from bilberry_proxy.http_headers import (
    CLOSE,
    CONTENT_LENGTH,
    Headers,
    find_header,
)
from bilberry_proxy.message_reader import MessageReader
from bilberry_proxy.response_track import CutCause, ResponseTrack
from bilberry_proxy.send_buffer import ResponseOutput, SendBuffer

_log = getLogger(__name__)

_BODILESS_STATUSES = frozenset((204, 304))
_HEAD = b'HEAD'
_HEAD_REQUEST = b'HEAD / HTTP/1.1\r\nhost: -\r\n\r\n'


class PipelineOwner(Protocol):
    """The connection on which the requests are received."""

    is_writable: bool
    sent: SendBuffer

    def is_closing_after(self, request: 'PipelinedRequest') -> bool:
        """Returns whether the connection closes after this response."""

    def has_begun_behind(self, request: 'PipelinedRequest') -> bool:
        """Returns whether a later request was begun."""

    def finish(self, request: 'PipelinedRequest') -> None:
        """Handles a complete response."""

    def abort(self, cause: CutCause = CutCause.CONNECTION) -> None:
        """Resets the connection, which cuts every response on it."""

    def set_reading(self, enabled: bool) -> None:
        """Resumes or pauses reading from the caller."""


class PipelinedRequest:
    """One request on a connection, and its response."""

    def __init__(
        self, owner: PipelineOwner, received: bytes, number: int = 0
    ) -> None:
        """Starts with the bytes `received` after the previous request.

        `number` is greater than those of earlier requests.
        """
        self.number = number
        self.exchange: Exchange | None = None
        self.start: EventBatch | None = None
        self.is_read = False
        self.is_callers_last = False
        self.announces_close = False
        self.is_answered = False
        self.is_refused = False
        self.response: ResponseTrack | None = None
        self._owner = owner
        self.output = ResponseOutput(owner.sent)
        self._http = Connection(SERVER)
        self.reader = MessageReader(self._http, received)
        self._writer = self._http
        self._is_head = False

    @property
    def is_writable(self) -> bool:
        """Whether there is room for more of the response.

        What arrives before the earlier responses are complete has to wait.
        """
        return self._owner.is_writable and self.output.has_room

    @property
    def is_begun(self) -> bool:
        """Whether the request was passed on, or answered."""
        return self.exchange is not None or self.is_answered

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may be used for another request."""
        is_last = self.is_callers_last or not self.is_read
        return self._writer.our_state is DONE and not is_last

    def read(self) -> EventBatch:
        """Returns the buffered parts of the request, of one step at most.

        Raises `RemoteProtocolError` if the caller violates the protocol.
        """
        batch = self.reader.read()
        if batch.last:
            self.is_read = True
            self.is_callers_last = self._http.their_state is MUST_CLOSE
        return batch

    def become_first(self) -> None:
        """Flushes the buffer: all earlier responses are complete."""
        was_full = not self.output.has_room
        self.output.become_first()
        if was_full and self.exchange is not None:
            self.exchange.resume_answer()

    def begin(self, exchange: Exchange, batch: EventBatch) -> None:
        """Starts the exchange of a request whose head was received."""
        self.start = None
        self.exchange = exchange
        self._is_head = batch.start.method == _HEAD
        if not batch.last:
            self.output.write(encode_continue(self._writer))
        exchange.begin(batch.start)
        self.feed(batch)

    def feed(self, batch: EventBatch) -> None:
        """Passes more of the request body to the exchange."""
        if self.exchange is not None and (batch.body or batch.last):
            self.exchange.feed(batch.body, batch.last)

    def refuse(self, error: RemoteProtocolError) -> None:
        """Ends a malformed request with a failure; nothing follows it."""
        self.is_refused = True
        if self.exchange is not None:
            failure = _build_refusal(error)
            self.exchange.abandon(failure, CutCause.CALLER)
        elif not self.is_answered:
            self._fail(_build_refusal(error))

    # Called by the exchange.

    def start_answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        last: bool,
    ) -> None:
        """Sends the head and the first bytes of the response."""
        framed = list(headers)
        if last and _needs_length(status, framed):
            framed.append((CONTENT_LENGTH, str(len(body)).encode()))
        if not self.is_read or self._owner.is_closing_after(self):
            self.announces_close = True
        if self.announces_close:
            framed.append(CLOSE)
        if not last and self._owner.has_begun_behind(self):
            self.output.hold()
        sent_body = b'' if self._is_head else body
        if not is_final_status(status):
            self._refuse_answer(LocalProtocolError(f'status {status}'))
            return
        try:
            start = Response(status_code=status, headers=framed)
        except LocalProtocolError as error:
            self._refuse_answer(error)
        else:
            self._write(start, sent_body, last)

    def send_answer_body(self, body: bytes, last: bool) -> None:
        """Sends more of the response body."""
        if not self.is_answered:
            self._write(None, body, last)

    def withdraw_answer(self) -> bool:
        """Takes back a response; False if a part of it may have been sent.

        Another one may follow, so that earlier requests are still answered.
        """
        if self.output.has_passed:
            return False
        self.output.clear()
        self._writer = _build_writer(self._is_head)
        return True

    def abort_answer(self) -> None:
        """Resets the connection, so that the caller detects a truncation."""
        self.exchange = None
        self._owner.abort()

    def report_cut(
        self,
        cause: CutCause,
        failure: Failure | None = None,
    ) -> None:
        """Tells of a response that has begun and is cut."""
        if self.response is not None:
            waiting = self.output.measure_waiting()
            self.response.report_cut(cause, waiting, failure)

    def set_reading(self, enabled: bool) -> None:
        """Resumes or pauses reading, unless the request is complete."""
        if not self.is_read:
            self._owner.set_reading(enabled)

    def _write(self, start: Response | None, body: bytes, last: bool) -> None:
        try:
            raw = encode_message(self._writer, start, body, last)
        except LocalProtocolError as error:
            self._refuse_answer(error)
            return
        self.output.write(raw)
        if last:
            self.exchange = None
            self.is_answered = True
            self.output.release()
            self._owner.finish(self)

    def _refuse_answer(self, error: LocalProtocolError) -> None:
        """Replaces a response that HTTP can't carry by a failure.

        Resets the connection instead if a part of it was sent.
        """
        if self.exchange is not None:
            # Further parts of the answer are refused without a line each.
            _log.warning('answer_malformed', extra={'cause': str(error)})
        self.report_cut(CutCause.UPSTREAM)
        if self.withdraw_answer():
            code = FailureCode.UPSTREAM_MALFORMED
            self._fail(Failure(Verdict.RAN, code, str(error)))
        else:
            self.abort_answer()

    def _fail(self, failure: Failure) -> None:
        answer = build_failure_answer(failure)
        self.start_answer(answer.status, answer.headers, answer.body, last=True)


def _build_refusal(error: RemoteProtocolError) -> Failure:
    return Failure(Verdict.NOT_RUN, FailureCode.BAD_REQUEST, str(error))


def _needs_length(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
    if status in _BODILESS_STATUSES:
        return False
    return not find_header(headers, CONTENT_LENGTH)


def _build_writer(is_head: bool) -> Connection:
    """Returns a connection that has nothing sent of a response."""
    writer = Connection(SERVER)
    if is_head:
        # h11 sends no body in response to a HEAD request that it has read.
        writer.receive_data(_HEAD_REQUEST)
        writer.next_event()
        writer.next_event()
    return writer
