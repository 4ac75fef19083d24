"""The client of the operators' interface, over servers that are silent."""

from asyncio import run
from socket import create_server

from bilberry_core.endpoint import Address
from bilberry_core.http import HttpRequest, HttpResponse, serve_http
from bilberryctl.client import OperatorsClient, Reply
from testtools import TestCase

_TIMEOUT_S = 0.3


async def answer(_request: HttpRequest) -> HttpResponse:
    """Answers every request."""
    return HttpResponse(200)


class ClientTest(TestCase):
    """A frozen daemon is still connected to by its kernel."""

    def test_silent_server_is_asked_last(self):
        """The wait for a server that gives no answer is not repeated."""
        first, second = run(self._ask_twice())
        self.assertEqual([True, False], self._find_silent(first))
        self.assertEqual([False], self._find_silent(second))

    def _find_silent(self, reply: Reply) -> list[bool]:
        return [attempt.response is None for attempt in reply.attempts]

    async def _ask_twice(self) -> tuple[Reply, Reply]:
        server = await serve_http(Address('127.0.0.1', 0), answer)
        with create_server(('127.0.0.1', 0)) as frozen:
            servers = (
                Address(*frozen.getsockname()),
                Address(*server.sockets[0].getsockname()),
            )
            client = OperatorsClient(servers, '', _TIMEOUT_S)
            request = HttpRequest('GET', '/v1/status')
            replies = (await client.ask(request), await client.ask(request))
        server.close()
        return replies
