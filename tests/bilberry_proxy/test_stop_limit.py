"""Tests how a stop limits the requests that arrive in it."""

from typing import NamedTuple

from bilberry_core.board import Board
from bilberry_proxy.stop_limit import (
    DELIVERY_S,
    is_too_late,
    limit_by_stop,
)
from testtools import TestCase

STOPS_AT = 10


class TimedPlan(NamedTuple):
    """The part of a plan that a stop limits."""

    deadline: float


class StopLimitTest(TestCase):
    """Requests before a stop and in it."""

    def setUp(self):
        """Starts without a stop."""
        super().setUp()
        self.board = Board()

    def test_nothing_is_limited_before_a_stop(self):
        """Nothing is known of its end then."""
        plan = TimedPlan(2 * STOPS_AT)
        self.assertIs(plan, limit_by_stop(plan, self.board))
        self.assertFalse(is_too_late(self.board, 2 * STOPS_AT, 0))

    def test_work_ends_with_the_stop(self):
        """An earlier deadline stays."""
        self.board.drains_until.put(STOPS_AT)
        last = STOPS_AT - DELIVERY_S
        for deadline, limited in ((2 * STOPS_AT, last), (1, 1)):
            plan = limit_by_stop(TimedPlan(deadline), self.board)
            self.assertEqual(limited, plan.deadline)

    def test_request_that_outlasts_the_stop_is_too_late(self):
        """One that may be answered in time is not."""
        self.board.drains_until.put(STOPS_AT)
        self.assertTrue(is_too_late(self.board, 2, STOPS_AT - 1))
        self.assertFalse(is_too_late(self.board, 2, STOPS_AT - 3))
