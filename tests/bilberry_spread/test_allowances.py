"""Tests of the way between proxies and the granter of quotas."""

from bilberry_core.board import AttachedReport, RelayedAnswers
from bilberry_core.messages.allowance import (
    AllowanceAnswer,
    AllowanceOffer,
    AllowanceReport,
)
from testtools import TestCase

from tests.bilberry_spread.fleet import Fleet, make_accepted

#: Time in which a fleet finds together, in seconds.
START_S = 10.0
#: Time in which a message is passed on twice, in seconds.
PASS_S = 0.5
OFFER = AllowanceOffer(3, 17.5)


def build_report(instance: str) -> AllowanceReport:
    """Returns a reply of an instance to `OFFER`."""
    return AllowanceReport(instance, 1, *OFFER, 2.5, lends=True)


class WayTest(TestCase):
    """Offers reach every daemon, reports the granter, answers their daemon."""

    def play(self, **sizes) -> Fleet:
        """Returns a fleet whose proxies have got the offer of r-0."""
        fleet = Fleet(**sizes)
        fleet.accept(make_accepted(1))
        fleet.run(START_S)
        fleet.nodes['r-0'].board.granter_offer.put(OFFER)
        fleet.run(PASS_S)
        return fleet

    def assert_way(self, fleet: Fleet) -> None:
        """Asserts that each proxy's report gets its answer, and no other."""
        granter = fleet.nodes['r-0'].board
        came: dict[str, str] = {}
        granter.relayed_reports.watch(
            lambda relayed: came.update(
                (report.instance, relayed.relay) for report in relayed.reports
            )
        )
        for node in fleet.nodes.values():
            self.assertEqual(OFFER, node.board.allowance_offer.value, node.name)
            node.board.allowance_report.put(build_report(node.name))
        fleet.run(PASS_S)
        self.assertEqual(fleet.nodes.keys(), came.keys())
        for name, relay in came.items():
            answer = AllowanceAnswer(name, 1, 3, 2.5, 16)
            granter.granter_answers.put(RelayedAnswers(relay, (answer,)))
        fleet.run(PASS_S)
        for name, node in fleet.nodes.items():
            answer = node.board.allowance_answer.value
            self.assertEqual(name, answer and answer.instance)

    def test_daemon_without_a_way_to_the_granter(self):
        """With replicas as relays."""
        self.assert_way(self.play(replicas=3, proxies=7))

    def test_daemon_of_a_relay_without_a_way_to_the_granter(self):
        """With relays that are no replicas."""
        self.assert_way(self.play(replicas=3, relays=3, proxies=7))

    def test_offer_of_a_former_leader_replaces_that_of_the_next(self):
        """It comes late, and reports still go to the next one."""
        fleet = self.play(replicas=3, proxies=4)
        fleet.nodes['r-1'].board.granter_offer.put(AllowanceOffer(2, 99.0))
        fleet.run(PASS_S)
        came = []
        fleet.nodes['r-0'].board.relayed_reports.watch(came.append)
        for node in fleet.proxies:
            self.assertEqual(OFFER, node.board.allowance_offer.value)
            node.board.allowance_report.put(build_report(node.name))
        fleet.run(PASS_S)
        names = {report.instance for each in came for report in each.reports}
        self.assertEqual({node.name for node in fleet.proxies}, names)

    def test_answer_to_a_neighbour_goes_to_the_daemon_itself(self):
        """It goes back to the daemon that passed its report on."""
        fleet = self.play(replicas=3, proxies=5)
        granter = fleet.nodes['r-0'].board
        came = []
        granter.relayed_reports.watch(came.append)
        for name in ('p-1', 'r-2'):
            board = fleet.nodes[name].board
            board.attached_report.put(AttachedReport('', build_report('p-0')))
            fleet.run(PASS_S)
            answer = AllowanceAnswer('p-0', 1, 3, 2.5, 16)
            granter.granter_answers.put(
                RelayedAnswers(came[-1].relay, (answer,))
            )
            fleet.run(PASS_S)
            self.assertEqual(answer, board.allowance_answer.value)
        self.assertIsNone(fleet.nodes['p-0'].board.allowance_answer.value)
