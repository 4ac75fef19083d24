"""Tests what share of the long responses arrives over a slow link."""

from bilberry_proxy.bulk_window import MAX_QUEUE_DELAY_S
from testtools import TestCase

from tests.bilberry_proxy.played_link import LinkPlan, play

#: Least share of the responses that could be delivered.
GOODPUT = 0.9
#: Mean time until a busy daemon handles what it received, in seconds.
BUSY_S = 0.02
#: Time in which a backlog shows what it does, in seconds.
LONG_S = 60
#: A fast link to a far region that is nearly idle.
FAR = LinkPlan(bytes_per_s=12_500_000, load=0.1, way_s=0.03)


class LinkGoodputTest(TestCase):
    """Responses that are ready and wait for the link."""

    def test_long_responses_become_late_together(self):
        """Also with more of them than the link carries."""
        for load in (1, 1.5, 2, 3):
            played = play(LinkPlan(load=load, seconds=LONG_S))
            self.assertGreater(
                played.delivered, GOODPUT * played.fitting, f'load {load}'
            )

    def test_link_stands_idle_while_receivers_are_busy(self):
        """A wait for their processors is no queue on the link."""
        for load in (0.8, 1.5):
            played = play(LinkPlan(load=load, lag_s=BUSY_S))
            self.assertGreater(
                played.delivered, GOODPUT * played.fitting, f'load {load}'
            )

    def test_small_message_waits_little_on_a_full_link(self):
        """About as long as for a busy daemon, if that is longer."""
        for lag_s in (0, BUSY_S):
            played = play(LinkPlan(load=1.5, lag_s=lag_s))
            waits = sorted(played.waits)
            self.assertLess(
                waits[len(waits) // 2],
                2 * max(MAX_QUEUE_DELAY_S, lag_s),
                f'lag {lag_s}',
            )

    def test_far_link_that_is_nearly_idle_seems_slow(self):
        """Calls would be refused whose responses it carries."""
        played = play(FAR)
        slow = [rate for rate in played.rates if rate < FAR.bytes_per_s / 2]
        self.assertEqual([], slow)
        self.assertGreater(played.delivered, GOODPUT * played.ready)

    def test_busy_receivers_far_away_keep_the_window_small(self):
        """The first that is busy ends its doubling after a start."""
        played = play(FAR._replace(lag_s=0.05, seconds=8))
        self.assertGreater(played.delivered, GOODPUT * played.ready)
