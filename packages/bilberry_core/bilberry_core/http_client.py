"""Sends an HTTP request and receives its whole, bounded response."""

from asyncio import StreamReader, open_connection, wait_for

from h11 import (
    CLIENT,
    Connection,
    ConnectionClosed,
    ProtocolError,
    Request,
    Response,
)

from bilberry_core.endpoint import Address
from bilberry_core.http_limits import MAX_INTERIM_RESPONSES
from bilberry_core.http_message import (
    HttpError,
    HttpRequest,
    HttpResponse,
    encode_message,
    find_head_fault,
    receive_body,
    receive_event,
)


async def fetch(
    address: Address,
    request: HttpRequest,
    timeout_s: float,
) -> HttpResponse:
    """Sends one request on a new connection and returns the response.

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
        raise HttpError(f'invalid response of {address}: {error}') from error
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
    return encode_message(connection, start, request.body)


async def _receive_response(
    connection: Connection,
    reader: StreamReader,
) -> HttpResponse:
    for _ in range(MAX_INTERIM_RESPONSES + 1):
        start = await receive_event(connection, reader)
        if isinstance(start, ConnectionClosed):
            raise HttpError('the connection closed before a response')
        if isinstance(start, Response):
            fault = find_head_fault(start)
            if fault:
                raise HttpError(fault)
            body = await receive_body(connection, reader)
            return HttpResponse(start.status_code, tuple(start.headers), body)
    raise HttpError(f'more than {MAX_INTERIM_RESPONSES} interim responses')
