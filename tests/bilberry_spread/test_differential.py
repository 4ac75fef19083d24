"""The whole of spreading against the naive version, under faults."""

from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_spread.schedules import STEPS, Schedule

FEW = settings(max_examples=40, phases=(Phase.explicit, Phase.generate))


class DifferentialTest(TestCase):
    """Random schedules end where the naive version ends."""

    @given(st.integers(0, 1 << 30), STEPS)
    @FEW
    def test_with_relays(self, seed, steps):
        """Same final state, and no promise broken at any step."""
        Schedule(seed).run(steps)

    @given(st.integers(0, 1 << 30), STEPS)
    @FEW
    def test_with_replicas_as_relays(self, seed, steps):
        """The same where the replicas are the relays."""
        Schedule(seed, relays=0).run(steps)
