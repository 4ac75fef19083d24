"""Tests of the log line and the counter of failed calls."""

from bilberry_core.messages.call import CallStart, Load
from bilberry_core.metric import NullMetrics
from bilberry_core.policy import Priority
from bilberry_core.scrape import ScrapedMetrics
from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy.call_log import log_failure
from bilberry_proxy.dialect import OWN_DIALECT
from testtools import TestCase

FAILURE = Failure(Verdict.NOT_RUN, FailureCode.NO_FREE_SLOT, 'no slot')


class FakeUpstream:
    """An upstream with its own metrics."""

    dialect = OWN_DIALECT
    upstream_id = 'u-1'

    def __init__(self) -> None:
        """Creates empty metrics."""
        self.metrics = ScrapedMetrics(NullMetrics())


class CallLogTest(TestCase):
    """Each failure is logged and counted."""

    def test_failures_are_counted_by_code(self):
        """The failure code is the label of the counter."""
        upstream = FakeUpstream()
        headers = ((OWN_DIALECT.request_id, b'r-1'),)
        start = CallStart(
            1, 'stock', b'GET', b'/', headers, b'', True, 9, Priority.NORMAL
        )
        with self.assertLogs('bilberry_proxy.call_log', 'INFO') as logged:
            for _ in range(2):
                log_failure(start, FAILURE, Load(2, 1, 2, 900), upstream)
        self.assertEqual(
            ['r-1', 'r-1'],
            [record.request for record in logged.records],
        )
        self.assertIn(
            'bilberry_call_failed_total{kind="no_free_slot"} 2.0',
            upstream.metrics.render().decode(),
        )
