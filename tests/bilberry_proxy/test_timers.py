"""Timers: each fires once, late by at most a tick, never early."""

from bilberry_proxy.timers import TICK_S, TimerWheel
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

times = st.floats(0, 3)


class TimerWheelTest(TestCase):
    """The wheel against a sorted list of deadlines."""

    @given(st.lists(times, max_size=20), st.lists(times, max_size=20))
    def test_fires_what_a_sorted_list_would(self, deadlines, advances):
        """What has fired is what was due, give or take one tick."""
        wheel = TimerWheel(0)
        fired = []
        for at, when in enumerate(deadlines):
            wheel.schedule(when, lambda of=at: fired.append(of))
        for now in sorted(advances):
            wheel.advance(now)
            for at, when in enumerate(deadlines):
                if when > now:
                    self.assertNotIn(at, fired)
                if when <= now - 2 * TICK_S:
                    self.assertEqual(1, fired.count(at))

    def test_cancelled_timer_does_not_fire(self):
        """A deadline that was cancelled is silent."""
        wheel = TimerWheel(0)
        fired = []
        wheel.schedule(1, lambda: fired.append(1)).cancel()
        wheel.advance(9)
        self.assertEqual([], fired)

    def test_timer_may_set_another(self):
        """A deadline set while one fires is kept."""
        wheel = TimerWheel(0)
        fired = []
        wheel.schedule(1, lambda: wheel.schedule(1, lambda: fired.append(1)))
        wheel.advance(2)
        wheel.advance(3)
        self.assertEqual([1], fired)

    def test_long_pause_is_cheap_and_loses_nothing(self):
        """After a freeze every deadline that passed fires at once."""
        wheel = TimerWheel(0)
        fired = []
        for when in (1, 5000, 90_000):
            wheel.schedule(when, lambda of=when: fired.append(of))
        wheel.advance(100_000)
        self.assertEqual([1, 5000, 90_000], fired)
