"""Tests which of its connections to an upstream a pool uses."""

from asyncio import (
    Future,
    IncompleteReadError,
    get_running_loop,
    run,
    sleep,
    start_server,
    wait_for,
)

from bilberry_core.endpoint import Address
from bilberry_proxy.dialect import HttpDialect
from bilberry_proxy.upstream_pool import UpstreamPool
from bilberry_proxy.upstream_request import UpstreamRequest
from testtools import TestCase

DIALECT = HttpDialect(request_id=b'x-id')
HEAD_END = b'\r\n\r\n'
TIMEOUT_S = 5


def build_request(request_id: bytes) -> UpstreamRequest:
    """Returns a request with this ID."""
    headers = ((b'host', b'a'), (b'x-id', request_id))
    return UpstreamRequest(b'POST', b'/', headers, b'', True, request_id)


def build_response(status: int, request_id: bytes) -> bytes:
    """Returns a response to the request with this ID."""
    return b'HTTP/1.1 %d \r\nx-id: %b\r\ncontent-length: 0\r\n\r\n' % (
        status,
        request_id,
    )


class RepeatingUpstream:
    """Refuses the first request on each connection, and repeats refusals.

    Before it answers a further request on a connection it writes its first
    refusal once more. Later connections run everything.
    """

    def __init__(self) -> None:
        """Starts without connections."""
        self.connections = 0

    async def serve(self, reader, writer) -> None:
        """Serves one connection."""
        self.connections += 1
        is_first = self.connections == 1
        refusal = b''
        while head := await self._read_head(reader):
            request_id = head.partition(b'x-id: ')[2].split(b'\r\n')[0]
            if is_first and not refusal:
                refusal = build_response(503, request_id)
                writer.write(refusal)
            else:
                writer.write(refusal + build_response(200, request_id))
        writer.close()

    async def _read_head(self, reader) -> bytes:
        try:
            return await reader.readuntil(HEAD_END)
        except IncompleteReadError:
            return b''


class Sent:
    """A request that is sent through a pool, and the status it gets."""

    def __init__(self, pool: UpstreamPool, request_id: bytes) -> None:
        """Sends the request."""
        self._request = build_request(request_id)
        self.status: Future[int] = get_running_loop().create_future()
        pool.acquire(self, request_id)

    def on_connection(self, connection) -> bool:
        """Sends the request on a connection."""
        connection.begin(self._request, self)
        return True

    def on_response(self, status, _headers, _body, _last) -> None:
        """Stores the status."""
        self.status.set_result(status)

    def on_broken(self, code, _detail) -> None:
        """Stores the failure."""
        self.status.set_result(code)


class RepeatedRefusalTest(TestCase):
    """An upstream that writes an earlier refusal again."""

    def test_repeated_refusal_is_taken_for_the_answer_to_a_retry(self):
        """A request is not sent twice on one connection."""

        async def scenario():
            upstream = RepeatingUpstream()
            server = await start_server(upstream.serve, '127.0.0.1', 0)
            pool = UpstreamPool(lambda _connection: None, DIALECT)
            pool.set_address(Address(*server.sockets[0].getsockname()))
            statuses = [
                await wait_for(Sent(pool, request_id).status, TIMEOUT_S)
                for request_id in (b'7', b'7', b'8')
            ]
            pool.close_idle()
            server.close()
            await sleep(0)
            return statuses, upstream.connections

        self.assertEqual(([503, 200, 200], 2), run(scenario()))
