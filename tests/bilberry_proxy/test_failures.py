"""Tests of failures over real sockets: each verdict must be true."""

from asyncio import Event, create_task, gather, run

from bilberry_core.board import Phase
from bilberry_core.configuration import Configuration, RouteException
from bilberry_core.policy import PolicyChange, Priority
from testtools import TestCase

from tests.bilberry_proxy.fleet import call, configure, open_fleet, until
from tests.virtual_time import VirtualClock, run_virtually

UPSTREAM = {'slots': 2}
CALLER_ONLY = {}
#: Times that messages are under way, in seconds.
TRIPS_S = (0, 0.0005, 0.001, 0.002, 0.003)


def verdict(response) -> tuple[str, str]:
    """Returns the verdict and the code of a failure response."""
    return (
        response.get_header(b'bilberry-verdict'),
        response.get_header(b'bilberry-code'),
    )


def count_runs(fleet) -> dict[str, int]:
    """Returns how often each request ran on all upstreams."""
    total: dict[str, int] = {}
    for node in fleet.nodes:
        if node.upstream is not None:
            for name, runs in node.upstream.records.runs.items():
                total[name] = total.get(name, 0) + runs
    return total


class VerdictTest(TestCase):
    """Verdicts that a caller receives for failed requests."""

    def test_post_that_was_cut_off_ran_once(self):
        """A POST is not retried if its upstream closed without a response."""

        async def scenario():
            async with open_fleet(UPSTREAM, UPSTREAM, CALLER_ONLY) as fleet:
                response = await call(
                    fleet.nodes[2], '/early', 'POST', x_request_id='a'
                )
                return verdict(response), count_runs(fleet)

        failure, runs = run(scenario())
        self.assertEqual(('may_have_run', 'upstream_closed'), failure)
        self.assertEqual({'a': 1}, runs)

    def test_get_that_was_cut_off_is_retried_elsewhere(self):
        """An idempotent request is retried once, at another endpoint."""

        async def scenario():
            async with open_fleet(UPSTREAM, UPSTREAM, CALLER_ONLY) as fleet:
                await call(fleet.nodes[2], '/early', x_request_id='a')
                return [
                    dict(node.upstream.records.runs) for node in fleet.nodes[:2]
                ]

        self.assertEqual([{'a': 1}, {'a': 1}], run(scenario()))

    def test_post_that_was_not_run_is_retried_elsewhere(self):
        """A refused connection proves not run, so a POST is retried."""

        async def scenario():
            async with open_fleet(UPSTREAM, UPSTREAM, CALLER_ONLY) as fleet:
                fleet.nodes[0].upstream.close()
                responses = [
                    await call(fleet.nodes[2], '/', 'POST', b'x')
                    for _ in range(8)
                ]
                return {response.status for response in responses}

        self.assertEqual({200}, run(scenario()))

    def test_cut_answer_is_not_passed_off_as_whole(self):
        """A response shorter than declared is never passed on as a 200."""

        async def scenario():
            async with open_fleet(UPSTREAM, CALLER_ONLY) as fleet:
                try:
                    response = await call(fleet.nodes[1], '/truncate', 'POST')
                except Exception as error:
                    return type(error).__name__
                return response.status

        self.assertNotEqual(200, run(scenario()))

    def test_second_answer_reaches_nobody(self):
        """A connection with a second response on it is not reused."""

        async def scenario():
            async with open_fleet(UPSTREAM, CALLER_ONLY) as fleet:
                first = await call(fleet.nodes[1], '/twice')
                second = await call(fleet.nodes[1], '/next')
                return first.body, second.body

        self.assertEqual((b'one', b'/next'), run(scenario()))

    def test_deadline_is_reported_at_once_and_cancels(self):
        """The deadline of the caller cancels the request at the upstream."""

        async def scenario():
            async with open_fleet(UPSTREAM, CALLER_ONLY) as fleet:
                records = fleet.nodes[0].upstream.records
                response = await call(
                    fleet.nodes[1],
                    '/slow',
                    'POST',
                    x_request_id='a',
                    bilberry_deadline_ms='60',
                )
                await until(lambda: records.cancelled['a'])
                return response.status, verdict(response)

        self.assertEqual(
            (504, ('may_have_run', 'deadline')),
            run(scenario()),
        )

    def test_disconnect_of_the_caller_cancels_the_request(self):
        """A request is cancelled at the upstream if its caller disconnects."""

        async def scenario():
            async with open_fleet(UPSTREAM, CALLER_ONLY) as fleet:
                records = fleet.nodes[0].upstream.records
                task = create_task(
                    call(fleet.nodes[1], '/slow', x_request_id='a')
                )
                await until(lambda: records.runs['a'])
                task.cancel()
                await until(lambda: records.cancelled['a'])
                return records.running

        self.assertEqual(0, run(scenario()))

    def test_no_endpoint_is_reported_after_a_bounded_wait(self):
        """A request to a service without an upstream fails as not run."""

        async def scenario():
            async with open_fleet(CALLER_ONLY) as fleet:
                return verdict(await call(fleet.nodes[0]))

        self.assertEqual(('not_run', 'no_endpoint'), run(scenario()))

    def test_lost_stream_is_reported_as_may_have_run(self):
        """A POST whose stream is lost is never reported as not run."""

        async def scenario():
            async with open_fleet(UPSTREAM, CALLER_ONLY) as fleet:
                records = fleet.nodes[0].upstream.records
                task = create_task(
                    call(fleet.nodes[1], '/slow', 'POST', x_request_id='a')
                )
                await until(lambda: records.runs['a'])
                fleet.nodes[0].listener.close()
                return verdict(await task)

        self.assertEqual(('may_have_run', 'stream_lost'), run(scenario()))

    def test_unreachable_daemon_is_not_run(self):
        """A request to an unreachable daemon was not run."""

        async def scenario():
            async with open_fleet(UPSTREAM, CALLER_ONLY) as fleet:
                fleet.nodes[0].listener.close()
                return verdict(await call(fleet.nodes[1], '/', 'POST'))

        self.assertEqual(('not_run', 'stream_lost'), run(scenario()))


