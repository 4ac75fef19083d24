"""Tests that requests with an idempotency key run at most once."""

from asyncio import create_task, gather, run

from testtools import TestCase

from tests.bilberry_proxy.fake_claims import FakeClaims
from tests.bilberry_proxy.fleet import call, open_fleet, until
from tests.bilberry_proxy.test_failures import count_runs, verdict

UPSTREAM = {'slots': 4}
CALLER_ONLY = {}


async def book(node, path='/', body=b'cooler', **headers):
    """Sends a non-idempotent request with the key `k`."""
    return await call(node, path, 'POST', body, idempotency_key='k', **headers)


class ClaimedRequestTest(TestCase):
    """Non-idempotent requests through real proxies and shared claims."""

    def _run(self, scenario):
        async def with_fleet():
            claims = FakeClaims()
            nodes = (UPSTREAM, UPSTREAM, CALLER_ONLY)
            async with open_fleet(*nodes, claims=claims) as fleet:
                return await scenario(fleet, claims)

        return run(with_fleet())

    def test_resend_through_another_proxy_gets_the_answer(self):
        """The resend gets the stored response without a second run."""

        async def scenario(fleet, claims):
            first = await book(fleet.nodes[2])
            await until(lambda: claims.answers)
            second = await book(fleet.nodes[0])
            return first.body, second.body, count_runs(fleet)

        self.assertEqual((b'cooler', b'cooler', {'k': 1}), self._run(scenario))

    def test_sends_at_the_same_time_run_once(self):
        """Of many sends through three proxies one runs and answers all."""

        async def scenario(fleet, _claims):
            answers = await gather(
                *(book(fleet.nodes[index % 3], '/slow') for index in range(9))
            )
            return {answer.body for answer in answers}, count_runs(fleet)

        self.assertEqual(({b'cooler'}, {'k': 1}), self._run(scenario))

    def test_same_key_with_another_body_is_refused(self):
        """A key that was used for a different request causes a conflict."""

        async def scenario(fleet, _claims):
            await book(fleet.nodes[2])
            other = await book(fleet.nodes[2], body=b'freezer')
            return other.status, verdict(other), count_runs(fleet)

        self.assertEqual(
            (422, ('not_run', 'claim_conflict'), {'k': 1}),
            self._run(scenario),
        )

    def test_without_holders_nothing_is_dispatched(self):
        """Without a majority of claim holders the request is not run."""

        async def scenario(fleet, claims):
            claims.is_unavailable = True
            answer = await book(fleet.nodes[2])
            return answer.status, verdict(answer), count_runs(fleet)

        self.assertEqual(
            (503, ('not_run', 'claim_unavailable'), {}),
            self._run(scenario),
        )

    def test_answer_is_available_after_the_caller_disconnected(self):
        """A claimed request continues after its caller disconnects."""

        async def scenario(fleet, _claims):
            task = create_task(book(fleet.nodes[2], '/slow'))
            await until(lambda: count_runs(fleet))
            task.cancel()
            again = await book(fleet.nodes[0], '/slow')
            return again.body, count_runs(fleet)

        self.assertEqual((b'cooler', {'k': 1}), self._run(scenario))

    def test_request_continues_after_its_deadline(self):
        """After a 504 response a resend gets the response of the only run."""

        async def scenario(fleet, _claims):
            late = await book(
                fleet.nodes[2], '/slow', bilberry_deadline_ms='80'
            )
            again = await book(fleet.nodes[0], '/slow')
            return verdict(late), again.body, count_runs(fleet)

        self.assertEqual(
            (('may_have_run', 'deadline'), b'cooler', {'k': 1}),
            self._run(scenario),
        )

    def test_request_that_did_not_run_releases_its_key(self):
        """After the verdict `not_run` the same key may be used again."""

        async def scenario(fleet, claims):
            for node in fleet.nodes[:2]:
                node.listener.close()
            refused = await book(fleet.nodes[2])
            await until(lambda: not claims.attempts)
            again = await book(fleet.nodes[0])
            return verdict(refused)[0], again.status, count_runs(fleet)

        self.assertEqual(('not_run', 200, {'k': 1}), self._run(scenario))

    def test_request_that_may_have_run_keeps_its_key(self):
        """After an upstream closed without a response, no resend runs."""

        async def scenario(fleet, _claims):
            first = await book(fleet.nodes[2], '/early')
            again = await book(
                fleet.nodes[0], '/early', bilberry_deadline_ms='50'
            )
            return verdict(first)[0], verdict(again), count_runs(fleet)

        self.assertEqual(
            ('may_have_run', ('may_have_run', 'claim_taken'), {'k': 1}),
            self._run(scenario),
        )

    def test_drain_waits_for_claimed_requests(self):
        """A draining proxy completes the requests that it claimed."""

        async def scenario(fleet, claims):
            proxy = fleet.nodes[2].proxy
            task = create_task(book(fleet.nodes[2], '/slow'))
            await until(lambda: count_runs(fleet))
            await proxy.drain()
            return (await task).status, len(claims.answers)

        self.assertEqual((200, 1), self._run(scenario))

    def test_drain_waits_for_a_claimed_request_without_caller(self):
        """A draining proxy stores the response even without its caller."""

        async def scenario(fleet, claims):
            task = create_task(book(fleet.nodes[2], '/slow'))
            await until(lambda: count_runs(fleet))
            task.cancel()
            await until(lambda: not fleet.nodes[2].proxy.connections)
            await fleet.nodes[2].proxy.drain()
            return len(claims.answers)

        self.assertEqual(1, self._run(scenario))
