"""One request of a connection on which a caller may pipeline requests.

A caller may send further requests before the first one is answered. Each
request has its own HTTP state and exchange. Response bytes are buffered until
the responses to all earlier requests are complete.
"""

from logging import getLogger
from typing import Protocol

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


class PipelineOwner(Protocol):
    """The connection on which the requests are received."""

    is_writable: bool
    sent: SendBuffer

    def is_closing_after(self, request: 'PipelinedRequest') -> bool:
        """Returns whether the connection closes after this response."""

    def finish(self, request: 'PipelinedRequest') -> None:
        """Handles a complete response."""

    def abort(self, cause: CutCause = CutCause.CONNECTION) -> None:
        """Resets the connection, which cuts every response on it."""

    def set_reading(self, enabled: bool) -> None:
        """Resumes or pauses reading from the caller."""


class PipelinedRequest:
    """One request on a connection, and its response."""

    def __init__(self, owner: PipelineOwner, received: bytes) -> None:
        """Starts with the bytes `received` after the previous request."""
        self.exchange: Exchange | None = None
        self.start: EventBatch | None = None
        self.is_read = False
        self.is_callers_last = False
        self.announces_close = False
        self.is_answered = False
        self.response: ResponseTrack | None = None
        self._owner = owner
        self._output = ResponseOutput(owner.sent)
        self._http = Connection(SERVER)
        self.reader = MessageReader(self._http, received)
        self._writer = self._http
        self._is_head = False

    @property
    def is_writable(self) -> bool:
        """Whether there is room for more of the response.

        What arrives before the earlier responses are complete has to wait.
        """
        return self._owner.is_writable and self._output.has_room

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may be used for another request."""
        return (self._writer.our_state, self._http.their_state) == (DONE, DONE)

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
        was_full = not self._output.has_room
        self._output.become_first()
        if was_full and self.exchange is not None:
            self.exchange.resume_answer()

    def begin(self, exchange: Exchange, batch: EventBatch) -> None:
        """Starts the exchange of a request whose head was received."""
        self.start = None
        self.exchange = exchange
        self._is_head = batch.start.method == _HEAD
        if not batch.last:
            self._output.write(encode_continue(self._writer))
        exchange.begin(batch.start)
        self.feed(batch)

    def feed(self, batch: EventBatch) -> None:
        """Passes more of the request body to the exchange."""
        if self.exchange is not None and (batch.body or batch.last):
            self.exchange.feed(batch.body, batch.last)

    def refuse(self, error: RemoteProtocolError) -> None:
        """Responds to malformed bytes with a failure.

        Aborts the connection instead if a request is in progress.
        """
        if self.exchange is not None:
            self._owner.abort(CutCause.CALLER)
            return
        failure = Failure(
            Verdict.NOT_RUN,
            FailureCode.BAD_REQUEST,
            str(error),
        )
        answer = build_failure_answer(failure)
        self.start_answer(
            answer.status,
            answer.headers,
            answer.body,
            last=True,
        )

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
        sent_body = b'' if self._is_head else body
        try:
            start = Response(status_code=status, headers=framed)
        except LocalProtocolError as error:
            self._refuse_answer(error)
        else:
            self._write(start, sent_body, last)

    def send_answer_body(self, body: bytes, last: bool) -> None:
        """Sends more of the response body."""
        self._write(None, body, last)

    def withdraw_answer(self) -> bool:
        """Takes back a response; False if a part of it may have been sent.

        Another one may follow, so that earlier requests are still answered.
        """
        if self._output.is_first or self._is_head:
            return False
        self._output.clear()
        self._writer = Connection(SERVER)
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
            waiting = self._output.measure_waiting()
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
        self._output.write(raw)
        if last:
            self.exchange = None
            self.is_answered = True
            self._owner.finish(self)

    def _refuse_answer(self, error: LocalProtocolError) -> None:
        if self.exchange is not None:
            # Further parts of the answer are refused without a line each.
            _log.warning('answer_malformed', extra={'cause': str(error)})
        self.report_cut(CutCause.UPSTREAM)
        self.abort_answer()


def _needs_length(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
    if status in _BODILESS_STATUSES:
        return False
    return not find_header(headers, CONTENT_LENGTH)
