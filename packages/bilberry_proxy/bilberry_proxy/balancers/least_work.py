"""Picks the one of two random endpoints with less expected work."""

from collections.abc import Sequence
from typing import ClassVar

from bilberry_core.clock import RandomSource

from bilberry_proxy.balancers.base import WorkEstimate
from bilberry_proxy.endpoint_load import Candidate


class LeastWorkBalancer:
    """A balancer by the power of two random choices. New in version 0.1.

    The estimate includes outstanding calls and their expected latency. Two
    random choices avoid that all proxies send to the same best endpoint.
    """

    name: ClassVar[str] = 'least_work'

    def pick(
        self,
        candidates: Sequence[Candidate],
        estimate: WorkEstimate,
        random: RandomSource,
    ) -> Candidate:
        """Returns the one of two random endpoints with less expected work."""
        count = len(candidates)
        if count == 1:
            return candidates[0]
        first = int(random.random() * count)
        second = int(random.random() * (count - 1))
        if second >= first:
            second += 1
        one, other = candidates[first], candidates[second]
        return one if estimate(one) <= estimate(other) else other
