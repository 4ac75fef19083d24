"""Tests of how long a caller has waited before a request."""

from asyncio import run
from random import Random

from bilberry_proxy.usual_deadlines import BATCH_SIZE, UsualDeadlines
from testtools import TestCase

from tests.bilberry_proxy.fleet import SERVICE, call, open_fleet

ROUTE = ('callouts', 'read')
USUAL_MS = 1000


class UsualDeadlinesTest(TestCase):
    """Tests of the deadlines of one route."""

    def setUp(self):
        """Starts without observations."""
        super().setUp()
        self.deadlines = UsualDeadlines()
        self.random = Random(1)

    def record(self, count: int, low_ms: int, high_ms: int) -> None:
        """Records requests with deadlines between two limits."""
        for _ in range(count):
            deadline_ms = self.random.randint(low_ms, high_ms)
            self.deadlines.record(ROUTE, deadline_ms)

    def estimate_s(self, deadline_ms: int) -> float:
        """Returns how long a caller with this deadline has waited."""
        return self.deadlines.estimate_elapsed_s(ROUTE, deadline_ms)

    def test_nothing_is_known_at_first(self):
        """Any deadline may be that of a first request."""
        self.record(BATCH_SIZE - 1, USUAL_MS, USUAL_MS)
        self.assertEqual(0, self.estimate_s(100))

    def test_returning_caller_has_less_time_than_usual(self):
        """What its deadline lacks is what it has waited."""
        self.record(BATCH_SIZE, 950, 1050)
        self.assertEqual(0, self.estimate_s(USUAL_MS))
        self.assertAlmostEqual(0.4, self.estimate_s(600), delta=0.05)

    def test_deadlines_stay_known_while_most_callers_return(self):
        """Under overload fewer requests are first ones."""
        self.record(BATCH_SIZE, 950, 1050)
        for _ in range(5):
            self.record(BATCH_SIZE // 4, 950, 1050)
            self.record(BATCH_SIZE - BATCH_SIZE // 4, 300, 700)
        self.assertAlmostEqual(0.4, self.estimate_s(600), delta=0.05)

    def test_few_callers_with_long_deadlines_do_not_count(self):
        """The wait of others is still known."""
        for _ in range(2):
            self.record(BATCH_SIZE - 2, 950, 1050)
            self.record(2, 500_000, 600_000)
        self.assertEqual(0, self.estimate_s(USUAL_MS))
        self.assertAlmostEqual(0.4, self.estimate_s(600), delta=0.05)

    def test_callers_with_many_deadlines_are_not_taken_for_returning(self):
        """No deadline is usual if they differ widely."""
        self.record(10 * BATCH_SIZE, 200, 2000)
        self.assertEqual(0, self.estimate_s(300))

    def test_route_without_a_target_is_not_observed(self):
        """Its requests are never late."""

        async def script() -> float:
            async with open_fleet({'slots': 4}) as fleet:
                node = fleet.nodes[0]
                for _ in range(BATCH_SIZE):
                    await call(node, bilberry_deadline_ms='1000')
                router = node.proxy._context.router
                return router.usual_deadlines.estimate_elapsed_s(
                    (SERVICE, ''), 500
                )

        self.assertEqual(0, run(script()))

    def test_shorter_deadlines_become_usual(self):
        """Once callers begin with less time, that is no wait."""
        self.record(BATCH_SIZE, 950, 1050)
        self.record(BATCH_SIZE, 450, 550)
        self.assertEqual(0, self.estimate_s(500))
