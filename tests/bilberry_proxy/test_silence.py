"""Tests the detection of endpoints that stop responding."""

from bilberry_core.clock import MS_PER_S
from bilberry_proxy.silence import PROBE_S, SILENT_S, SilenceWatch
from bilberry_proxy.timers import TICK_S, TimerWheel
from testtools import TestCase


class FakeAttempt:
    """An attempt whose endpoint last responded at a given time."""

    def __init__(self) -> None:
        """Starts without a response."""
        self.ended = False
        self.answer_started = False
        self.last_seen_at: float = -1
        self.probes = 0

    def is_endpoint_alive(self, since: float) -> bool:
        """Returns whether the endpoint responded since `since`."""
        return self.last_seen_at > since

    def probe(self, _silence_s: float) -> None:
        """Counts the probes."""
        self.probes += 1


class LateAttempt(FakeAttempt):
    """An attempt whose call reaches a silent upstream late.

    The daemon beside the upstream answers each probe at once.
    """

    def __init__(self, get_now, dispatched_at: float) -> None:
        """Dispatches the call at a given time."""
        super().__init__()
        self._get_now = get_now
        self._dispatched_at = dispatched_at
        self._is_alive = False

    def is_endpoint_alive(self, _since: float) -> bool:
        """Returns the answer to the newest probe."""
        return self._is_alive

    def probe(self, silence_s: float) -> None:
        """Answers as the daemon does: a new call may take that long."""
        super().probe(silence_s)
        self._is_alive = self._dispatched_at > self._get_now() - silence_s


class SilenceWatchTest(TestCase):
    """A watch over a request with a timeout of two seconds."""

    def setUp(self):
        """Starts a watch at time 0."""
        super().setUp()
        self.now: float = 0
        self.abandoned = []
        self.attempt = FakeAttempt()
        self.timers = TimerWheel(0)
        self.watch = SilenceWatch(
            self.attempt,
            self.timers,
            lambda: self.now,
            self.abandoned.append,
        )
        self.watch.start(2, 2)

    def advance(self, seconds: float) -> None:
        """Advances the time and the timers."""
        self.now += seconds + 2 * TICK_S
        self.timers.advance(self.now)

    def test_silent_endpoint_is_probed_and_then_abandoned(self):
        """Half of the time is left for another endpoint."""
        self.advance(1)
        self.assertEqual((1, []), (self.attempt.probes, self.abandoned))
        self.advance(PROBE_S)
        self.assertEqual([self.attempt], self.abandoned)

    def test_endpoint_that_answers_others_is_not_abandoned(self):
        """A request in the queue of a busy upstream keeps its position."""
        self.advance(1)
        self.attempt.last_seen_at = self.now
        self.advance(PROBE_S)
        self.assertEqual([], self.abandoned)

    def test_endpoint_that_answers_this_proxy_is_not_probed(self):
        """The endpoint has responded within the silence timeout."""
        self.attempt.last_seen_at = 1 - SILENT_S / 2
        self.advance(1)
        self.assertEqual((0, []), (self.attempt.probes, self.abandoned))

    def test_upstream_with_long_calls_is_not_taken_for_silent(self):
        """It may be silent for as long as a few of its usual calls take."""
        self.watch.stop()
        self.watch.start(2, 2, service_s=0.3)
        self.attempt.last_seen_at = 1 - 2 * SILENT_S
        self.advance(1)
        self.advance(PROBE_S)
        self.assertEqual((0, []), (self.attempt.probes, self.abandoned))

    def test_upstream_with_long_calls_is_left_while_there_is_time(self):
        """Half of the time of a request is left at any service time."""
        self.watch.stop()
        self.watch.start(2, 2, service_s=5)
        self.advance(1)
        self.advance(PROBE_S)
        self.assertEqual([self.attempt], self.abandoned)

    def test_ended_attempt_is_not_abandoned(self):
        """This holds even if the watch was not stopped."""
        self.attempt.ended = True
        self.advance(1)
        self.advance(PROBE_S)
        self.assertEqual([], self.abandoned)

    def test_call_that_reached_a_silent_upstream_late_is_not_kept_alone(self):
        """Of 400 ms, 60 are left for another endpoint, as without delay."""
        for delay_ms in range(0, 50, 5):
            self.watch.stop()
            self.now = 0
            self.timers = TimerWheel(0)
            attempt = LateAttempt(lambda: self.now, delay_ms / MS_PER_S)
            abandoned = self.watch_from_zero(attempt, 0.4)
            self.play_until(0.34)
            self.assertEqual([attempt], abandoned)

    def test_upstream_that_falls_silent_after_a_probe_is_left(self):
        """It responded to others at first, so it is probed again."""
        self.advance(1)
        self.attempt.last_seen_at = self.now
        self.advance(PROBE_S)
        self.assertEqual([], self.abandoned)
        self.play_until(2)
        self.assertEqual([self.attempt], self.abandoned)

    def test_busy_upstream_is_probed_a_bounded_number_of_times(self):
        """Each time half of what was left is over."""
        self.watch.stop()
        attempt = FakeAttempt()
        abandoned = self.watch_from_zero(attempt, 60)
        while self.now < 60:
            if self.now > 29:
                attempt.last_seen_at = self.now if attempt.probes else -1
            self.play_until(self.now + TICK_S)
        self.assertEqual([], abandoned)
        self.assertLessEqual(attempt.probes, 20)

    def watch_from_zero(self, attempt, total_s: float) -> list:
        """Starts a watch; returns the list for what it gives up."""
        abandoned: list = []
        watch = SilenceWatch(
            attempt, self.timers, lambda: self.now, abandoned.append
        )
        watch.start(total_s, total_s)
        return abandoned

    def play_until(self, until: float) -> None:
        """Advances the time tick by tick."""
        while self.now < until:
            self.now += TICK_S
            self.timers.advance(self.now)
