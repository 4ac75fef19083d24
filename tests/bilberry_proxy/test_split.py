"""Tests the weighted split of requests over the services of a route."""

from collections import Counter

from bilberry_core.configuration import RoutingRule, Target
from bilberry_proxy.split import WeightedSplit
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

WEIGHTS = st.lists(st.integers(0, 20), min_size=1, max_size=4).filter(any)


class WeightedSplitTest(TestCase):
    """The shares of services by weight."""

    @given(WEIGHTS)
    def test_every_round_has_the_exact_shares(self, weights):
        """Over as many requests as the sum of weights, the split is exact."""
        targets = tuple(
            Target(str(index), weight) for index, weight in enumerate(weights)
        )
        split = WeightedSplit()
        rule = RoutingRule('r', 'a', '/', targets)
        picked = Counter(split.pick(rule) for _ in range(sum(weights)))
        if len(weights) > 1:
            expected = {
                service: weight for service, weight in targets if weight
            }
            self.assertEqual(expected, dict(picked))

    def test_changed_weights_apply_at_once(self):
        """The state of the earlier weights is discarded."""
        split = WeightedSplit()
        one, other = Target('a', 1), Target('b', 0)
        rule = RoutingRule('r', 'a', '/', (one, other))
        self.assertEqual('a', split.pick(rule))
        moved = rule._replace(targets=(Target('a', 0), Target('b', 1)))
        self.assertEqual({'b'}, {split.pick(moved) for _ in range(5)})