class RetryTest(TestCase):
    """Retries: only of requests that may be retried, and only once."""

    def test_request_that_was_retried_is_not_retried_again(self):
        """A chain of proxies does not multiply attempts."""

        async def scenario():
            async with open_fleet(UPSTREAM, UPSTREAM, CALLER_ONLY) as fleet:
                answer = await call(
                    fleet.nodes[2],
                    '/early',
                    x_request_id='a',
                    bilberry_retried='1',
                )
                return answer.status, count_runs(fleet)

        self.assertEqual((502, {'a': 1}), run(scenario()))

    def test_post_that_an_upstream_declines_is_retried(self):
        """A POST that an upstream sheds is sent to another one."""

        async def scenario():
            upstream = {'slots': 2, 'sheds': True}
            async with open_fleet(upstream, UPSTREAM, CALLER_ONLY) as fleet:
                answers = [
                    await call(
                        fleet.nodes[2], '/', 'POST', x_request_id=str(index)
                    )
                    for index in range(8)
                ]
                return {answer.status for answer in answers}, count_runs(fleet)

        statuses, runs = run(scenario())
        self.assertEqual({200}, statuses)
        self.assertEqual({str(index): 1 for index in range(8)}, runs)

    def test_read_is_retried_after_a_frozen_upstream(self):
        """A read is retried in time if the first upstream never responds."""

        async def scenario():
            frozen = {'slots': 2, 'latency_ms': 60000}
            configuration = configure(timeout_ms=400)
            async with open_fleet(
                frozen,
                UPSTREAM,
                CALLER_ONLY,
                configuration=configuration,
                clock=VirtualClock(),
            ) as fleet:
                answers = [await call(fleet.nodes[2]) for _ in range(6)]
                return {answer.status for answer in answers}

        for trip_s in TRIPS_S:
            self.assertEqual({200}, run_virtually(scenario(), trip_s))


class AdmissionLimitTest(TestCase):
    """More concurrent calls than the upstream has slots."""

    def test_slots_are_never_exceeded(self):
        """Concurrent calls through two proxies don't exceed the slots."""

        async def scenario():
            upstream = {'slots': 3, 'latency_ms': 5}
            async with open_fleet(upstream, CALLER_ONLY) as fleet:
                answers = await gather(
                    *(call(fleet.nodes[index % 2]) for index in range(40))
                )
                records = fleet.nodes[0].upstream.records
                statuses = {answer.status for answer in answers}
                return (
                    records.most_running,
                    statuses,
                    sum(records.runs.values()),
                    sum(answer.status == 200 for answer in answers),
                )

        max_running, statuses, runs, served = run(scenario())
        self.assertEqual(3, max_running)
        self.assertEqual(set(), statuses - {200, 503})
        self.assertEqual(served, runs)

    def test_shed_call_gets_a_retry_after(self):
        """A call that exceeds the queue is refused as not run."""

        async def scenario():
            upstream = {'slots': 1, 'latency_ms': 20}
            async with open_fleet(
                upstream, CALLER_ONLY, configuration=configure(retries=0)
            ) as fleet:
                answers = await gather(
                    *(call(fleet.nodes[1], '/slow') for _ in range(8))
                )
                return [answer for answer in answers if answer.status == 503]

        shed = run(scenario())
        self.assertGreaterEqual(len(shed), 3)
        for answer in shed:
            self.assertEqual(('not_run', 'overloaded'), verdict(answer))
            self.assertNotEqual('', answer.get_header(b'retry-after'))


