"""One HTTP/1.1 connection of a caller, by h11.

Requests of one connection are served one after the other. A caller that
hangs up cancels its request.
"""

from asyncio import Protocol, Transport
from collections.abc import Callable

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

#: Bytes of later requests that a caller may send ahead.
MAX_AHEAD_BYTES = 64 << 10
#: Longest time without a whole request head, in seconds.
MAX_IDLE_S = 60.0
_BODILESS_STATUSES = frozenset((204, 304))


class CallerConnection(Protocol):
    """Serves the requests of one caller's connection."""

    def __init__(
        self,
        build_exchange: Callable[['CallerConnection'], Exchange],
        connections: set['CallerConnection'],
    ) -> None:
        """Takes its place in `connections` while it is open."""
        self.is_writable = True
        self.is_draining = False
        self._build_exchange = build_exchange
        self._connections = connections
        self._http = Connection(SERVER)
        self._transport: Transport | None = None
        self._exchange: Exchange | None = None
        self._reading_events = False
        self._idle_since: float | None = None

    # The event loop's side.

    def connection_made(self, transport: Transport) -> None:
        """Called by the event loop."""
        self._transport = transport
        self._connections.add(self)

    def data_received(self, received: bytes) -> None:
        """Called by the event loop."""
        self._http.receive_data(received)
        self._read_events()

    def pause_writing(self) -> None:
        """Called by the event loop when the caller reads too slowly."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Called by the event loop when the caller has caught up."""
        self.is_writable = True
        if self._exchange is not None:
            self._exchange.resume_answer()

    def connection_lost(self, _error: Exception | None) -> None:
        """Called by the event loop."""
        self._transport = None
        self._connections.discard(self)
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.caller_gone()

    def expire_idle(self, now: float) -> None:
        """Ends the connection where no request has come for long.

        `now` is monotonic time, in seconds.
        """
        if self._exchange is not None or self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since > MAX_IDLE_S and self._transport:
            self._transport.close()

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
        if self.is_draining or self._http.their_state is not DONE:
            framed.append(CLOSE)
        self._write(Response(status_code=status, headers=framed), body, last)

    def continue_answer(self, body: bytes, last: bool) -> None:
        """Sends more of the answer."""
        self._write(None, body, last)

    def cut_answer(self) -> None:
        """Ends the connection, so that the answer is seen to be cut."""
        self._exchange = None
        if self._transport is not None:
            self._transport.abort()

    def control_reading(self, wanted: bool) -> None:
        """Reads more of the request, or waits with that."""
        if self._transport is None:
            return
        if wanted:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _write(self, start: Response | None, body: bytes, last: bool) -> None:
        if self._transport is None:
            return
        try:
            raw = encode_message(self._http, start, body, last)
        except LocalProtocolError:
            self.cut_answer()
            return
        self._transport.write(raw)
        if last:
            self._finish()

    def _finish(self) -> None:
        self._exchange = None
        http = self._http
        if (http.our_state, http.their_state) != (DONE, DONE):
            self._transport.close()
            return
        http.start_next_cycle()
        self._transport.resume_reading()
        if http.trailing_data[0]:
            self._read_events()

    def _read_events(self) -> None:
        if self._reading_events:
            return
        self._reading_events = True
        try:
            is_more = True
            while is_more:
                is_more = self._hand_on(read_batch(self._http))
        except RemoteProtocolError as error:
            self._refuse(error)
        finally:
            self._reading_events = False
        if len(self._http.trailing_data[0]) > MAX_AHEAD_BYTES:
            self.control_reading(wanted=False)

    def _hand_on(self, batch: EventBatch) -> bool:
        if batch.is_empty:
            return False
        if batch.start is not None:
            self._exchange = self._build_exchange(self)
            self._idle_since = None
            if not batch.last:
                self._transport.write(encode_continue(self._http))
            self._exchange.begin(batch.start)
        exchange = self._exchange
        if exchange is not None and (batch.body or batch.last):
            exchange.feed(batch.body, batch.last)
        return self._exchange is None or not batch.last

    def _refuse(self, error: RemoteProtocolError) -> None:
        exchange = self._exchange
        if exchange is not None:
            exchange.caller_gone()
            self.cut_answer()
            return
        failure = Failure(
            Verdict.NOT_RUN,
            FailureCode.BAD_REQUEST,
            str(error),
        )
        answer = build_failure_answer(failure)
        self.is_draining = True
        self.start_answer(
            answer.status,
            answer.headers,
            answer.body,
            last=True,
        )


def _needs_length(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
    if status in _BODILESS_STATUSES:
        return False
    return not find_header(headers, CONTENT_LENGTH)
