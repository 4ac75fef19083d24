"""Tests in which order requests get tokens on one daemon."""

from bilberry_quotas.waiting_line import (
    LATE_WAIT_S,
    REPEAT_S,
    NewNeeds,
    WaitingLine,
)
from testtools import TestCase


class WaitingLineTest(TestCase):
    """Two requests in time, and two late ones that came before."""

    def setUp(self) -> None:
        """Adds them; the leader was asked for nothing yet."""
        super().setUp()
        self.line = WaitingLine()
        for number, is_late in enumerate((True, False, True, False)):
            self.line.add(f'r{number}', number / 100, is_late=is_late)

    def test_late_request_is_served_before_others(self):
        """It comes last, in the order of the late ones."""
        served = [self.line.pop_first() for _ in range(4)]
        self.assertEqual(['r1', 'r3', 'r0', 'r2'], served)
        self.assertEqual(0, len(self.line))

    def test_refusal_of_others_ends_late_requests(self):
        """Only those in time were refused."""
        self.assertEqual(['r1', 'r3'], self.line.pop_timely(5))
        self.assertEqual(['r0', 'r2'], self.line.pop_all())

    def test_late_request_waits_for_long(self):
        """It is refused soon, the others wait on."""
        self.assertEqual([], self.line.pop_overdue(LATE_WAIT_S))
        self.assertEqual(['r0'], self.line.pop_overdue(LATE_WAIT_S + 0.01))
        self.assertEqual(3, len(self.line))

    def test_request_is_asked_for_twice(self):
        """Until the ask or its answer is probably lost."""
        self.assertEqual(NewNeeds(2, 2), self.line.collect_new(1))
        self.assertFalse(self.line.has_new)
        self.line.add('r4', 1.1, is_late=False)
        self.assertEqual(NewNeeds(1, 0), self.line.collect_new(1.1))
        self.line.pop_first()
        self.assertEqual(NewNeeds(0, 0), self.line.collect_new(1.2))
        again = self.line.collect_new(1.1 + REPEAT_S + 0.01)
        self.assertEqual(NewNeeds(2, 2), again)

    def test_request_that_left_is_served(self):
        """Its place is free, and nothing more is asked for."""
        self.line.collect_new(1)
        for name in ('r0', 'r1'):
            self.line.leave(name)
        self.assertEqual(NewNeeds(0, 0), self.line.collect_new(1.1))
        self.assertEqual(['r3', 'r2'], self.line.pop_all())
