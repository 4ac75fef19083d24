"""Tests of the client with servers that do not respond."""

from asyncio import run
from socket import create_server
from time import monotonic

from bilberry_core.endpoint import Address
from bilberry_core.http import HttpRequest, HttpResponse, serve_http
from bilberryctl.client import FIRST_ATTEMPT_TIMEOUT_S, OperatorsClient, Reply
from testtools import TestCase

_TIMEOUT_S = 0.3


async def answer(_request: HttpRequest) -> HttpResponse:
    """Returns an empty response with status 200."""
    return HttpResponse(200)


class ClientTest(TestCase):
    """Tests of failover between servers.

    A frozen daemon is simulated by a listening socket without `accept`: the
    kernel still accepts connections, so only a timeout detects it.
    """

    def test_unresponsive_server_is_tried_last(self):
        """The next request tries the unresponsive server after the others."""
        first, second = run(self._send_twice())
        self.assertEqual([True, False], self._list_unanswered(first))
        self.assertEqual([False], self._list_unanswered(second))

    def test_next_server_is_tried_after_attempt_timeout(self):
        """A frozen server does not use up the timeout of the whole command."""
        started = monotonic()
        reply, _ = run(self._send_twice(timeout_s=60))
        self.assertEqual(200, reply.response.status)
        self.assertLess(monotonic() - started, 2 * FIRST_ATTEMPT_TIMEOUT_S)

    def test_servers_without_a_leader_are_retried(self):
        """The same request is repeated until a response is final."""
        statuses = [503, 504, 200]

        async def answer_by_status(_request: HttpRequest) -> HttpResponse:
            return HttpResponse(statuses.pop(0))

        async def send_change() -> Reply:
            server = await serve_http(Address('127.0.0.1', 0), answer_by_status)
            address = Address(*server.sockets[0].getsockname())
            client = OperatorsClient((address,), '', 60)
            reply = await client.send(HttpRequest('PUT', '/v1/configuration'))
            server.close()
            return reply

        reply = run(send_change())
        self.assertEqual(
            (200, False), (reply.response.status, reply.is_undecided)
        )

    def test_refused_connections_are_not_retried(self):
        """After refused connections a retry seldom succeeds; none is made."""
        with create_server(('127.0.0.1', 0)) as closed:
            address = Address(*closed.getsockname())
        client = OperatorsClient((address, address), '', 60)
        reply = run(client.send(HttpRequest('GET', '/v1/status')))
        self.assertEqual(2, len(reply.attempts))

    def _list_unanswered(self, reply: Reply) -> list[bool]:
        return [attempt.response is None for attempt in reply.attempts]

    async def _send_twice(
        self,
        timeout_s: float = _TIMEOUT_S,
    ) -> tuple[Reply, Reply]:
        server = await serve_http(Address('127.0.0.1', 0), answer)
        with create_server(('127.0.0.1', 0)) as frozen:
            servers = (
                Address(*frozen.getsockname()),
                Address(*server.sockets[0].getsockname()),
            )
            client = OperatorsClient(servers, '', timeout_s)
            request = HttpRequest('GET', '/v1/status')
            replies = (await client.send(request), await client.send(request))
        server.close()
        return replies
