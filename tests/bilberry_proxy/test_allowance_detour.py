"""Tests of the way to the granter of quotas by way of neighbours."""

from asyncio import run, sleep

from bilberry_core.configuration import Configuration, Service
from bilberry_core.messages.allowance import (
    AllowanceAnswer,
    AllowanceOffer,
    AllowanceReport,
)
from bilberry_core.organisation import Organisation, compute_key_digest
from testtools import TestCase

from tests.bilberry_proxy.fleet import SERVICE, call, open_fleet, until

KEY = 'a-key-of-the-tests'
ACME = Organisation('acme', (compute_key_digest(KEY.encode()),), None, 10, 5)
QUOTAS = Configuration(services=(Service(SERVICE),), organisations=(ACME,))
KEYED = {'authorization': f'Bearer {KEY}'}
#: Interval between offers, less than the silence that starts a detour.
OFFER_S = 0.1


def build_report(instance: str, offer: AllowanceOffer) -> AllowanceReport:
    """Returns the reply of an instance to an offer."""
    return AllowanceReport(instance, 1, *offer, 2.5, lends=True)


class DetourTest(TestCase):
    """A proxy whose relay is silent, beside one whose relay isn't."""

    def play(self, script, configuration=QUOTAS):
        """Runs a script with the silent proxy and its neighbour."""

        async def scenario():
            nodes = ({}, {'slots': 4})
            async with open_fleet(*nodes, configuration=configuration) as fleet:
                silent, heard = fleet.nodes
                await call(silent, **KEYED)
                return await script(silent.board, heard.board)

        return run(scenario())

    async def offer(self, board, condition) -> int:
        """Makes offers to a daemon until the condition holds."""
        number = 0
        while not condition():
            number += 1
            board.allowance_offer.put(AllowanceOffer(1, float(number)))
            await sleep(OFFER_S)
        return number

    def test_daemon_that_hears_nothing_is_out_of_touch(self):
        """It gets offers and answers, and its reports are passed on."""

        async def script(silent, heard):
            passed = []
            heard.attached_report.watch(passed.append)
            await self.offer(heard, lambda: silent.allowance_offer.value)
            offer = silent.allowance_offer.value
            silent.allowance_report.put(build_report('node-1', offer))
            await until(lambda: passed)
            answer = AllowanceAnswer('node-1', 1, 1, 2.5, 16)
            heard.allowance_answer.put(answer)
            await until(lambda: silent.allowance_answer.value)
            return passed[0].report, silent.allowance_answer.value

        report, answer = self.play(script)
        self.assertEqual('node-1', report.instance)
        self.assertEqual('node-1', answer.instance)

    def test_daemon_in_touch_follows_its_neighbour(self):
        """It hears its relay, and gets no offer from elsewhere."""

        async def script(silent, heard):
            heard.allowance_offer.put(AllowanceOffer(9, 1.0))
            await self.offer(
                silent, lambda: (silent.allowance_offer.value or (0, 0))[1] > 9
            )
            return silent.allowance_offer.value.term

        self.assertEqual(1, self.play(script))

    def test_fleet_without_quotas_follows_neighbours(self):
        """Nobody needs offers."""

        async def script(silent, heard):
            for number in range(8):
                heard.allowance_offer.put(AllowanceOffer(1, float(number)))
                await sleep(OFFER_S)
            return silent.allowance_offer.value

        quotaless = QUOTAS._replace(organisations=())
        self.assertIsNone(self.play(script, quotaless))

    def test_old_offer_of_a_neighbour_replaces_a_newer_one(self):
        """It comes late, by way of a daemon that is behind."""

        async def script(silent, heard):
            silent.allowance_offer.put(AllowanceOffer(5, 1.0))
            await sleep(1)
            for number in range(8):
                heard.allowance_offer.put(AllowanceOffer(4, float(number)))
                await sleep(OFFER_S)
            return silent.allowance_offer.value.term

        self.assertEqual(5, self.play(script))
