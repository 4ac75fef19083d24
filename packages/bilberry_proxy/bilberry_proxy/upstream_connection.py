"""One HTTP/1.1 connection to the upstream beside this daemon, with h11.

A connection serves one request at a time. It is reused only if the response
ended where its framing says and no bytes are left unread. What is received is
parsed in steps, and a connection that exceeds a limit of a message is aborted.
"""

from asyncio import Protocol, Transport
from collections import deque
from typing import Protocol as Interface

from bilberry_core.http_message import find_head_fault
from bilberry_core.metric import Metrics, NullMetrics
from bilberry_core.verdict import FailureCode
from h11 import (
    CLIENT,
    DONE,
    Connection,
    LocalProtocolError,
    ProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)

from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.http_events import EventBatch, encode_message
from bilberry_proxy.http_headers import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Headers,
    find_header,
    select_answer_headers,
)
from bilberry_proxy.message_limits import StraySize, report_limit
from bilberry_proxy.message_reader import MessageReader
from bilberry_proxy.reading_pace import ReadingPace
from bilberry_proxy.upstream_request import (
    UpstreamRequest,
    frame_request,
    is_stray,
)

#: Requests of a connection that are remembered.
MAX_REMEMBERED = 64
_BODILESS_STATUSES = frozenset((204, 304))
_PEER = 'upstream'


class ResponseReceiver(Interface):
    """A receiver of the response on a connection, or of its failure."""

    def on_response(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        last: bool,
    ) -> None:
        """Receives the start of the response."""

    def on_body(self, body: bytes, last: bool) -> None:
        """Receives more of the response body."""

    def on_broken(self, code: FailureCode, detail: str) -> None:
        """Called when the connection ended before the response did."""

    def resume_request(self) -> None:
        """Called when the connection is writable again."""


class ConnectionOwner(Interface):
    """An owner that is notified when requests and connections end."""

    def connection_free(self, connection: 'UpstreamConnection') -> None:
        """Called when the response is complete and the connection reusable."""

    def connection_ended(self, connection: 'UpstreamConnection') -> None:
        """Called when the connection has ended."""


