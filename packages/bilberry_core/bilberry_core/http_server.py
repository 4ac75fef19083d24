"""Serves whole HTTP requests with limits on time, size and connections."""

from asyncio import (
    CancelledError,
    IncompleteReadError,
    Server,
    StreamReader,
    StreamWriter,
    start_server,
    timeout,
    wait_for,
)
from logging import getLogger
from typing import NamedTuple

from h11 import (
    DONE,
    MUST_CLOSE,
    SERVER,
    Connection,
    ConnectionClosed,
    InformationalResponse,
    ProtocolError,
    Response,
)

from bilberry_core.board import Cell
from bilberry_core.endpoint import Address
from bilberry_core.http_message import (
    MAX_BODY_BYTES,
    HttpError,
    HttpHandler,
    HttpRequest,
    HttpResponse,
    encode_message,
    receive_body,
    receive_event,
)

_log = getLogger(__name__)

#: Longest time to receive one whole request, in seconds.
REQUEST_TIMEOUT_S = 10.0
_LINGER_S = 2.0
_LINGER_READ_BYTES = 65536
_STATUS_CONTINUE = 100
_STATUS_BAD_REQUEST = 400
_STATUS_UNAVAILABLE = 503
_CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    IncompleteReadError,
    ProtocolError,
)


class HttpLimits(NamedTuple):
    """The limits of a server.

    `max_body_bytes`
        Largest body of a request (default: 4 MiB).
    `request_timeout_s`
        Longest time to receive a request or to send a response, in seconds
        (default: 10).
    `max_connections`
        Concurrent connections; further ones get status 503 (default: 1024).
    """

    max_body_bytes: int = MAX_BODY_BYTES
    request_timeout_s: float = REQUEST_TIMEOUT_S
    max_connections: int = 1024


async def serve_http(
    address: Address,
    handler: HttpHandler,
    limits: HttpLimits = HttpLimits(),
) -> Server:
    """Serves whole requests on `address` with `handler`."""
    service = HttpService(handler, limits)
    return await start_server(service.serve, address.host, address.port)


class HttpService:
    """The connections of one server, which can be stopped gracefully."""

    def __init__(self, handler: HttpHandler, limits: HttpLimits) -> None:
        self._handler = handler
        self._limits = limits
        self._connections = 0
        self._busy_writers: Cell[frozenset[StreamWriter]] = Cell(frozenset())
        self._is_stopping = False

    async def drain(self) -> None:
        """Waits until every received request has its response.

        `handler` must reject further requests.
        """
        self._is_stopping = True
        await self._busy_writers.wait_for(_is_empty)

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serves one connection and closes it."""
        self._connections += 1
        try:
            await self._serve_or_refuse(reader, writer)
        except _CONNECTION_ERRORS:
            _log.info('http_connection_lost')
        except CancelledError:
            # The process ends, and waits for no client.
            writer.transport.abort()
            raise
        finally:
            self._connections -= 1
            await self._close(writer)

    async def _serve_or_refuse(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        if self._connections <= self._limits.max_connections:
            await self._serve_requests(reader, writer)
            return
        error = HttpError('too many connections', _STATUS_UNAVAILABLE)
        _send_error(Connection(SERVER), writer, error)
        if self._connections <= 2 * self._limits.max_connections:
            await _linger(reader, writer)

    async def _serve_requests(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        connection = Connection(SERVER)
        while connection.our_state not in {MUST_CLOSE}:
            try:
                request = await wait_for(
                    _receive_request(connection, reader, writer, self._limits),
                    self._limits.request_timeout_s,
                )
            except (HttpError, ProtocolError) as error:
                _send_error(connection, writer, error)
                await _linger(reader, writer)
                return
            if request is None:
                return
            self._busy_writers.put(self._busy_writers.value | {writer})
            await self._respond(connection, writer, request)
            if self._is_stopping or not _is_cycle_done(connection):
                return
            self._busy_writers.put(self._busy_writers.value - {writer})
            connection.start_next_cycle()

    async def _respond(
        self,
        connection: Connection,
        writer: StreamWriter,
        request: HttpRequest,
    ) -> None:
        try:
            response = await self._handler(request)
        except HttpError as error:
            response = HttpResponse(error.status, body=str(error).encode())
        if request.method == 'HEAD':
            response = response._replace(body=b'')
        writer.write(_encode_response(connection, response))
        await wait_for(writer.drain(), self._limits.request_timeout_s)

    async def _close(self, writer: StreamWriter) -> None:
        """Closes a connection after sending the buffered bytes."""
        writer.close()
        try:
            await wait_for(
                writer.wait_closed(),
                self._limits.request_timeout_s,
            )
        except _CONNECTION_ERRORS:
            _log.info('http_connection_lost')
        finally:
            self._busy_writers.put(self._busy_writers.value - {writer})


def _is_empty(busy: frozenset[StreamWriter]) -> bool:
    return not busy


def _is_cycle_done(connection: Connection) -> bool:
    return (connection.our_state, connection.their_state) == (DONE, DONE)


async def _linger(reader: StreamReader, writer: StreamWriter) -> None:
    """Discards further input, so that the client receives the response.

    Closing a socket with unread bytes resets the connection, and a reset
    drops a response that the client has not read yet.
    """
    writer.write_eof()
    async with timeout(_LINGER_S):
        chunk = await reader.read(_LINGER_READ_BYTES)
        while chunk:
            chunk = await reader.read(_LINGER_READ_BYTES)


def _send_error(
    connection: Connection,
    writer: StreamWriter,
    error: Exception,
) -> None:
    status = getattr(error, 'status', _STATUS_BAD_REQUEST)
    _log.warning(
        'http_request_refused',
        extra={'status': status, 'cause': str(error)},
    )
    response = HttpResponse(status, body=str(error).encode())
    try:
        writer.write(_encode_response(connection, response))
    except ProtocolError:
        _log.info('http_peer_broke_protocol')


def _encode_response(connection: Connection, response: HttpResponse) -> bytes:
    length = (b'content-length', str(len(response.body)).encode())
    start = Response(
        status_code=response.status,
        headers=[*response.headers, length],
    )
    return encode_message(connection, start, response.body)


async def _receive_request(
    connection: Connection,
    reader: StreamReader,
    writer: StreamWriter,
    limits: HttpLimits,
) -> HttpRequest | None:
    start = await receive_event(connection, reader)
    if isinstance(start, ConnectionClosed):
        return None
    if connection.they_are_waiting_for_100_continue:
        interim_response = InformationalResponse(
            status_code=_STATUS_CONTINUE, headers=[]
        )
        writer.write(connection.send(interim_response))
    body = await receive_body(connection, reader, limits.max_body_bytes)
    return HttpRequest(
        start.method.decode('ascii'),
        start.target.decode('ascii'),
        tuple(start.headers),
        body,
    )
