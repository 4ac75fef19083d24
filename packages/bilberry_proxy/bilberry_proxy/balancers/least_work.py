"""The balancer that compares the expected work of two random endpoints."""

from collections.abc import Sequence
from typing import ClassVar

from bilberry_core.clock import RandomSource

from bilberry_proxy.balancers.base import WorkEstimate
from bilberry_proxy.endpoint_load import Candidate


class LeastWorkBalancer:
    """The better of two random endpoints. New in version 0.1.

    The estimate covers outstanding calls and their expected latency. Two
    choices avoid the herd that follows one best endpoint.
    """

    name: ClassVar[str] = 'least_work'

    def pick(
        self,
        candidates: Sequence[Candidate],
        estimate: WorkEstimate,
        random: RandomSource,
    ) -> Candidate:
        """Returns the one of two that expects less work."""
        count = len(candidates)
        if count == 1:
            return candidates[0]
        first = int(random.random() * count)
        second = int(random.random() * (count - 1))
        if second >= first:
            second += 1
        one, other = candidates[first], candidates[second]
        return one if estimate(one) <= estimate(other) else other
