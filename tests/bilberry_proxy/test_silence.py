"""Attempts at endpoints that answer nothing, or nothing to this proxy."""

from bilberry_proxy.silence import PROBE_S, SILENT_S, SilenceWatch
from bilberry_proxy.timers import TICK_S, TimerWheel
from testtools import TestCase


class FakeAttempt:
    """An attempt whose endpoint was heard of at some time."""

    def __init__(self) -> None:
        """Starts without having heard anything."""
        self.ended = False
        self.answer_started = False
        self.last_seen_at: float = -1
        self.probes = 0

    def is_endpoint_alive(self, since: float) -> bool:
        """Tells whether it was heard of since then."""
        return self.last_seen_at > since

    def probe(self, _silence_s: float) -> None:
        """Counts the question."""
        self.probes += 1


class SilenceWatchTest(TestCase):
    """A request with two seconds, watched step by step."""

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
        """Lets time pass."""
        self.now += seconds + 2 * TICK_S
        self.timers.advance(self.now)

    def test_silent_endpoint_is_asked_and_then_left(self):
        """Half of the time is left for another one."""
        self.advance(1)
        self.assertEqual((1, []), (self.attempt.probes, self.abandoned))
        self.advance(PROBE_S)
        self.assertEqual([self.attempt], self.abandoned)

    def test_endpoint_that_answers_others_is_not_left(self):
        """A request in the queue of a busy upstream keeps its place."""
        self.advance(1)
        self.attempt.last_seen_at = self.now
        self.advance(PROBE_S)
        self.assertEqual([], self.abandoned)

    def test_endpoint_that_answers_this_proxy_is_not_even_asked(self):
        """It was heard of within the time that counts as silence."""
        self.attempt.last_seen_at = 1 - SILENT_S / 2
        self.advance(1)
        self.assertEqual((0, []), (self.attempt.probes, self.abandoned))

    def test_attempt_that_has_ended_is_not_left(self):
        """Also where the watch was not stopped."""
        self.attempt.ended = True
        self.advance(1)
        self.advance(PROBE_S)
        self.assertEqual([], self.abandoned)
