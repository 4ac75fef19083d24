"""Differential tests against the naive implementation, under faults."""

from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_spread.schedules import STEPS, Schedule

FEW = settings(max_examples=40, phases=(Phase.explicit, Phase.generate))


class DifferentialTest(TestCase):
    """Random schedules must end in the state of the naive implementation."""

    @given(st.integers(0, 1 << 30), STEPS)
    @FEW
    def test_with_relays(self, seed, steps):
        """The final state is the same and every step keeps the invariants."""
        Schedule(seed).run(steps)

    @given(st.integers(0, 1 << 30), STEPS)
    @FEW
    def test_with_replicas_as_relays(self, seed, steps):
        """The same holds if the replicas are the relays."""
        Schedule(seed, relays=0).run(steps)
