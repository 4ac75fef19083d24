"""Tests of the token bucket that limits what an upstream gets."""

from bilberry_core.upstream_notice import UpstreamIdentity, UpstreamNotice
from bilberry_proxy.rate_limiter import (
    MAX_BACKLOG_S,
    MIN_RATE,
    RateLimiter,
    compute_burst,
)
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

WINDOW_S = 4
#: The stated rule: the most that an upstream may get in a window.
FACTOR = 1.5
SLACK = 5

limits = st.floats(0, 100)
#: Pauses between steps in seconds, and calls offered at each.
loads = st.lists(
    st.tuples(st.floats(0, 1), st.integers(0, 40)),
    max_size=40,
)


def name_limit(limiter: RateLimiter, limit: float | None) -> None:
    """Lets the upstream name a limit."""
    limiter.follow(UpstreamNotice(UpstreamIdentity('i-1'), limit))


def offer(limiter: RateLimiter, now: float, calls: int) -> int:
    """Returns how many of the calls may be sent at `now`."""
    limiter.advance(now)
    sent = 0
    while sent < calls and limiter.has_token:
        limiter.take()
        sent += 1
    return sent


class RateLimiterTest(TestCase):
    """No window gets more than the rule allows."""

    @given(limits, loads, st.sets(st.integers(0, 39)))
    def test_no_window_gets_more_than_allowed(self, limit, load, restarts):
        """Whatever is offered, and whenever the daemon is restarted."""
        limiter = RateLimiter()
        name_limit(limiter, limit)
        now = 100.0
        sent = []
        for index, (pause_s, calls) in enumerate(load):
            now += pause_s
            if index in restarts:
                limiter = RateLimiter()
                limiter.advance(now)
                name_limit(limiter, limit)
            sent.extend(now for _ in range(offer(limiter, now, calls)))
        most = max(
            (
                sum(1 for other in sent if start <= other < start + WINDOW_S)
                for start in sent
            ),
            default=0,
        )
        self.assertLessEqual(most, FACTOR * limit * WINDOW_S + SLACK)

    def test_first_bucket_starts_empty(self):
        """The last seconds count as used."""
        limiter = RateLimiter()
        limiter.advance(100)
        name_limit(limiter, 10)
        self.assertEqual(0, offer(limiter, 100, 9))
        self.assertEqual(1, offer(limiter, 100.11, 9))

    def test_first_time_adds_no_tokens(self):
        """A limit may be adopted before the bucket has seen the time."""
        limiter = RateLimiter()
        name_limit(limiter, 10)
        self.assertEqual(0, offer(limiter, 100, 9))

    def test_steady_load_gets_the_limit(self):
        """Nearly all that the upstream accepts is used."""
        limiter = RateLimiter()
        limiter.advance(100)
        name_limit(limiter, 14.1)
        sent = sum(
            offer(limiter, 100 + step / 50, 2) for step in range(50 * 10)
        )
        self.assertTrue(138 <= sent <= 141, sent)

    def test_tokens_are_kept_when_the_limit_changes(self):
        """They are cut to the burst of a lower limit, not filled up."""
        limiter = RateLimiter()
        limiter.advance(100)
        name_limit(limiter, 100)
        limiter.advance(101)
        name_limit(limiter, 10)
        self.assertEqual(compute_burst(10), limiter.pace.tokens)
        name_limit(limiter, 50)
        self.assertEqual(compute_burst(10), limiter.pace.tokens)

    def test_withdrawn_limit_opens_the_gate(self):
        """Without a limit every call may be sent."""
        limiter = RateLimiter()
        name_limit(limiter, 0)
        self.assertFalse(limiter.has_token)
        name_limit(limiter, None)
        self.assertEqual(99, offer(limiter, 100, 99))

    def test_limit_of_zero_is_a_small_rate(self):
        """One request in four seconds can show that the limit has ended."""
        limiter = RateLimiter()
        limiter.advance(100)
        name_limit(limiter, 0)
        self.assertEqual(0, offer(limiter, 100 + 0.9 / MIN_RATE, 9))
        self.assertEqual(1, offer(limiter, 100 + 1 / MIN_RATE, 9))

    def test_refused_callers_return_one_after_the_other(self):
        """Each refusal moves the next one back by a token's time."""
        limiter = RateLimiter()
        limiter.advance(100)
        name_limit(limiter, 10)
        suggested = []
        for _ in range(3):
            suggested.append(round(limiter.pace.suggest_return_s(0), 3))
            limiter.defer()
        self.assertEqual([0.1, 0.2, 0.3], suggested)
        limiter.advance(100.2)
        self.assertEqual(1, round(limiter.pace.backlog, 6))
        for _ in range(999):
            limiter.defer()
        self.assertEqual(10 * MAX_BACKLOG_S, limiter.pace.backlog)