class PressureTest(TestCase):
    """Load shedding by a proxy whose event loop lags."""

    def test_deferrable_is_shed_before_urgent(self):
        """Shedding goes by priority and ends with the lag."""

        async def scenario():
            exceptions = tuple(
                RouteException(
                    priority.value,
                    'callouts',
                    'a test of priorities',
                    PolicyChange(priority=priority),
                    f'/{priority.value}',
                )
                for priority in Priority
            )
            configuration = configure()._replace(exceptions=exceptions)
            async with open_fleet(
                UPSTREAM, configuration=configuration
            ) as fleet:
                node = fleet.nodes[0]
                statuses = []
                record_lag = node.proxy.pressure.record_lag
                node.proxy.pressure.record_lag = lambda _lag_s: None
                for lag_s in (0.3, 3, 0):
                    record_lag(lag_s)
                    answers = [
                        await call(node, f'/{priority.value}')
                        for priority in Priority
                    ]
                    statuses.append([answer.status for answer in answers])
                return statuses

        self.assertEqual(
            [[200, 200, 503], [200, 503, 503], [200, 200, 200]],
            run(scenario()),
        )


class LeavingTest(TestCase):
    """Upstreams and daemons that leave during requests."""

    def test_draining_daemon_finishes_what_runs(self):
        """A drain finishes running calls and refuses new ones as not run."""

        async def scenario():
            async with open_fleet(UPSTREAM, CALLER_ONLY) as fleet:
                node = fleet.nodes[0]
                running = create_task(call(fleet.nodes[1], '/slow'))
                await until(lambda: node.upstream.records.running)
                drain = create_task(node.proxy.drain())
                await until(lambda: node.board.phase.value is Phase.DRAINING)
                refused = await call(node)
                answer = await running
                await drain
                return answer.status, refused.status, verdict(refused)

        self.assertEqual((200, 503, ('not_run', 'draining')), run(scenario()))

    def test_graceful_stop_cuts_no_call_of_another_daemon(self):
        """Calls during the stop succeed, or fail as not run."""

        async def scenario():
            upstream = {'slots': 8, 'latency_ms': 1}
            async with open_fleet(upstream, upstream, CALLER_ONLY) as fleet:
                leaving, _, caller = fleet.nodes
                fleet.is_lagging = True
                outcomes = []
                stopped = Event()

                async def work(name):
                    index = 0
                    while not stopped.is_set():
                        index += 1
                        answer = await call(
                            caller, '/', 'POST', x_request_id=f'{name}-{index}'
                        )
                        outcomes.append((answer.status, verdict(answer)[0]))

                workers = [create_task(work(name)) for name in range(6)]
                await until(lambda: leaving.upstream.records.runs)
                await leaving.proxy.drain()
                await leaving.proxy.stop()
                leaving.listener.close()
                before = len(outcomes)
                await until(lambda: len(outcomes) > before + 50)
                stopped.set()
                await gather(*workers)
                runs = count_runs(fleet)
                return set(outcomes), max(runs.values())

        outcomes, max_runs = run(scenario())
        self.assertEqual(set(), outcomes - {(200, ''), (503, 'not_run')})
        self.assertEqual(1, max_runs)

    def test_upstream_that_leaves_gets_no_new_work(self):
        """After DELETE no new request arrives and running ones finish."""

        async def scenario():
            async with open_fleet(UPSTREAM, UPSTREAM, CALLER_ONLY) as fleet:
                leaving, staying, caller = fleet.nodes
                running = [
                    create_task(call(caller, '/slow', x_request_id=name))
                    for name in ('a', 'b')
                ]
                await until(lambda: leaving.upstream.records.running)
                await leaving.upstream.announce('DELETE')
                before = sum(leaving.upstream.records.runs.values())
                later = [await call(caller) for _ in range(6)]
                answers = await gather(*running)
                after = sum(leaving.upstream.records.runs.values())
                statuses = {answer.status for answer in (*later, *answers)}
                return before == after, statuses

        self.assertEqual((True, {200}), run(scenario()))

    def test_calls_avoid_a_dead_daemon(self):
        """Calls are retried elsewhere if a stream can't be opened."""

        async def scenario():
            async with open_fleet(UPSTREAM, UPSTREAM, CALLER_ONLY) as fleet:
                fleet.nodes[0].listener.close()
                answers = [
                    await call(fleet.nodes[2], '/', 'POST') for _ in range(8)
                ]
                return {answer.status for answer in answers}

        self.assertEqual({200}, run(scenario()))


class ChangeTest(TestCase):
    """Configuration changes during requests."""

    def test_request_keeps_the_snapshot_it_began_with(self):
        """A change during a request neither loses nor repeats it."""

        async def scenario():
            async with open_fleet(UPSTREAM, CALLER_ONLY) as fleet:
                records = fleet.nodes[0].upstream.records
                task = create_task(
                    call(fleet.nodes[1], '/slow', 'POST', x_request_id='a')
                )
                await until(lambda: records.runs['a'])
                fleet.configuration = Configuration()
                fleet.spread()
                unknown = await call(fleet.nodes[1])
                answer = await task
                return answer.status, unknown.status, records.runs['a']

        self.assertEqual((200, 404, 1), run(scenario()))
