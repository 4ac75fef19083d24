"""Tests of metrics as text."""

from asyncio import run

from bilberry_core.endpoint import Address
from bilberry_core.http import HttpRequest
from bilberry_core.metric import NullMetrics
from bilberry_core.scrape import MetricsController, ScrapedMetrics
from testtools import TestCase


class ScrapeTest(TestCase):
    """Tests of the text that a scraper reads."""

    def test_families_have_a_label_for_the_kind(self):
        """Counters, gauges and histograms carry the label `kind`."""
        metrics = ScrapedMetrics(NullMetrics())
        metrics.incr('request.failed.deadline', 2)
        metrics.incr('request.failed.overloaded')
        metrics.gauge('version.running', 7)
        metrics.timing('request.duration', 30)
        controller = MetricsController(metrics, Address('127.0.0.1', 0))
        answer = run(controller.handle(HttpRequest('GET', '/metrics')))
        text = answer.body.decode()
        for line in (
            'bilberry_request_failed_total{kind="deadline"} 2.0',
            'bilberry_request_failed_total{kind="overloaded"} 1.0',
            'bilberry_version_running{kind=""} 7.0',
            'bilberry_request_duration_bucket{kind="",le="0.05"} 1.0',
        ):
            self.assertIn(line, text)
        refused = run(controller.handle(HttpRequest('POST', '/metrics')))
        self.assertEqual(405, refused.status)
