"""Tests that upstreams get no more than they say that they accept."""

from asyncio import create_task, gather, run, sleep, wait_for
from contextlib import suppress
from time import monotonic

from bilberry_core.endpoint import EndpointState
from bilberry_core.http import HttpError
from testtools import TestCase

from tests.bilberry_proxy.fleet import Fleet, Node, call, open_fleet, until

LIMIT = 'bilberry-rate-limit'
LEAVING = {'bilberry-leaving': '1'}
#: Requests that an upstream may get beyond one and a half times its limit.
SLACK = 5
FACTOR = 1.5


async def send_for(nodes: list[Node], seconds: float, senders: int = 6) -> list:
    """Sends requests to every node; returns the status and time of each."""
    until_s = monotonic() + seconds
    outcomes = []

    async def send_to(node: Node) -> None:
        while monotonic() < until_s:
            with suppress(OSError, HttpError, TimeoutError):
                response = await call(node)
                outcomes.append((response.status, monotonic(), response))
            await sleep(0.01)

    await gather(*(send_to(node) for node in nodes * senders))
    return outcomes


def count_most(arrivals: list[float], seconds: float) -> int:
    """Returns the largest number of arrivals in any span of this length."""
    return max(
        sum(1 for other in arrivals if start <= other < start + seconds)
        for start in (*arrivals, 0)
    )


def count_allowed(limit: float, seconds: float) -> float:
    """Returns the most requests that may arrive in a span."""
    return FACTOR * limit * seconds + SLACK


async def tell(fleet: Fleet, upstream_node: Node, **headers: str) -> None:
    """Lets an upstream say something, and each proxy pass it on once."""
    upstream_node.upstream.say(headers)
    for node in fleet.nodes:
        await call(node)
    upstream_node.upstream.records.arrivals.clear()


class RateLimitTest(TestCase):
    """The upstream's limit holds for all proxies together."""

    def exceed(self, limit: str, seconds: float, *restarts: float) -> list:
        """Sends far more than the limit; returns the arrivals.

        The daemon beside the upstream is restarted at each of `restarts`.
        """

        async def scenario():
            async with open_fleet({'upstream_id': 'i-1'}, {}, {}) as fleet:
                beside = fleet.nodes[0]
                arrivals = beside.upstream.records.arrivals
                await tell(fleet, beside, **{LIMIT: limit})
                sending = create_task(send_for(fleet.nodes[1:], seconds))
                waited = 0
                for restart_s in restarts:
                    await sleep(restart_s - waited)
                    waited = restart_s
                    await fleet.restart(fleet.nodes[0])
                await sending
                return arrivals

        return run(scenario())

    def test_upstream_gets_no_more_than_the_limit_it_named(self):
        """Two proxies that were told send no more than it together."""
        arrivals = self.exceed('10', 3)
        self.assertLessEqual(count_most(arrivals, 3), count_allowed(10, 3))
        self.assertGreaterEqual(len(arrivals), 20)

    def test_limit_survives_restarts_of_the_daemon_that_counts(self):
        """The proxies that were told still keep it."""
        arrivals = self.exceed('10', 3, 1, 1.5, 2)
        self.assertLessEqual(count_most(arrivals, 3), count_allowed(10, 3))

    def test_small_limit_survives_restarts_of_the_daemon_that_counts(self):
        """A limit below the slots is not passed by the first calls."""
        arrivals = self.exceed('1', 3, 0.5, 1, 1.5, 2, 2.5)
        self.assertLessEqual(count_most(arrivals, 3), count_allowed(1, 3))

    def test_limit_of_zero_lets_a_call_through_that_can_end_it(self):
        """Nothing else shows that the limit has ended."""
        arrivals = self.exceed('0', 5)
        self.assertLessEqual(count_most(arrivals, 4), SLACK)
        self.assertGreaterEqual(len(arrivals), 1)

    def test_refusal_at_the_limit_is_prompt_and_names_a_time(self):
        """What can't be served is refused at once, as not run."""

        async def scenario():
            async with open_fleet({'upstream_id': 'i-1'}, {}) as fleet:
                await tell(fleet, fleet.nodes[0], **{LIMIT: '2'})
                started = monotonic()
                replies = await gather(
                    *(call(fleet.nodes[1]) for _ in range(40)),
                )
                refused = [one for one in replies if one.status == 503]
                return refused, monotonic() - started

        refused, took_s = run(scenario())
        self.assertGreaterEqual(len(refused), 30)
        self.assertLess(took_s, 2.5)
        for reply in refused:
            headers = dict(reply.headers)
            self.assertEqual(b'not_run', headers[b'bilberry-verdict'])
            after_ms = int(headers[b'bilberry-retry-after-ms'])
            self.assertGreaterEqual(after_ms, 50)

    def test_requests_go_to_other_upstreams_first(self):
        """A limited upstream gets its limit, the other one gets the rest."""

        async def scenario():
            upstreams = ({'upstream_id': 'i-1'}, {'upstream_id': 'i-2'})
            async with open_fleet(*upstreams, {}) as fleet:
                limited, other, caller = fleet.nodes
                limited.upstream.say({LIMIT: '5'})
                await send_for([caller], 0.3)
                limited.upstream.records.arrivals.clear()
                outcomes = await send_for([caller], 2)
                return outcomes, limited.upstream.records.arrivals

        outcomes, arrivals = run(scenario())
        self.assertEqual({200}, {status for status, _, _ in outcomes})
        self.assertLessEqual(count_most(arrivals, 2), count_allowed(5, 2))

    def test_withdrawn_limit_ends_for_every_proxy(self):
        """Responses that no longer name it open the upstream again."""

        async def scenario():
            async with open_fleet({'upstream_id': 'i-1'}, {}, {}) as fleet:
                beside = fleet.nodes[0]
                await tell(fleet, beside, **{LIMIT: '5'})
                beside.upstream.say({})
                await send_for(fleet.nodes[1:], 1.5)
                outcomes = await send_for(fleet.nodes[1:], 0.5)
                return [status for status, _, _ in outcomes]

        self.assertEqual({200}, set(run(scenario())))

    def test_limit_ends_with_its_upstream(self):
        """Another upstream beside the same daemon has no limit."""

        async def scenario():
            async with open_fleet({'upstream_id': 'i-1'}, {}) as fleet:
                beside = fleet.nodes[0]
                await tell(fleet, beside, **{LIMIT: '1'})
                upstream = beside.upstream
                upstream.begin_again()
                upstream.options = upstream.options._replace(upstream_id='i-2')
                await upstream.announce()
                outcomes = await send_for(fleet.nodes[1:], 0.5)
                return [status for status, _, _ in outcomes]

        self.assertEqual({200}, set(run(scenario())))


