"""Tests what a proxy reports of open roll-outs, and how upstreams retire."""

from bilberry_core.board import Board
from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.rollout import (
    IdleUpstream,
    Rollout,
    RolloutReport,
    RolloutState,
    RolloutTable,
    RouteEvidence,
)
from bilberry_proxy.announcement import AnnouncementController
from bilberry_proxy.announcement_body import AnnouncementBody
from bilberry_proxy.endpoint_load import SLOW_START_MS
from bilberry_proxy.rollout_evidence import (
    MIN_USUAL,
    REPORT_INTERVAL_S,
    SLOW_FACTOR,
    RolloutEvidence,
)
from bilberry_spread.rollout_reports import RolloutReports
from testtools import TestCase

from tests.bilberry_proxy.played_load import VirtualClock
from tests.bilberry_proxy.test_announcement import SETTINGS

ROLLOUT = Rollout('callouts', 'v2', 12_000, share_ppm=20_000, number=1)
USUAL_S = 0.1


def build_table(state: RolloutState, number: int = 2) -> RolloutTable:
    """Returns a table with one roll-out in this state."""
    return RolloutTable(number, (ROLLOUT._replace(state=state, number=number),))


class RolloutEvidenceTest(TestCase):
    """The responses that count, and as what."""

    def setUp(self) -> None:
        """Starts with an open roll-out."""
        super().setUp()
        self.board = Board()
        self.clock = VirtualClock()
        self.board.rollouts.put(RolloutTable(1, (ROLLOUT,)))
        self.evidence = RolloutEvidence(self.board, self.clock)

    def build_endpoint(self, version: str, age_ms: int) -> Endpoint:
        """Returns an upstream that has been ready for some time."""
        return Endpoint(
            f'i-{version}',
            1,
            1,
            'callouts',
            Address('127.0.0.1', 1),
            'a',
            EndpointState.READY,
            6,
            6,
            self.clock.wall_ms() - age_ms,
            version,
        )

    def report(self, *, is_idle: bool = False) -> RolloutReport:
        """Returns the next report."""
        self.clock.seconds += REPORT_INTERVAL_S
        self.evidence.report(is_idle)
        return self.board.rollout_evidence.value

    def test_failed_and_slow_responses_are_bad(self):
        """Slow compared with the old version on the same route."""
        old = self.build_endpoint('v1', SLOW_START_MS)
        new = self.build_endpoint('v2', SLOW_START_MS)
        slow_s = USUAL_S * SLOW_FACTOR * 1.1
        for _ in range(MIN_USUAL):
            self.evidence.record_answer(old, 'r', 200, USUAL_S)
        for status, served_s in ((200, USUAL_S), (500, USUAL_S), (200, slow_s)):
            self.evidence.record_answer(new, 'r', status, served_s)
        self.evidence.record_silence(new, 'r')
        self.assertEqual(
            {
                RouteEvidence('callouts', 'r', 'v1', MIN_USUAL, 0, 'i-v1'),
                RouteEvidence('callouts', 'r', 'v2', 4, 3, 'i-v2'),
            },
            set(self.report().evidence),
        )

    def test_cold_upstream_is_not_taken_for_a_slow_version(self):
        """It is slow whatever its version."""
        old = self.build_endpoint('v1', SLOW_START_MS)
        for _ in range(MIN_USUAL):
            self.evidence.record_answer(old, 'r', 200, USUAL_S)
        cold = self.build_endpoint('v2', 0)
        self.evidence.record_answer(cold, 'r', 200, USUAL_S * 9)
        bad = sum(seen.bad for seen in self.report().evidence)
        self.assertEqual(0, bad)

    def test_nothing_is_reported_without_an_open_rollout(self):
        """A deployment without roll-outs sends no reports."""
        self.board.rollouts.put(build_table(RolloutState.COMPLETED))
        new = self.build_endpoint('v2', SLOW_START_MS)
        self.evidence.record_answer(new, 'r', 500, USUAL_S)
        self.evidence.record_silence(new, 'r')
        self.assertEqual(RolloutReport(), self.report(is_idle=True))

    def test_responses_are_reported_once(self):
        """Reports are increments."""
        new = self.build_endpoint('v2', SLOW_START_MS)
        self.evidence.record_answer(new, 'r', 200, USUAL_S)
        first = self.report()
        self.assertEqual(1, first.evidence[0].answers)
        self.assertIs(first, self.report())

    def test_idle_upstream_is_reported_only_when_retired(self):
        """And only while it runs nothing."""
        self.board.own_endpoint.put(self.build_endpoint('v1', SLOW_START_MS))
        self.assertEqual((), self.report(is_idle=True).idle)
        self.board.rollouts.put(build_table(RolloutState.COMPLETING))
        self.assertEqual((), self.report(is_idle=False).idle)
        idle = self.report(is_idle=True).idle
        self.assertEqual((IdleUpstream('i-v1', 2),), idle)

    def test_sum_of_reports_keeps_every_response(self):
        """Whatever proxies report, in any order."""
        reports = RolloutReports()
        seen = RouteEvidence('callouts', 'r', 'v2', 2, 1, 'i')
        other = seen._replace(route='s')
        idle = IdleUpstream('i', 2)
        for part in ((seen,), (other, seen)):
            reports.add(RolloutReport(part, (idle,)))
        expected = (seen._replace(answers=4, bad=2), other)
        self.assertEqual(RolloutReport(expected, (idle,)), reports.pop())
        self.assertIsNone(reports.pop())


class RetiredUpstreamTest(TestCase):
    """The daemon beside a retired upstream takes it out of use."""

    def setUp(self) -> None:
        """Announces an upstream of the old version."""
        super().setUp()
        self.board = Board()
        self.announcements = AnnouncementController(
            SETTINGS, self.board, VirtualClock()
        )
        self.announce()

    def announce(self) -> None:
        """Announces the upstream as ready."""
        body = AnnouncementBody(
            'callouts', '127.0.0.1:1', 6, 6, EndpointState.READY, version='v1'
        )
        self.announcements.announce(body)

    @property
    def state(self) -> EndpointState:
        """The announced state."""
        return self.board.own_endpoint.value.state

    def test_old_upstream_drains_while_the_new_version_takes_over(self):
        """Whatever it announces itself."""
        self.board.rollouts.put(build_table(RolloutState.RUNNING))
        self.assertIs(EndpointState.READY, self.state)
        self.board.rollouts.put(build_table(RolloutState.COMPLETING, 3))
        self.assertIs(EndpointState.DRAINING, self.state)
        self.announce()
        self.assertIs(EndpointState.DRAINING, self.state)

    def test_old_upstream_returns_when_the_new_version_goes_back(self):
        """At once, not with its next announcement."""
        self.board.rollouts.put(build_table(RolloutState.COMPLETING))
        self.board.rollouts.put(build_table(RolloutState.ROLLED_BACK, 3))
        self.assertIs(EndpointState.READY, self.state)

    def test_new_upstream_drains_after_a_rollback(self):
        """Its daemon refuses what a proxy out of touch still sends."""
        back = ROLLOUT._replace(version='v1', state=RolloutState.ROLLED_BACK)
        self.board.rollouts.put(RolloutTable(2, (back,)))
        self.assertIs(EndpointState.DRAINING, self.state)
