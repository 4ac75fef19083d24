"""Tests of the percentiles of times."""

from testtools import TestCase

from bench.percentiles import compute_percentile, summarize


class PercentilesTest(TestCase):
    """Percentiles of times for which they are known exactly."""

    def test_even_times(self):
        """1001 evenly spaced times from 0 to 1 second."""
        seconds = [at / 1000 for at in range(1001)]
        self.assertEqual(
            {'p50': 500.0, 'p99': 990.0, 'p99.9': 999.0},
            summarize(seconds),
        )

    def test_few_times(self):
        """A single time is every percentile; p50 of two is their mean."""
        self.assertEqual(0.5, compute_percentile([0.5], 99))
        self.assertEqual(1.5, compute_percentile([1, 2], 50))
