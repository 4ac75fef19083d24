"""Tests of calls that an upstream makes for a request whose caller has left."""

from asyncio import open_connection, run, sleep

from bilberry_proxy.context import ProxyOptions
from bilberry_proxy.dialect import HttpDialect
from bilberry_proxy.lingering_calls import CANCEL_LINGER_S
from testtools import TestCase

from tests.bilberry_proxy.fleet import SERVICE, configure, open_fleet, until

OPTIONS = ProxyOptions(HttpDialect(request_id=b'x-request-id'))
TIMEOUT_MS = 900


class LeftCallerTest(TestCase):
    """The upstream goes on, and its calls belong to a request that ran."""

    def test_call_of_a_request_without_its_caller_is_not_recognized(self):
        """It is until the deadline of the request, and not after that."""

        async def scenario():
            async with open_fleet(
                {'slots': 2, 'latency_ms': 5000},
                configuration=configure(timeout_ms=TIMEOUT_MS),
                options=OPTIONS,
            ) as fleet:
                node = fleet.nodes[0]
                _reader, writer = await open_connection(*node.callers)
                writer.write(
                    f'GET /a HTTP/1.1\r\nhost: {SERVICE}\r\n'
                    'x-request-id: parent\r\n\r\n'.encode()
                )
                await until(lambda: node.upstream.records.running == 1)
                writer.close()
                await until(lambda: not node.proxy.busy)
                await sleep(2 * CANCEL_LINGER_S)
                running = node.proxy._context.running_requests
                soon = running.is_call_of_one('parent.call')
                await until(lambda: not running.is_call_of_one('parent.call'))
                return soon, len(running)

        soon, left = run(scenario())
        self.assertTrue(soon)
        self.assertEqual(0, left)
