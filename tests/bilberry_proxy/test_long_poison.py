"""Tests that a long request that crashes upstreams is known when it returns."""

from asyncio import open_connection, run, sleep

from bilberry_proxy.dispatch import Dispatch
from testtools import TestCase

from tests.bilberry_proxy.fleet import SERVICE, open_fleet, until

BODY_BYTES = 200_000
UPSTREAM = {'slots': 8, 'latency_ms': 1}
#: Sizes of the first part of a body, in bytes.
FIRST_BYTES = (1, 65_536, 70_000, 131_072, BODY_BYTES)


class LongPoisonTest(TestCase):
    """Requests whose body is longer than what is buffered of it."""

    def test_long_request_has_another_fingerprint_each_time(self):
        """However its body arrives, in one part or in two."""
        found = []
        started = Dispatch.start

        def record(dispatch, plan, fingerprint):
            found.append(fingerprint)
            started(dispatch, plan, fingerprint)

        async def send(node, first):
            reader, writer = await open_connection(*node.callers)
            body = b'x' * BODY_BYTES
            writer.write(
                f'POST /a HTTP/1.1\r\nhost: {SERVICE}\r\n'
                f'content-length: {BODY_BYTES}\r\n\r\n'.encode()
            )
            writer.write(body[:first])
            await sleep(0.05)
            writer.write(body[first:])
            head = await reader.readuntil(b'\r\n\r\n')
            writer.close()
            return int(head.split()[1])

        async def scenario():
            async with open_fleet(UPSTREAM, {}) as fleet:
                statuses = [
                    await send(fleet.nodes[1], first) for first in FIRST_BYTES
                ]
                await until(lambda: len(found) == len(FIRST_BYTES))
                return statuses

        try:
            Dispatch.start = record
            statuses = run(scenario())
        finally:
            Dispatch.start = started
        self.assertEqual({200}, set(statuses))
        self.assertEqual(1, len(set(found)))
