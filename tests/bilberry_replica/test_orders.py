"""Orders of events after which the fleet bears as much as before them.

More of them: `python -m tests.bilberry_replica.orders SEED COUNT`.
"""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_replica.orders import Order

SEEDS = st.integers(0, 1 << 32)
ORDERS = settings(max_examples=100)


class OrderTest(TestCase):
    """Replicas are harmed one after another, within their tolerance.

    The orders are divided among several tests, which run beside each other.
    """

    @ORDERS
    @given(SEEDS)
    def test_order_leaves_fewer_voters_than_replicas(self, seed):
        """Two disks that are lost at once then end the fleet."""
        Order(4 * seed).play()

    @ORDERS
    @given(SEEDS)
    def test_order_of_second_part_leaves_fewer_voters(self, seed):
        """The same with other seeds."""
        Order(4 * seed + 1).play()

    @ORDERS
    @given(SEEDS)
    def test_order_of_third_part_leaves_fewer_voters(self, seed):
        """The same with other seeds."""
        Order(4 * seed + 2).play()

    @ORDERS
    @given(SEEDS)
    def test_order_of_fourth_part_leaves_fewer_voters(self, seed):
        """The same with other seeds."""
        Order(4 * seed + 3).play()
