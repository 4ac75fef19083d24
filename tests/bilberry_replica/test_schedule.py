"""Schedules of faults: acceptance stays linearizable, nothing is lost.

The seeds are fixed by the `ci` profile; `make soak` runs more.
"""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_replica.events import run_schedule

SEEDS = st.integers(0, 1 << 32)
STEPS = st.integers(100, 400)
DOMAINS = st.sampled_from(('a', 'aab', 'abc', 'aabbc', 'abcde'))
EXAMPLES = settings(max_examples=300)


class ScheduleTest(TestCase):
    """Replicas and the naive register decide alike, whatever happens."""

    @EXAMPLES
    @given(SEEDS, DOMAINS, STEPS)
    def test_mixed_faults(self, seed, domains, steps):
        """Messages, links, crashes, disks and clocks fail in turn."""
        run_schedule(seed, domains, steps)

    @EXAMPLES
    @given(SEEDS, DOMAINS, STEPS)
    def test_many_elections(self, seed, domains, steps):
        """Leaders seldom stay for long."""
        run_schedule(seed, domains, steps, 'elections')

    @EXAMPLES
    @given(SEEDS, DOMAINS, STEPS)
    def test_many_membership_steps(self, seed, domains, steps):
        """Replicas lose their disks, are removed and taken in again."""
        run_schedule(seed, domains, steps, 'membership')