class LeavingTest(TestCase):
    """An upstream that says that it leaves gets no further request."""

    def send_after_leaving(self, restart: bool, told: int = 2) -> list:
        """Returns the arrivals after an upstream said that it leaves."""

        async def scenario():
            async with open_fleet({'upstream_id': 'i-1'}, {}, {}) as fleet:
                beside, first, second = fleet.nodes
                fleet.is_lagging = True
                await tell(fleet, beside, **LEAVING)
                if restart:
                    fleet.is_lagging = False
                    await fleet.restart(beside)
                await send_for([first, second][:told], 0.5)
                return beside.upstream.records.arrivals

        return run(scenario())

    def test_leaving_upstream_gets_no_request_from_told_proxies(self):
        """Also while no relay says that it is leaving."""
        self.assertEqual([], self.send_after_leaving(restart=False))

    def test_left_upstream_is_not_used_again_after_a_restart(self):
        """The restarted daemon learns it from the proxies that were told."""
        self.assertEqual([], self.send_after_leaving(restart=True))

    def test_departure_in_a_response_reaches_every_proxy(self):
        """The daemon beside the upstream announces that it is draining."""

        async def scenario():
            async with open_fleet({'upstream_id': 'i-1'}, {}, {}) as fleet:
                beside, told, untold = fleet.nodes
                beside.upstream.say(LEAVING)
                await call(told)
                own = beside.board.own_endpoint
                drained = own.wait_for(
                    lambda it: it.state is EndpointState.DRAINING
                )
                await wait_for(drained, 2)
                beside.upstream.records.arrivals.clear()
                await beside.upstream.announce()
                reply = await call(untold)
                return own.value.state, reply.status, beside.upstream.records

        state, status, records = run(scenario())
        self.assertEqual((EndpointState.DRAINING, 503), (state, status))
        self.assertEqual([], records.arrivals)

    def test_upstream_without_an_id_may_return_after_it_left(self):
        """The departure ends when it is withdrawn, for every proxy."""

        async def scenario():
            async with open_fleet({}, {'slots': 12}) as fleet:
                caller, beside = fleet.nodes
                await tell(fleet, beside, **LEAVING)
                beside.upstream.begin_again()
                await beside.upstream.announce('DELETE')
                await beside.upstream.announce()
                return [(await call(caller)).status for _ in range(3)]

        self.assertEqual([200, 200, 200], run(scenario()))

    def test_late_announcement_after_a_restart_brings_no_left_upstream_back(
        self,
    ):
        """One from before the departure arrives after the restart."""

        async def scenario():
            async with open_fleet({'upstream_id': 'i-1'}, {}) as fleet:
                beside, caller = fleet.nodes
                await call(caller)
                beside.announcements.leave('i-1')
                beside.upstream.records.arrivals.clear()
                await fleet.restart(beside)
                reply = await call(caller)
                return reply.status, beside.upstream.records.arrivals

        self.assertEqual((503, []), run(scenario()))

    def test_next_start_of_a_left_upstream_is_used(self):
        """The departure belongs to one start."""

        async def scenario():
            async with open_fleet({'upstream_id': 'i-1'}, {}) as fleet:
                beside, caller = fleet.nodes
                await tell(fleet, beside, **LEAVING)
                beside.upstream.begin_again()
                await beside.upstream.announce()
                await until(
                    lambda: (
                        beside.board.own_endpoint.value.state
                        is EndpointState.READY
                    )
                )
                return (await call(caller)).status

        self.assertEqual(200, run(scenario()))
