"""Percentiles of times."""

from testtools import TestCase

from bench.percentiles import compute_percentile, summarize


class PercentilesTest(TestCase):
    """Compared with times whose percentiles are plain."""

    def test_even_times(self):
        """A thousand and one times from 0 to a second."""
        seconds = [at / 1000 for at in range(1001)]
        self.assertEqual(
            {'p50': 500.0, 'p99': 990.0, 'p99.9': 999.0},
            summarize(seconds),
        )

    def test_few_times(self):
        """One time is every percentile; two have a middle."""
        self.assertEqual(0.5, compute_percentile([0.5], 99))
        self.assertEqual(1.5, compute_percentile([1, 2], 50))
