"""The balancer that picks any endpoint."""

from collections.abc import Sequence
from typing import ClassVar

from bilberry_core.clock import RandomSource
from bilberry_core.endpoint import Endpoint

from bilberry_proxy.balancers.base import WorkEstimate


class RandomBalancer:
    """Any endpoint, each as likely as the others. New in version 0.1."""

    name: ClassVar[str] = 'random'

    def pick(
        self,
        endpoints: Sequence[Endpoint],
        _estimate: WorkEstimate,
        random: RandomSource,
    ) -> Endpoint:
        """Returns a random endpoint."""
        return endpoints[int(random.random() * len(endpoints))]
