"""One request of a caller's connection, in its turn among those sent ahead.

A caller may send further requests before the first is answered. Each has its
own framing and exchange; what is written before its turn is kept back.
"""

from collections import deque
from typing import Protocol

from bilberry_core.verdict import Failure, FailureCode, Verdict
from h11 import (
    DONE,
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
    read_batch,
)
from bilberry_proxy.http_headers import (
    CLOSE,
    CONTENT_LENGTH,
    Headers,
    find_header,
)

_BODILESS_STATUSES = frozenset((204, 304))


class PipelineOwner(Protocol):
    """The connection that the requests belong to."""

    is_writable: bool

    def is_closing_after(self, request: 'PipelinedRequest') -> bool:
        """Whether the connection ends with the answer of this request."""

    def write(self, raw: bytes) -> None:
        """Sends bytes to the caller."""

    def finish(self, request: 'PipelinedRequest') -> None:
        """The answer of a request is complete."""

    def abort(self) -> None:
        """Ends the connection at once."""

    def control_reading(self, wanted: bool) -> None:
        """Reads more of the caller's bytes, or waits with that."""


class PipelinedRequest:
    """One request and its answer on a connection."""

    def __init__(self, owner: PipelineOwner, received: bytes) -> None:
        """Starts with the bytes that came behind the request before."""
        self.exchange: Exchange | None = None
        self.start: EventBatch | None = None
        self.is_read = False
        self.is_answered = False
        self._owner = owner
        self._http = Connection(SERVER)
        self._is_first = False
        self._pending: list[bytes] = []
        self.receive(received)

    @property
    def is_writable(self) -> bool:
        """Whether the caller keeps up with the answers."""
        return self._owner.is_writable

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow on the connection."""
        return (self._http.our_state, self._http.their_state) == (DONE, DONE)

    @property
    def trailing(self) -> bytes:
        """What has come behind the request."""
        return self._http.trailing_data[0]

    def receive(self, received: bytes) -> None:
        """Takes bytes of the request, or of those behind it."""
        if received:
            self._http.receive_data(received)

    def read(self) -> EventBatch:
        """Returns what is at hand of the request.

        Raises `RemoteProtocolError` where the caller broke the protocol.
        """
        batch = read_batch(self._http)
        self.is_read = self.is_read or batch.last
        return batch

    def become_first(self) -> None:
        """Sends what was kept back: the answers before are complete."""
        self._is_first = True
        pending = b''.join(self._pending)
        self._pending.clear()
        if pending:
            self._owner.write(pending)

    def begin(self, exchange: Exchange, batch: EventBatch) -> None:
        """Begins the exchange of a request that has started."""
        self.start = None
        self.exchange = exchange
        if not batch.last:
            self._write_raw(encode_continue(self._http))
        exchange.begin(batch.start)
        self.feed(batch)

    def feed(self, batch: EventBatch) -> None:
        """Passes more of the request's body on."""
        if self.exchange is not None and (batch.body or batch.last):
            self.exchange.feed(batch.body, batch.last)

    def refuse(self, error: RemoteProtocolError) -> None:
        """Answers bytes that are no request, and ends the connection."""
        if self.exchange is not None:
            self._owner.abort()
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

    # The exchange's side.

    def start_answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        last: bool,
    ) -> None:
        """Sends the start of the answer."""
        framed = list(headers)
        if last and _needs_length(status, framed):
            framed.append((CONTENT_LENGTH, str(len(body)).encode()))
        if not self.is_read or self._owner.is_closing_after(self):
            framed.append(CLOSE)
        self._write(Response(status_code=status, headers=framed), body, last)

    def send_answer_body(self, body: bytes, last: bool) -> None:
        """Sends more of the answer."""
        self._write(None, body, last)

    def abort_answer(self) -> None:
        """Ends the connection, so that the answer is seen to be cut."""
        self.exchange = None
        self._owner.abort()

    def control_reading(self, wanted: bool) -> None:
        """Reads more of the request, or waits with that."""
        if not self.is_read:
            self._owner.control_reading(wanted)

    def _write(self, start: Response | None, body: bytes, last: bool) -> None:
        try:
            raw = encode_message(self._http, start, body, last)
        except LocalProtocolError:
            self.abort_answer()
            return
        self._write_raw(raw)
        if last:
            self.exchange = None
            self.is_answered = True
            self._owner.finish(self)

    def _write_raw(self, raw: bytes) -> None:
        if not raw:
            return
        if self._is_first:
            self._owner.write(raw)
        else:
            self._pending.append(raw)


class RequestPipeline(deque[PipelinedRequest]):
    """The requests of one connection, the one that is answered next first."""

    @property
    def exchanges(self) -> list[Exchange]:
        """The exchanges under way."""
        exchanges = [request.exchange for request in self]
        return [exchange for exchange in exchanges if exchange is not None]

    def cancel(self) -> None:
        """Ends every request: nobody waits for the answers."""
        exchanges = self.exchanges
        self.clear()
        for exchange in exchanges:
            exchange.on_caller_disconnected()


def _needs_length(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
    if status in _BODILESS_STATUSES:
        return False
    return not find_header(headers, CONTENT_LENGTH)
