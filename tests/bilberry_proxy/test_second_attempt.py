"""Tests of requests that try a second upstream while the first is silent."""

from asyncio import create_task, gather, run

from bilberry_proxy.context import ProxyOptions
from testtools import TestCase

from tests.bilberry_proxy.fleet import call, configure, open_fleet, until
from tests.virtual_time import VirtualClock, run_virtually

CALLER_ONLY = {}
#: Upstreams that are silent for longer than half of the time below.
SLOW = {'slots': 1, 'latency_ms': 800}
FROZEN = {'slots': 1, 'latency_ms': 60000}
CONFIGURATION = configure(timeout_ms=1000)


def open_pair(upstream, **options):
    """Opens a fleet of two such upstreams and a proxy without one."""
    return open_fleet(
        upstream,
        upstream,
        CALLER_ONLY,
        configuration=CONFIGURATION,
        **options,
    )


async def read_from_each(fleet) -> list[int]:
    """Returns the statuses of one concurrent read for each upstream."""
    answers = await gather(
        *(
            call(fleet.nodes[-1], x_request_id=str(index))
            for index in range(len(fleet.nodes) - 1)
        )
    )
    return [answer.status for answer in answers]


async def wait_for_first(fleet):
    """Returns the node whose upstream runs a request, and the other one."""
    first, second = fleet.nodes[:-1]
    await until(
        lambda: any(node.upstream.records.running for node in (first, second))
    )
    if first.upstream.records.running:
        return first, second
    return second, first


def hasten(node) -> None:
    """Lets the upstream of a node respond to further requests quickly."""
    upstream = node.upstream
    upstream.options = upstream.options._replace(latency_ms=100)


class SilentUpstreamTest(TestCase):
    """Upstreams that respond late, but before the deadline."""

    def test_answer_is_awaited_if_no_retry_budget_is_left(self):
        """A request that may not be sent again keeps its only attempt."""

        async def scenario():
            options = ProxyOptions(fleet_retry_burst=1)
            clock = VirtualClock()
            async with open_pair(SLOW, options=options, clock=clock) as fleet:
                return (await call(fleet.nodes[-1])).status

        self.assertEqual(200, run_virtually(scenario()))

    def test_answer_is_awaited_if_no_other_upstream_has_a_slot(self):
        """A refused second attempt does not end the first."""

        async def scenario():
            async with open_pair(SLOW) as fleet:
                return await read_from_each(fleet)

        self.assertEqual([200, 200], run(scenario()))

    def test_first_answer_is_used_if_it_comes_before_the_second(self):
        """The second attempt is cancelled at its upstream then."""

        async def scenario():
            async with open_pair(SLOW) as fleet:
                answer = await call(fleet.nodes[-1], x_request_id='a')
                records = [node.upstream.records for node in fleet.nodes[:-1]]
                await until(lambda: not any(one.running for one in records))
                cancelled = sum(one.cancelled['a'] for one in records)
                return answer.status, cancelled

        self.assertEqual((200, 1), run(scenario()))

    def test_disconnect_of_the_caller_cancels_both_attempts(self):
        """Neither upstream works on for a caller that has left."""

        async def scenario():
            async with open_pair(SLOW) as fleet:
                task = create_task(call(fleet.nodes[-1], x_request_id='a'))
                records = [node.upstream.records for node in fleet.nodes[:-1]]
                await until(lambda: all(one.running for one in records))
                task.cancel()
                await until(lambda: not any(one.running for one in records))
                return [one.cancelled['a'] for one in records]

        self.assertEqual([1, 1], run(scenario()))

    def test_failure_of_the_first_leaves_the_second_running(self):
        """The caller gets the response of the second upstream."""

        async def scenario():
            async with open_pair(FROZEN) as fleet:
                task = create_task(call(fleet.nodes[-1], x_request_id='a'))
                first, second = await wait_for_first(fleet)
                hasten(second)
                await until(lambda: second.upstream.records.running)
                first.listener.close()
                return (await task).status

        self.assertEqual(200, run(scenario()))
