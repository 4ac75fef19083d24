"""Tests of claim clients against holders on loopback, with faults."""

from asyncio import create_task, gather, run, wait
from unittest.mock import patch

from bilberry_claims.exchange import Exchange
from bilberry_core.claim import (
    Answered,
    Granted,
    Mismatch,
    Taken,
    Unavailable,
)
from testtools import TestCase

from tests.bilberry_claims.fleet import (
    ANSWER,
    TIMEOUT_S,
    Fleet,
    make_attempt,
    wait_until,
)


class ClientTest(TestCase):
    """The outcomes of claims without faults."""

    def test_answer_is_stored_for_another_client(self):
        async def scenario():
            async with Fleet() as fleet:
                first, second = fleet.add_client(), fleet.add_client()
                one, two = make_attempt(b'1'), make_attempt(b'2')
                granted = await first.claim(one, TIMEOUT_S)
                settled = await first.settle(one, ANSWER, TIMEOUT_S)
                return granted, settled, await second.claim(two, TIMEOUT_S)

        granted, settled, outcome = run(scenario())
        self.assertIsInstance(granted, Granted)
        self.assertTrue(settled)
        self.assertEqual(Answered(ANSWER), outcome)

    def test_resend_waits_for_the_answer(self):
        async def scenario():
            async with Fleet() as fleet:
                first, second = fleet.add_client(), fleet.add_client()
                one = make_attempt(b'1')
                await first.claim(one, TIMEOUT_S)
                _, outcome = await gather(
                    first.settle(one, ANSWER, TIMEOUT_S),
                    second.claim(make_attempt(b'2'), TIMEOUT_S),
                )
                return outcome

        self.assertEqual(Answered(ANSWER), run(scenario()))

    def test_unsettled_claim_is_taken(self):
        async def scenario():
            async with Fleet() as fleet:
                first, second = fleet.add_client(), fleet.add_client()
                await first.claim(make_attempt(b'1'), TIMEOUT_S)
                return await second.claim(make_attempt(b'2'), 0.2)

        self.assertIsInstance(run(scenario()), Taken)

    def test_released_claim_is_granted_again(self):
        async def scenario():
            async with Fleet() as fleet:
                first, second = fleet.add_client(), fleet.add_client()
                one = make_attempt(b'1')
                await first.claim(one, TIMEOUT_S)
                released = await first.release(one, TIMEOUT_S)
                outcome = await second.claim(make_attempt(b'2'), TIMEOUT_S)
                return released, outcome

        released, outcome = run(scenario())
        self.assertTrue(released)
        self.assertIsInstance(outcome, Granted)

    def test_same_key_with_another_body_is_refused(self):
        async def scenario():
            async with Fleet() as fleet:
                client = fleet.add_client()
                await client.claim(make_attempt(b'1'), TIMEOUT_S)
                other = make_attempt(b'2', body=b'other')
                return await client.claim(other, TIMEOUT_S)

        self.assertIsInstance(run(scenario()), Mismatch)

    def test_answer_is_not_given_to_another_body(self):
        async def scenario():
            async with Fleet() as fleet:
                client = fleet.add_client()
                one = make_attempt(b'1')
                await client.claim(one, TIMEOUT_S)
                await client.settle(one, ANSWER, TIMEOUT_S)
                other = make_attempt(b'2', body=b'other')
                return await client.claim(other, TIMEOUT_S)

        self.assertIsInstance(run(scenario()), Mismatch)

    def test_racing_clients_get_exactly_one_grant(self):
        async def scenario(size, racers):
            async with Fleet(size) as fleet:
                claims = [
                    fleet.add_client().claim(make_attempt(bytes([index])), 1)
                    for index in range(racers)
                ]
                return await gather(*claims)

        for size, racers in ((3, 2), (3, 5), (5, 5)):
            outcomes = run(scenario(size, racers))
            kinds = [type(outcome) for outcome in outcomes]
            self.assertEqual(1, kinds.count(Granted))
            self.assertEqual(racers - 1, kinds.count(Taken))

    def test_no_epoch_is_unavailable(self):
        async def scenario():
            fleet = Fleet(0)
            client = fleet.add_client()
            return await client.claim(make_attempt(b'1'), 0.01)

        self.assertIsInstance(run(scenario()), Unavailable)


class AbandonedClaimTest(TestCase):
    """Cancelled claims, and withdrawals that do not reach a holder."""

    def test_claim_cancelled_as_it_is_granted_frees_the_key(self):
        async def scenario():
            async with Fleet() as fleet:
                first, second = fleet.add_client(), fleet.add_client()
                claim = create_task(first.claim(make_attempt(b'1'), TIMEOUT_S))
                close = Exchange.close

                def close_and_cancel(exchange):
                    close(exchange)
                    claim.cancel()

                with patch.object(Exchange, 'close', close_and_cancel):
                    await wait([claim])
                outcome = await second.claim(make_attempt(b'2'), TIMEOUT_S)
                return claim.cancelled(), outcome

        cancelled, outcome = run(scenario())
        self.assertTrue(cancelled)
        self.assertIsInstance(outcome, Granted)

    def test_vote_of_a_lost_withdrawal_is_withdrawn_later(self):
        async def scenario():
            async with Fleet() as fleet:
                await fleet.wait_caught_up()
                voter, *others = fleet.replicas
                for replica in others:
                    await replica.crash()
                one = make_attempt(b'1')
                claim = create_task(fleet.add_client().claim(one, 0.5))
                await wait_until(lambda: voter.reads(one.claim).votes)
                await voter.crash()
                outcome = await claim
                for replica in fleet.replicas:
                    await replica.start(fleet.epoch)
                await wait_until(lambda: not voter.reads(one.claim).votes)
                return outcome

        self.assertIsInstance(run(scenario()), Unavailable)
