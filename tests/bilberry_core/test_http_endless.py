"""Tests of peers that send bytes without end to the small HTTP programs."""

from asyncio import open_connection, run, start_server, timeout

from bilberry_core.endpoint import Address
from bilberry_core.http import (
    HttpError,
    HttpRequest,
    HttpResponse,
    fetch,
    serve_http,
)
from testtools import TestCase

from standin.endless import ENDLESS_FORMS

#: Time for one exchange, in seconds. It must end without it.
TIMEOUT_S = 20.0
#: Bytes of a small program's message beside its body, and with it.
MOST_BYTES = 6 << 20
#: Forms that begin with a whole response.
WHOLE = frozenset(('after_the_response', 'stray_responses'))
_CHUNKED = b'PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
REQUESTS = {
    'header_lines': (b'GET / HTTP/1.1\r\n', b'a:b\r\n' * 200),
    'small_chunks': (_CHUNKED, b'1\r\nx\r\n' * 200),
    'large_chunks': (_CHUNKED, b'2000\r\n%b\r\n' % (b'x' * 8192)),
    'trailers': (b'%b0\r\n' % _CHUNKED, b'a:b\r\n' * 200),
}


async def answer_hello(_request) -> HttpResponse:
    """Responds to every request alike."""
    return HttpResponse(200, (), b'hello')


class EndlessTest(TestCase):
    """A client and a server, whose peer never ends its message."""

    def test_client_reads_a_response_without_end(self):
        """It ends with an error of its own, long before its timeout."""
        for name in ENDLESS_FORMS.keys() - WHOLE:
            self.assertRaises(HttpError, run, self.fetch(ENDLESS_FORMS[name]))

    def test_server_reads_a_request_without_end(self):
        """It is refused, long before its timeout."""
        for name, (begin, piece) in REQUESTS.items():
            taken, received = run(self.send(begin, piece))
            self.assertLess(taken, MOST_BYTES, name)
            self.assertTrue(received.startswith(b'HTTP/1.1 4'), name)

    async def fetch(self, form):
        """Sends a request to a server that sends bytes without end."""

        async def serve(_reader, writer):
            writer.write(form.begin)
            while not writer.transport.is_closing():
                writer.write(form.piece)
                await writer.drain()

        server = await start_server(serve, '127.0.0.1', 0)
        bound = Address(*server.sockets[0].getsockname())
        try:
            return await fetch(bound, HttpRequest('GET', '/'), TIMEOUT_S)
        finally:
            server.close()

    async def send(self, begin: bytes, piece: bytes) -> tuple[int, bytes]:
        """Returns what a server takes and sends until it stops reading."""
        server = await serve_http(Address('127.0.0.1', 0), answer_hello)
        reader, writer = await open_connection(*server.sockets[0].getsockname())
        writer.write(begin)
        taken = 0
        received = b''
        async with timeout(TIMEOUT_S):
            while not received and taken < MOST_BYTES:
                writer.write(piece)
                taken += len(piece)
                try:
                    async with timeout(0.001):
                        received = await reader.read(99)
                except TimeoutError:
                    await writer.drain()
        writer.close()
        server.close()
        return taken, received
