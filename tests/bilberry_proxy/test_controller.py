"""Tests requests over real sockets, from a caller to an upstream and back."""

from asyncio import run

from bilberry_core.board import Phase
from testtools import TestCase

from tests.bilberry_proxy.fleet import call, open_fleet

WITH_UPSTREAM = {'slots': 2}
WITHOUT_UPSTREAM = {}


class RequestTest(TestCase):
    """One request from end to end."""

    def test_request_reaches_the_local_upstream(self):
        """A proxy sends requests to the upstream beside it."""

        async def scenario():
            async with open_fleet(WITH_UPSTREAM) as fleet:
                return await call(fleet.nodes[0], '/', 'POST', b'body')

        response = run(scenario())
        self.assertEqual((200, b'body'), (response.status, response.body))

    def test_request_reaches_the_upstream_of_another_node(self):
        """A proxy without an upstream sends the call on a stream."""

        async def scenario():
            async with open_fleet(WITH_UPSTREAM, WITHOUT_UPSTREAM) as fleet:
                return await call(fleet.nodes[1], '/', 'POST', b'body')

        response = run(scenario())
        self.assertEqual((200, b'body'), (response.status, response.body))

    def test_metrics_include_slots_waits_and_refusals(self):
        """The metrics of the queue and of failed calls are exported."""

        async def scenario():
            async with open_fleet(WITH_UPSTREAM) as fleet:
                node = fleet.nodes[0]
                await call(node, '/')
                node.board.phase.put(Phase.LEAVING)
                refused = await call(node, '/')
                node.proxy.update_gauges()
                return refused.status, node.metrics.render().decode()

        status, text = run(scenario())
        self.assertEqual(503, status)
        for line in (
            'bilberry_admission_slots{kind=""} 2.0',
            'bilberry_admission_queued{kind=""} 0.0',
            'bilberry_call_waited_count{kind=""} 1.0',
            'bilberry_request_failed_total{kind="no_endpoint"} 1.0',
            'bilberry_retry_budget{kind="callouts"}',
        ):
            self.assertIn(line, text)

    def test_large_bodies_go_both_ways(self):
        """A body of many flow-control windows arrives complete both ways."""
        body = bytes(range(256)) * 12_000

        async def scenario():
            async with open_fleet(WITH_UPSTREAM, WITHOUT_UPSTREAM) as fleet:
                return await call(fleet.nodes[1], '/', 'POST', body)

        response = run(scenario())
        self.assertEqual(200, response.status)
        self.assertTrue(body == response.body)

    def test_unknown_service_is_404(self):
        """A host without a route is refused with the verdict `not_run`."""

        async def scenario():
            async with open_fleet(WITH_UPSTREAM) as fleet:
                return await call(fleet.nodes[0], host='nobody')

        response = run(scenario())
        self.assertEqual(404, response.status)
        self.assertEqual('not_run', response.get_header(b'bilberry-verdict'))
        self.assertEqual(
            'unknown_service', response.get_header(b'bilberry-code')
        )
