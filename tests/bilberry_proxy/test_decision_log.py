"""Tests the decision log line and the metrics of a request."""

from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy.decision_log import Outcome, count_outcome, log_decision
from bilberry_proxy.selection import Selection
from testtools import TestCase

from tests.bilberry_proxy.test_selection import build_endpoint


class FakeMetrics:
    """Metrics that are kept in memory."""

    def __init__(self) -> None:
        self.counts: dict[str, float] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Adds to a counter."""
        self.counts[stat] = self.counts.get(stat, 0) + count

    def timing(self, stat: str, delta: float) -> None:
        """Records a duration."""
        self.counts[stat] = round(delta, 3)


class DecisionLogTest(TestCase):
    """The log line and metrics of a request that failed after two attempts."""

    def setUp(self):
        """Ends a request after two failed attempts."""
        super().setUp()
        self.outcome = Outcome()
        self.outcome.started_at = 100
        failure = Failure(Verdict.NOT_RUN, FailureCode.OVERLOADED, 'full')
        for index in range(2):
            endpoint = build_endpoint(index)
            self.outcome.record_attempt(Selection(endpoint, 3, 'near', True))
            self.outcome.record_attempt_failure(failure, 'overloaded')
        self.outcome.end(self.outcome.complete(failure), 503)

    def test_line_includes_choice_and_cause(self):
        """One line contains the choice, its reason and the outcome."""
        with self.assertLogs('bilberry_proxy', 'INFO') as captured:
            log_decision(self.outcome, 100.25)
        (record,) = captured.records
        expected = {
            'chosen': 'node-1',
            'candidates': 3,
            'why': 'near',
            'tried': ['node-0', 'node-1'],
            'retries': ['overloaded: overloaded', 'overloaded: overloaded'],
            'status': 503,
            'code': 'overloaded',
            'verdict': 'not_run',
            'detail': 'full',
            'duration_ms': 250,
        }
        logged = {name: vars(record)[name] for name in expected}
        self.assertEqual(expected, logged)

    def test_metrics_count_the_outcome(self):
        """The failure, the retry and the duration are counted."""
        metrics = FakeMetrics()
        count_outcome(metrics, self.outcome, 100.25)
        self.assertEqual(
            {
                'request.failed.overloaded': 1,
                'request.retried': 1,
                'request.duration': 250,
            },
            metrics.counts,
        )
