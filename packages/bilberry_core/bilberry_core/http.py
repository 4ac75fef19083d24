"""Small HTTP/1.1 exchanges by h11: whole requests, whole answers, bounded.

For the operators' interface, the upstream's announcements and the command
line. Callers' requests take the proxy's own streaming path.
"""

from asyncio import (
    IncompleteReadError,
    Server,
    StreamReader,
    StreamWriter,
    open_connection,
    start_server,
    wait_for,
)
from collections.abc import Awaitable, Callable
from logging import getLogger
from typing import NamedTuple

from h11 import (
    CLIENT,
    DONE,
    MUST_CLOSE,
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    ProtocolError,
    Request,
    Response,
)

from bilberry_core.endpoint import Address
from bilberry_core.error import BilberryError

_log = getLogger(__name__)

#: Largest body of a request or an answer, in bytes.
MAX_BODY_BYTES = 4 << 20
#: Longest time to receive one whole request, in seconds.
REQUEST_TIMEOUT_S = 10.0
_READ_BYTES = 65536
_STATUS_BAD_REQUEST = 400
_STATUS_TOO_LARGE = 413

Headers = tuple[tuple[bytes, bytes], ...]


class HttpError(BilberryError):
    """A peer broke the protocol, closed early or sent too much."""

    def __init__(self, detail: str, status: int = _STATUS_BAD_REQUEST) -> None:
        """Keeps the status that a server answers with."""
        super().__init__(detail)
        self.status = status


class HttpRequest(NamedTuple):
    """A whole request; header names in lower case."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''

    def get_header(self, name: bytes) -> str:
        """Returns the first header of this name, or an empty string."""
        return _find_header(self.headers, name)


class HttpResponse(NamedTuple):
    """A whole answer; header names in lower case."""

    status: int
    headers: Headers = ()
    body: bytes = b''

    def get_header(self, name: bytes) -> str:
        """Returns the first header of this name, or an empty string."""
        return _find_header(self.headers, name)


HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def serve_http(address: Address, handler: HttpHandler) -> Server:
    """Serves whole requests on `address` with `handler`."""

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        try:
            await _serve_connection(reader, writer, handler)
        except (OSError, TimeoutError, IncompleteReadError):
            _log.info('http_connection_lost')
        finally:
            writer.close()

    return await start_server(serve, address.host, address.port)


async def fetch(
    address: Address,
    request: HttpRequest,
    timeout_s: float,
) -> HttpResponse:
    """Sends one request on a new connection and returns the answer.

    Raises `OSError`, `TimeoutError` or `HttpError`.
    """
    return await wait_for(_fetch(address, request), timeout_s)


async def _fetch(address: Address, request: HttpRequest) -> HttpResponse:
    reader, writer = await open_connection(*address)
    try:
        connection = Connection(CLIENT)
        writer.write(_encode_request(connection, address, request))
        await writer.drain()
        return await _receive_response(connection, reader)
    except ProtocolError as error:
        raise HttpError(f'answer of {address}: {error}') from error
    finally:
        writer.close()


def _encode_request(
    connection: Connection,
    address: Address,
    request: HttpRequest,
) -> bytes:
    headers = list(request.headers)
    if not request.get_header(b'host'):
        headers.append((b'host', f'{address.host}:{address.port}'.encode()))
    headers.append((b'content-length', str(len(request.body)).encode()))
    start = Request(
        method=request.method,
        target=request.target,
        headers=headers,
    )
    return _encode(connection, start, request.body)


async def _serve_connection(
    reader: StreamReader,
    writer: StreamWriter,
    handler: HttpHandler,
) -> None:
    connection = Connection(SERVER)
    while connection.our_state not in {MUST_CLOSE}:
        try:
            request = await wait_for(
                _receive_request(connection, reader),
                REQUEST_TIMEOUT_S,
            )
        except (HttpError, ProtocolError) as error:
            _send_error(connection, writer, error)
            return
        if request is None:
            return
        response = await _answer(handler, request)
        writer.write(_encode_response(connection, response))
        await writer.drain()
        if (connection.our_state, connection.their_state) != (DONE, DONE):
            return
        connection.start_next_cycle()


async def _answer(handler: HttpHandler, request: HttpRequest) -> HttpResponse:
    try:
        return await handler(request)
    except HttpError as error:
        return HttpResponse(error.status, body=str(error).encode())


def _send_error(
    connection: Connection,
    writer: StreamWriter,
    error: Exception,
) -> None:
    status = getattr(error, 'status', _STATUS_BAD_REQUEST)
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
    return _encode(connection, start, response.body)


def _encode(
    connection: Connection,
    start: Request | Response,
    body: bytes,
) -> bytes:
    parts = [connection.send(start)]
    if body:
        parts.append(connection.send(Data(data=body)))
    parts.append(connection.send(EndOfMessage()))
    return b''.join(part for part in parts if part)


async def _receive_request(
    connection: Connection,
    reader: StreamReader,
) -> HttpRequest | None:
    start = await _next_event(connection, reader)
    if isinstance(start, ConnectionClosed):
        return None
    body = await _receive_body(connection, reader)
    return HttpRequest(
        start.method.decode('ascii'),
        start.target.decode('ascii'),
        tuple(start.headers),
        body,
    )


async def _receive_response(
    connection: Connection,
    reader: StreamReader,
) -> HttpResponse:
    start = await _next_event(connection, reader)
    while not isinstance(start, Response):
        if isinstance(start, ConnectionClosed):
            raise HttpError('the connection closed before an answer')
        start = await _next_event(connection, reader)
    body = await _receive_body(connection, reader)
    return HttpResponse(start.status_code, tuple(start.headers), body)


async def _receive_body(
    connection: Connection,
    reader: StreamReader,
) -> bytes:
    body = bytearray()
    event = await _next_event(connection, reader)
    while isinstance(event, Data):
        body += event.data
        if len(body) > MAX_BODY_BYTES:
            raise HttpError(
                f'body is longer than {MAX_BODY_BYTES} bytes',
                _STATUS_TOO_LARGE,
            )
        event = await _next_event(connection, reader)
    if not isinstance(event, EndOfMessage):
        raise HttpError('the connection closed inside a body')
    return bytes(body)


async def _next_event(connection: Connection, reader: StreamReader):
    event = connection.next_event()
    while event is NEED_DATA:
        connection.receive_data(await reader.read(_READ_BYTES))
        event = connection.next_event()
    if event is PAUSED:
        raise HttpError('pipelined requests are not taken')
    return event


def _find_header(headers: Headers, name: bytes) -> str:
    for known, text in headers:
        if known == name:
            return text.decode('latin-1')
    return ''
