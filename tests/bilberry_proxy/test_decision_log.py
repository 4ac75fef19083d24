"""The decision line and the metrics of a request."""

from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy.decision_log import Outcome, count_outcome, log_decision
from bilberry_proxy.selection import Selection
from testtools import TestCase

from tests.bilberry_proxy.test_selection import build_endpoint


class FakeMetrics:
    """Keeps what is counted."""

    def __init__(self) -> None:
        """Starts empty."""
        self.counts: dict[str, float] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Adds to a counter."""
        self.counts[stat] = self.counts.get(stat, 0) + count

    def timing(self, stat: str, delta: float) -> None:
        """Keeps a duration."""
        self.counts[stat] = round(delta, 3)


class DecisionLogTest(TestCase):
    """A request that was tried twice and failed."""

    def setUp(self):
        """Ends the request after two attempts."""
        super().setUp()
        self.outcome = Outcome()
        self.outcome.started_at = 100
        failure = Failure(Verdict.NOT_RUN, FailureCode.OVERLOADED, 'full')
        for at in range(2):
            endpoint = build_endpoint(at)
            self.outcome.record_attempt(Selection(endpoint, 3, 'near', True))
            self.outcome.record_attempt_failure(failure, 'overloaded')
        self.outcome.end(self.outcome.complete(failure), 503)

    def test_line_tells_choice_and_cause(self):
        """One line holds what was chosen, from what, why and the end."""
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
        told = {name: vars(record)[name] for name in expected}
        self.assertEqual(expected, told)

    def test_metrics_count_the_end(self):
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
