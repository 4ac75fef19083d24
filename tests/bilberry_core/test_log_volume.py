"""Tests of the rate limits on log lines."""

from logging import INFO, LogRecord

from bilberry_core.log_volume import (
    NOTABLE_RATE,
    ROUTINE_EVENT,
    ROUTINE_RATE,
    LogRateFilter,
)
from testtools import TestCase


class VolumeLimitTest(TestCase):
    """Tests of the rates of routine and notable lines."""

    def setUp(self):
        """Creates a filter whose clock only the test advances."""
        super().setUp()
        self.now: float = 0
        self.limit = LogRateFilter(lambda: self.now)

    def write(self, count: int, event: str = ROUTINE_EVENT, **fields) -> int:
        """Filters `count` lines; returns how many are written."""
        record = LogRecord('module', INFO, '', 0, event, None, None)
        vars(record).update(fields)
        return sum(self.limit.filter(record) for _ in range(count))

    def test_flood_of_answers_leaves_room_for_failures(self):
        """Lines of responses don't use up the rate of failures."""
        self.assertEqual(ROUTINE_RATE, self.write(9999))
        self.assertEqual(100, self.write(100, code='overloaded'))
        self.assertEqual(100, self.write(100, event='version_running'))

    def test_flood_of_failures_is_bounded_and_counted(self):
        """Dropped lines are counted, and the count is reset on reading."""
        self.assertEqual(NOTABLE_RATE, self.write(9999, code='overloaded'))
        suppressed = {'routine': 0, 'notable': 9999 - NOTABLE_RATE}
        self.assertEqual(suppressed, self.limit.pop_suppressed_counts())
        self.assertEqual(
            {'routine': 0, 'notable': 0},
            self.limit.pop_suppressed_counts(),
        )

    def test_budget_refills_over_time(self):
        """Budgets refill with time, up to one second of their rate."""
        self.write(9999)
        self.now = 0.5
        self.assertEqual(ROUTINE_RATE // 2, self.write(9999))
        self.now = 60.0
        self.assertEqual(ROUTINE_RATE, self.write(9999))