class UpstreamConnection(Protocol):
    """A pooled connection that serves one request after the other."""

    def __init__(
        self,
        owner: ConnectionOwner,
        dialect: HttpDialect = OWN_DIALECT,
        metrics: Metrics = NullMetrics(),
    ) -> None:
        """Creates an unconnected protocol; the upstream uses `dialect`."""
        self._dialect = dialect
        self._metrics = metrics
        self._has_length = True
        self._request: UpstreamRequest | None = None
        self._is_stray = False
        self.is_writable = True
        self._owner = owner
        self._http = Connection(CLIENT)
        self._reader = MessageReader(self._http)
        self._stray = StraySize()
        self._pace = ReadingPace(self._read)
        self._transport: Transport | None = None
        self._receiver: ResponseReceiver | None = None
        self._method = b''
        #: The requests that were sent here. A late copy of the response to
        #: one of them would look like that to a retry.
        self.served: deque[bytes] = deque(maxlen=MAX_REMEMBERED)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and self._receiver is None
        )

    def connection_made(self, transport: Transport) -> None:
        """Stores the transport of the new connection."""
        self._transport = transport
        self._pace.open(transport)

    def begin(
        self,
        request: UpstreamRequest,
        receiver: ResponseReceiver,
    ) -> None:
        """Sends the start of a request, in one write.

        Raises `LocalProtocolError` if h11 rejects it; nothing is sent then.
        """
        start = Request(
            method=request.method,
            target=request.target,
            headers=frame_request(request),
        )
        raw = encode_message(self._http, start, request.body, request.last)
        self._receiver = receiver
        self._request = request
        self._stray = StraySize()
        self.set_reading(enabled=True)
        self.served.append(request.request_id)
        self._method = request.method
        self._transport.write(raw)

    def send(self, body: bytes, last: bool) -> None:
        """Sends more of the request's body."""
        if self._receiver is None:
            return
        try:
            raw = encode_message(self._http, None, body, last)
        except LocalProtocolError as error:
            self._fail_malformed(error)
            return
        self._transport.write(raw)

    def set_reading(self, enabled: bool) -> None:
        """Resumes or pauses reading the response."""
        self._pace.set_room(enabled)

    def half_close(self) -> bool:
        """Closes the sending side, which cancels the request.

        Returns False if the connection has ended.
        """
        self._receiver = None
        if self._transport is None or self._transport.is_closing():
            return False
        self._pace.set_room(has_room=True)
        self._transport.write_eof()
        return True

    def abort(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, received: bytes) -> None:
        """Parses received bytes and passes on the response in them."""
        if self._receiver is None:
            self.abort()
            return
        self._reader.receive(received)
        self._read()

    def eof_received(self) -> None:
        """Called by the event loop when the upstream has sent everything."""
        if self._receiver is None or self._has_length:
            return
        self._reader.receive_end()
        self._read()
        while self._receiver is not None and self._reader.has_more:
            self._read()

    def pause_writing(self) -> None:
        """Called by the event loop when the upstream reads too slowly."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Called by the event loop when the upstream has caught up."""
        self.is_writable = True
        if self._receiver is not None:
            self._receiver.resume_request()

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the request in progress and notifies the owner."""
        self._transport = None
        self._pace.close()
        receiver = self._receiver
        self._receiver = None
        if receiver is not None:
            detail = str(error or 'closed by the upstream')
            receiver.on_broken(FailureCode.UPSTREAM_CLOSED, detail)
        self._owner.connection_ended(self)

    def _read(self) -> None:
        """Reads one step, and leaves what is behind it to the next turn."""
        if self._receiver is None:
            return
        try:
            batch = self._reader.read()
            self._deliver(batch)
        except RemoteProtocolError as error:
            self._fail_malformed(error)
            return
        if self._receiver is not None and self._reader.has_more:
            self._pace.continue_soon()

    def _deliver(self, batch: EventBatch) -> None:
        receiver = self._receiver
        start = batch.start
        headers = tuple(start.headers) if start is not None else ()
        if start is not None:
            self._has_length = _is_framed(self._method, start, headers)
            _check_start(start, self._has_length, self._dialect)
            self._is_stray = is_stray(
                self._request,
                headers,
                self._dialect,
            )
        if self._is_stray:
            self._skip_stray(batch)
            return
        if batch.last:
            self._finish()
        if start is not None:
            receiver.on_response(
                start.status_code,
                select_answer_headers(headers),
                batch.body,
                batch.last,
            )
        elif not batch.is_empty:
            receiver.on_body(batch.body, batch.last)

    def _skip_stray(self, batch: EventBatch) -> None:
        """Discards a late response to an earlier request, and reads on."""
        self._stray.add(len(batch.body), batch.last)
        if not batch.last:
            return
        unread = self._reader.unread
        request = self._request
        if self._http.our_state is not DONE or not self._has_length:
            raise RemoteProtocolError('received a response to another request')
        self._is_stray = False
        self._http = Connection(CLIENT)
        self._reader = MessageReader(self._http, unread)
        # h11 parses a response only after a request was sent through the same
        # object. The real request was already sent, so these bytes are
        # dropped.
        start = Request(
            method=request.method,
            target=request.target,
            headers=[(b'host', b'-')],
        )
        encode_message(self._http, start, b'', last=True)
        if unread:
            self._read()

    def _finish(self) -> None:
        self._receiver = None
        http = self._http
        unread = self._reader.unread
        if unread or (http.our_state, http.their_state) != (DONE, DONE):
            self.abort()
            return
        http.start_next_cycle()
        self._owner.connection_free(self)

    def _fail_malformed(self, error: ProtocolError) -> None:
        receiver = self._receiver
        self._receiver = None
        self.abort()
        request_id = self._request.request_id.decode('latin-1')
        report_limit(error, _PEER, self._metrics, request_id)
        if receiver is not None:
            receiver.on_broken(FailureCode.UPSTREAM_MALFORMED, str(error))


def _check_start(
    start: Response, has_length: bool, dialect: HttpDialect
) -> None:
    """Raises `RemoteProtocolError` for a response that can't be read."""
    fault = find_head_fault(start)
    if fault:
        raise RemoteProtocolError(fault)
    if not has_length and not dialect.close_delimited:
        raise RemoteProtocolError('the response has no length')


def _is_framed(method: bytes, start: Response, headers: Headers) -> bool:
    """Returns whether a response says where it ends."""
    if method == b'HEAD' or start.status_code in _BODILESS_STATUSES:
        return True
    return bool(
        find_header(headers, CONTENT_LENGTH)
        or find_header(headers, TRANSFER_ENCODING),
    )
