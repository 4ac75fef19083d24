"""The balancer that compares the expected work of two random endpoints."""

from collections.abc import Sequence
from typing import ClassVar

from bilberry_core.clock import RandomSource
from bilberry_core.endpoint import Endpoint

from bilberry_proxy.balancers.base import WorkEstimate


class LeastWorkBalancer:
    """The better of two random endpoints. New in version 0.1.

    The estimate covers outstanding calls and their expected latency. Two
    choices avoid the herd that follows one best endpoint.
    """

    name: ClassVar[str] = 'least_work'

    def pick(
        self,
        endpoints: Sequence[Endpoint],
        estimate: WorkEstimate,
        random: RandomSource,
    ) -> Endpoint:
        """Returns the one of two that expects less work."""
        count = len(endpoints)
        if count == 1:
            return endpoints[0]
        first = int(random.random() * count)
        second = int(random.random() * (count - 1))
        if second >= first:
            second += 1
        one, other = endpoints[first], endpoints[second]
        return one if estimate(one) <= estimate(other) else other
