"""Tests that a new leader grants by what was accepted before its term."""

from random import Random
from types import SimpleNamespace

from bilberry_core.acceptance import Change
from bilberry_core.board import Board, RelayedReports
from bilberry_core.configuration import Configuration, encode_configuration
from bilberry_core.metric import NullMetrics
from bilberry_core.organisation import Organisation
from bilberry_quotas.granter_controller import TICK_S, GranterController
from bilberry_quotas.spender import Spender
from bilberry_quotas.voter import Voter
from bilberry_replica.leading import propose_change
from bilberry_replica.packing import pack_change
from bilberry_replica.publisher import Publisher
from testtools import TestCase

from tests.bilberry_replica.schedule import Host, Schedule

WINDOW_S = 5.0
LARGE = Organisation('shop', (), None, 900, 900)
LOWERED = Organisation('shop', (), None, 1, 1)
#: Requests that wait for tokens at a daemon.
WANTED = 200
#: Time for which the new leader lacks the replies that commit its entry.
HELD_S = 3.0


class StoppedClock:
    """A clock that goes on when it is told to."""

    def __init__(self) -> None:
        """Starts late enough for votes and shares to be lent."""
        self.seconds: float = 100

    def now(self) -> float:
        """Returns the time."""
        return self.seconds


class Waiter:
    """A request that waits for a token."""

    def on_token(self, token) -> None:
        """Runs the request."""

    def on_token_refused(self, refusal) -> None:
        """Ends the request."""


class NoAcceptor:
    """A log in which no holders are stepped."""


class NewLeader:
    """A replica of a schedule with its granter, a daemon and voters."""

    def __init__(self, host: Host) -> None:
        """Publishes the replica on a blackboard of its own."""
        self.host = host
        self.board = Board()
        self.clock = StoppedClock()
        self.granted = 0
        settings = SimpleNamespace(
            instance=host.name, timing=SimpleNamespace(quota_window_ms=5000)
        )
        self.controller = GranterController(
            settings, self.board, NoAcceptor(), self.clock, NullMetrics()
        )
        self.controller._step_at = float('inf')
        self.publisher = Publisher(host.replica, self.board)
        self._voters = [Voter(name, 1, 0) for name in ('0a', '1b', '2c')]
        self._spender = Spender('daemon', 1, WINDOW_S, Random(1), 0)
        self.board.granter_offer.watch(self._on_offer)
        self.board.granter_answers.watch(self._on_answers)

    @property
    def is_leader(self) -> bool:
        """Whether the replica leads."""
        return self.host.replica.node.is_leader

    def play(self, seconds: float) -> None:
        """Lets the granter run."""
        end = self.clock.seconds + seconds
        while self.clock.seconds < end:
            self.publisher.publish()
            self.controller.tick()
            self.clock.seconds += TICK_S

    def _on_offer(self, offer) -> None:
        now = self.clock.now()
        reports = [voter.reply(offer, now) for voter in self._voters]
        if self._spender.receive_offer(offer, now):
            for _ in range(WANTED - self._spender.waiting):
                self._spender.ask(LARGE, Waiter(), now)
            reports.append(self._spender.build_report(now))
        known = tuple(report for report in reports if report is not None)
        self.board.relayed_reports.put(RelayedReports('relay', known))

    def _on_answers(self, relayed) -> None:
        if relayed is None:
            return
        for answer in relayed.answers:
            self.granted += sum(grant.granted for grant in answer.grants)
            self._spender.receive_answer(answer, self.clock.now())


def submit(schedule: Schedule, host: Host, organisation: Organisation) -> None:
    """Proposes a configuration with one organisation."""
    newest = host.replica.machine.register.newest
    base = newest.version if newest else 0
    content = encode_configuration(Configuration(organisations=(organisation,)))
    change = Change(str(base), base, 'ann', 'because', content)
    logged = pack_change(change, newest)
    schedule.do(host, propose_change, logged, lambda _content: ())


def deliver(schedule: Schedule, *targets: str) -> None:
    """Delivers what is in flight to these replicas, and syncs them."""
    for position in range(len(schedule.in_flight) - 1, -1, -1):
        if schedule.in_flight[position][1] in targets:
            schedule.deliver(position)
    for name in targets:
        host = schedule.hosts[name]
        if host.replica and host.replica.needs_flush:
            schedule.flush(host)


class NewLeaderTest(TestCase):
    """A quota is lowered, and the leader that accepted it is lost at once."""

    def setUp(self):
        """Leaves the followers with an entry that they don't know accepted."""
        super().setUp()
        self.schedule = Schedule(0, 'abc')
        schedule = self.schedule
        (leader,) = (
            host
            for host in schedule.list_running()
            if host.replica.node.is_leader
        )
        submit(schedule, leader, LARGE)
        for _ in range(10):
            schedule.run_faultless_round()
        schedule.in_flight.clear()
        submit(schedule, leader, LOWERED)
        schedule.flush(leader)
        others = [name for name in schedule.hosts if name != leader.name]
        deliver(schedule, *others)
        deliver(schedule, leader.name)
        self.assertEqual(2, leader.replica.machine.register.version)
        schedule.crash(leader)
        schedule.in_flight.clear()
        self.leader = self.elect(others)

    def elect(self, others: list[str]) -> NewLeader:
        """Returns a new leader, to which no reply to its entry has come."""
        new_leaders = [NewLeader(self.schedule.hosts[name]) for name in others]
        while True:
            self.schedule.tick(0.05)
            for name in others:
                deliver(self.schedule, name)
                for one in new_leaders:
                    if one.is_leader:
                        return one

    def test_new_leader_grants_by_the_quota_that_it_knew_as_a_follower(self):
        """Until an entry of its own term is committed, it grants nothing."""
        leader = self.leader
        leader.play(HELD_S)
        self.assertEqual(0, leader.granted)
        for _ in range(10):
            self.schedule.run_faultless_round()
        leader.play(HELD_S)
        self.assertEqual(2, leader.board.accepted.value.version)
        self.assertTrue(1 <= leader.granted <= WINDOW_S * 2, leader.granted)
