"""Tests the detection of endpoints that stop responding."""

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
