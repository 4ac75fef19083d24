"""Tests of requests that arrive before the first configuration."""

from asyncio import create_task, open_connection, run, sleep
from contextlib import asynccontextmanager
from unittest.mock import patch

from testtools import TestCase

from tests.bilberry_proxy.fake_claims import FakeClaims
from tests.bilberry_proxy.fleet import call, open_fleet, until


@asynccontextmanager
async def open_started(**options):
    """Opens a node that has just started, beside one that can serve."""
    async with open_fleet({'slots': 4}, **options) as fleet:
        fleet.is_lagging = True
        yield fleet, await fleet.add()


def is_any_waiting(node) -> bool:
    """Returns whether a request has waited for the configuration."""
    rendered = node.metrics.render()
    return b'bilberry_request_awaited_configuration_total' in rendered


async def stop(node) -> None:
    """Stops a proxy as its daemon does."""
    await node.proxy.drain()
    await node.proxy.stop()


class ConfigurationWaitTest(TestCase):
    """A proxy that was restarted gets its configuration a moment later."""

    def serve(self, **request) -> int:
        """Returns the status of a request that came before."""

        async def script() -> int:
            async with open_started(claims=FakeClaims()) as (fleet, node):
                calling = create_task(call(node, **request))
                await until(lambda: is_any_waiting(node))
                fleet.is_lagging = False
                fleet.spread()
                return (await calling).status

        return run(script())

    def test_request_is_served_once_the_configuration_is_there(self):
        """Its caller has few tries left when all machines were restarted."""
        self.assertEqual(200, self.serve())

    def test_body_that_came_before_is_sent(self):
        """It is buffered meanwhile, also one that is long."""
        self.assertEqual(200, self.serve(method='POST', body=b'x' * 1000))
        self.assertEqual(200, self.serve(method='POST', body=b'x' * 200_000))

    def test_claimed_request_keeps_its_body(self):
        """More of its body is buffered than of others."""
        status = self.serve(
            method='POST', body=b'x' * 200_000, idempotency_key='one'
        )
        self.assertEqual(200, status)

    def test_wait_ends_within_the_deadline(self):
        """The caller learns that its request has not run."""

        async def script():
            async with open_started() as (_fleet, node):
                return await call(node, bilberry_deadline_ms='200')

        refused = run(script())
        self.assertEqual(503, refused.status)
        self.assertIn((b'bilberry-verdict', b'not_run'), refused.headers)

    def test_proxy_without_configuration_refuses_at_once_later(self):
        """What can't be served soon does not wait."""

        async def script() -> int:
            async with open_started() as (_fleet, node):
                return (await call(node)).status

        with patch('bilberry_proxy.controller.START_S', 0):
            self.assertEqual(503, run(script()))

    def test_stop_does_not_cut_a_request_that_waits(self):
        """It is answered before the proxy ends."""

        async def script() -> int:
            async with open_started() as (fleet, node):
                calling = create_task(call(node))
                await until(lambda: is_any_waiting(node))
                stopping = create_task(stop(node))
                await sleep(0.05)
                fleet.is_lagging = False
                fleet.spread()
                status = (await calling).status
                await stopping
                return status

        self.assertEqual(200, run(script()))

    def test_caller_that_leaves_meanwhile_is_forgotten(self):
        """Nothing is sent for it."""

        async def script() -> int:
            async with open_started() as (fleet, node):
                _reader, writer = await open_connection(*node.callers)
                writer.write(b'GET / HTTP/1.1\r\nhost: callouts\r\n\r\n')
                await until(lambda: is_any_waiting(node))
                writer.close()
                await sleep(0.05)
                fleet.is_lagging = False
                fleet.spread()
                await sleep(0.05)
                return len(fleet.nodes[0].upstream.records.runs)

        self.assertEqual(0, run(script()))
