"""Tests of the HTTP client and server: whole messages, limits and errors."""

from asyncio import open_connection, run

from bilberry_core import http
from bilberry_core.endpoint import Address
from bilberry_core.http import (
    HttpError,
    HttpRequest,
    HttpResponse,
    fetch,
    serve_http,
)
from testtools import TestCase


async def echo(request: HttpRequest) -> HttpResponse:
    """Responds with the request's body."""
    return HttpResponse(
        200, ((b'x-method', request.method.encode()),), request.body
    )


async def run_with_server(exchange):
    """Runs `exchange` with the address of an echo server."""
    server = await serve_http(Address('127.0.0.1', 0), echo)
    try:
        return await exchange(Address(*server.sockets[0].getsockname()))
    finally:
        server.close()


class HttpTest(TestCase):
    """Tests of exchanges on loopback."""

    def test_body_goes_there_and_back(self):
        """A body that takes several reads arrives complete."""
        body = b'x' * 200_000

        async def exchange(address):
            return await fetch(address, HttpRequest('PUT', '/', (), body), 5)

        response = run(run_with_server(exchange))
        self.assertEqual(body, response.body)
        self.assertEqual('PUT', response.get_header(b'x-method'))

    def test_body_over_the_bound_is_refused(self):
        """A body over the limit gets status 413."""
        body = b'x' * (http.MAX_BODY_BYTES + 1)

        async def exchange(address):
            return await fetch(address, HttpRequest('PUT', '/', (), body), 5)

        self.assertEqual(413, run(run_with_server(exchange)).status)

    def test_garbage_is_answered_400(self):
        """Bytes that are not HTTP get status 400 and a closed connection."""

        async def exchange(address):
            reader, writer = await open_connection(*address)
            writer.write(b'\x00\x01garbage\r\n\r\n')
            received = await reader.read()
            writer.close()
            return received

        self.assertTrue(
            run(run_with_server(exchange)).startswith(b'HTTP/1.1 400')
        )

    def test_early_close_is_an_error(self):
        """`fetch` raises `HttpError` if the server sends no response."""

        async def exchange(address):
            async def abort_connection(_request):
                raise ConnectionResetError

            server = await serve_http(Address('127.0.0.1', 0), abort_connection)
            bound = Address(*server.sockets[0].getsockname())
            try:
                return await fetch(bound, HttpRequest('GET', '/'), 5)
            finally:
                server.close()

        self.assertRaises(HttpError, run, run_with_server(exchange))
