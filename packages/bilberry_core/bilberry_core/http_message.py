"""HTTP/1.1 requests and responses, and their encoding with h11."""

from asyncio import StreamReader, sleep
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from h11 import (
    NEED_DATA,
    PAUSED,
    Connection,
    Data,
    EndOfMessage,
    Request,
    Response,
)

from bilberry_core.error import BilberryError
from bilberry_core.http_limits import MAX_HEADER_LINES, get_max_chunks

#: Largest body of a request or a response, in bytes.
MAX_BODY_BYTES = 4 << 20
_READ_BYTES = 16384
_STATUS_BAD_REQUEST = 400
_STATUS_TOO_LARGE = 413
_FINAL_STATUSES = range(200, 600)
#: Versions whose messages h11 reads as they are meant.
_HTTP_VERSIONS = frozenset((b'1.0', b'1.1'))

Headers = tuple[tuple[bytes, bytes], ...]


class HttpError(BilberryError):
    """A peer violated the protocol, closed early or sent too much."""

    def __init__(self, detail: str, status: int = _STATUS_BAD_REQUEST) -> None:
        """Creates an error that a server reports with `status`."""
        super().__init__(detail)
        self.status = status


def is_final_status(status: int) -> bool:
    """Returns whether a status can be that of a final response.

    The three digits of HTTP allow others, which mean nothing.
    """
    return status in _FINAL_STATUSES


def find_head_fault(start: Response) -> str:
    """Returns why a head is not that of a response; empty if it is."""
    if start.http_version not in _HTTP_VERSIONS:
        return 'the response has an unknown HTTP version'
    if not is_final_status(start.status_code):
        return f'the response has the status {start.status_code}'
    return ''


class HttpRequest(NamedTuple):
    """A whole request; header names in lower case."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''

    def get_header(self, name: bytes) -> str:
        """Returns the first header of this name, or an empty string."""
        return _get_header(self.headers, name)


class HttpResponse(NamedTuple):
    """A whole response; header names in lower case."""

    status: int
    headers: Headers = ()
    body: bytes = b''

    def get_header(self, name: bytes) -> str:
        """Returns the first header of this name, or an empty string."""
        return _get_header(self.headers, name)


HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def encode_message(
    connection: Connection,
    start: Request | Response,
    body: bytes,
) -> bytes:
    """Returns the encoding of a request or response with its body."""
    parts = [connection.send(start)]
    if body:
        parts.append(connection.send(Data(data=body)))
    parts.append(connection.send(EndOfMessage()))
    return b''.join(part for part in parts if part)


async def receive_body(
    connection: Connection,
    reader: StreamReader,
    max_bytes: int = MAX_BODY_BYTES,
) -> bytes:
    """Returns the body of a message; raises `HttpError` if it is too long."""
    body = bytearray()
    chunks = 0
    event = await receive_event(connection, reader)
    while isinstance(event, Data):
        body += event.data
        chunks += int(event.chunk_start)
        if len(body) > max_bytes:
            raise HttpError(
                f'body is longer than {max_bytes} bytes',
                _STATUS_TOO_LARGE,
            )
        if chunks > get_max_chunks(len(body)):
            raise HttpError('the chunks of the body are too small')
        event = await receive_event(connection, reader)
    if not isinstance(event, EndOfMessage):
        raise HttpError('the connection closed inside a body')
    return bytes(body)


async def receive_event(connection: Connection, reader: StreamReader):
    """Returns the next event of h11, reading input as needed.

    Raises `HttpError` if the event has too many header lines.
    """
    event = connection.next_event()
    while event is NEED_DATA:
        connection.receive_data(await reader.read(_READ_BYTES))
        # What the reader has buffered already is read without a turn of others.
        await sleep(0)
        event = connection.next_event()
    if event is PAUSED:
        raise HttpError('pipelined requests are not supported')
    if len(getattr(event, 'headers', ())) > MAX_HEADER_LINES:
        raise HttpError(f'more than {MAX_HEADER_LINES} header lines')
    return event


def _get_header(headers: Headers, name: bytes) -> str:
    for known, text in headers:
        if known == name:
            return text.decode('latin-1')
    return ''
