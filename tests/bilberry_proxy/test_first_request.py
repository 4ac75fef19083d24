"""Tests the first request to a service, of which no endpoint is known yet."""

from asyncio import open_connection, run, sleep
from time import monotonic

from testtools import TestCase

from tests.bilberry_proxy.fleet import SERVICE, open_fleet

#: Time in which the request is answered that has an endpoint, in seconds.
ANSWER_S = 0.8


class FirstRequestTest(TestCase):
    """Its head arrives before the endpoints, and its body after them."""

    def test_request_waits_in_vain_for_endpoints_that_are_known(self):
        """It keeps the snapshot of its head, which has none."""

        async def scenario():
            async with open_fleet({}) as fleet:
                caller = fleet.nodes[0]
                reader, writer = await open_connection(*caller.callers)
                writer.write(
                    f'POST /a HTTP/1.1\r\nhost: {SERVICE}\r\n'
                    'content-length: 4\r\n\r\n'.encode()
                )
                await sleep(0.1)
                await fleet.add(slots=2)
                began = monotonic()
                writer.write(b'body')
                head = await reader.readuntil(b'\r\n\r\n')
                writer.close()
                return int(head.split()[1]), monotonic() - began

        status, took_s = run(scenario())
        self.assertEqual(200, status)
        self.assertLess(took_s, ANSWER_S)
