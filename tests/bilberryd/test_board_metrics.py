"""Tests the gauges that report the state on the blackboard."""

from bilberry_core.board import Board, ReplicaStatus
from bilberry_core.clock import SystemClock
from bilberry_core.endpoint import EndpointState
from bilberry_core.metric import NullMetrics
from bilberry_core.scrape import ScrapedMetrics
from bilberryd.board_metrics import BoardMetrics
from testtools import TestCase

from tests.bilberry_proxy.test_selection import build_endpoint


class BoardMetricsTest(TestCase):
    """Metrics of the blackboard as a scraper reads them."""

    def setUp(self):
        """Builds the metrics of an empty blackboard."""
        super().setUp()
        self.board = Board()
        self.metrics = ScrapedMetrics(NullMetrics())
        self.board_metrics = BoardMetrics(
            self.board, SystemClock(), self.metrics
        )

    def read(self) -> str:
        """Refreshes the gauges and returns the text of all metrics."""
        self.board_metrics.refresh()
        return self.metrics.render().decode()

    def test_gauge_of_a_state_without_endpoints_is_zero(self):
        """A gauge returns to zero when its last endpoint changes state."""
        line = 'bilberry_endpoints_known{kind="ready"} '
        ready = build_endpoint(1)
        self.board.endpoints.put({'a': ready})
        self.assertIn(f'{line}1.0', self.read())
        leaving = ready._replace(state=EndpointState.DRAINING)
        self.board.endpoints.put({'a': leaving})
        self.assertIn(f'{line}0.0', self.read())

    def test_role_of_the_replica_is_reported(self):
        """The gauges show whether the replica leads, and its term."""
        status = ReplicaStatus('leader', 7, 'a', 9, ('a', 'b'))
        self.board.replica.put(status)
        text = self.read()
        for line in ('leads{kind=""} 1.0', 'term{kind=""} 7.0'):
            self.assertIn(f'bilberry_replica_{line}', text)
