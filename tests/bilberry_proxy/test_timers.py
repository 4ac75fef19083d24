"""Tests of the timer wheel: each timer fires once and never early."""

from bilberry_proxy.timers import TICK_S, TimerWheel
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

times = st.floats(0, 3)


class TimerWheelTest(TestCase):
    """The timer wheel, compared with a list of deadlines."""

    @given(st.lists(times, max_size=20), st.lists(times, max_size=20))
    def test_fires_exactly_the_timers_that_are_due(self, deadlines, advances):
        """No timer fires early; one overdue by two ticks has fired once."""
        wheel = TimerWheel(0)
        fired = []
        for index, when in enumerate(deadlines):
            wheel.schedule(
                when, lambda timer_index=index: fired.append(timer_index)
            )
        for now in sorted(advances):
            wheel.advance(now)
            for index, when in enumerate(deadlines):
                if when > now:
                    self.assertNotIn(index, fired)
                if when <= now - 2 * TICK_S:
                    self.assertEqual(1, fired.count(index))

    def test_cancelled_timer_does_not_fire(self):
        """A cancelled timer is not called."""
        wheel = TimerWheel(0)
        fired = []
        wheel.schedule(1, lambda: fired.append(1)).cancel()
        wheel.advance(9)
        self.assertEqual([], fired)

    def test_callback_may_schedule_another_timer(self):
        """A timer that is scheduled by a firing timer fires later."""
        wheel = TimerWheel(0)
        fired = []
        wheel.schedule(1, lambda: wheel.schedule(1, lambda: fired.append(1)))
        wheel.advance(2)
        wheel.advance(3)
        self.assertEqual([1], fired)

    def test_long_pause_loses_no_timer(self):
        """After a long pause every timer that is due fires at once."""
        wheel = TimerWheel(0)
        fired = []
        for when in (1, 5000, 90_000):
            wheel.schedule(when, lambda deadline=when: fired.append(deadline))
        wheel.advance(100_000)
        self.assertEqual([1, 5000, 90_000], fired)
