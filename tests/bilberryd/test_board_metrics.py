"""Gauges of what a daemon believes."""

from bilberry_core.board import Board, ReplicaStatus
from bilberry_core.clock import SystemClock
from bilberry_core.endpoint import EndpointState
from bilberry_core.metric import NullMetrics
from bilberry_core.scrape import ScrapedMetrics
from bilberryd.board_metrics import BoardMetrics
from testtools import TestCase

from tests.bilberry_proxy.test_selection import build_endpoint


class BoardMetricsTest(TestCase):
    """What a scraper is told of the blackboard."""

    def setUp(self):
        """Starts with an empty blackboard."""
        super().setUp()
        self.board = Board()
        self.metrics = ScrapedMetrics(NullMetrics())
        self.board_metrics = BoardMetrics(
            self.board, SystemClock(), self.metrics
        )

    def read(self) -> str:
        """Returns the text of every metric."""
        self.board_metrics.refresh()
        return self.metrics.render().decode()

    def test_gauge_of_a_state_without_endpoints_is_zero(self):
        """A gauge does not keep what is no longer so."""
        line = 'bilberry_endpoints_known{kind="ready"} '
        ready = build_endpoint(1)
        self.board.endpoints.put({'a': ready})
        self.assertIn(f'{line}1.0', self.read())
        leaving = ready._replace(state=EndpointState.DRAINING)
        self.board.endpoints.put({'a': leaving})
        self.assertIn(f'{line}0.0', self.read())

    def test_role_of_the_replica_is_reported(self):
        """Whether it leads, its term and the members."""
        status = ReplicaStatus('leader', 7, 'a', 9, ('a', 'b'))
        self.board.replica.put(status)
        text = self.read()
        for line in ('leads{kind=""} 1.0', 'term{kind=""} 7.0'):
            self.assertIn(f'bilberry_replica_{line}', text)
