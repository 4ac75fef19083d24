"""Picks a random endpoint."""

from collections.abc import Sequence
from typing import ClassVar

from bilberry_core.clock import RandomSource

from bilberry_proxy.balancers.base import WorkEstimate
from bilberry_proxy.endpoint_load import Candidate


class RandomBalancer:
    """A balancer with a uniform random choice. New in version 0.1."""

    name: ClassVar[str] = 'random'

    def pick(
        self,
        candidates: Sequence[Candidate],
        _estimate: WorkEstimate,
        random: RandomSource,
    ) -> Candidate:
        """Returns a random endpoint."""
        return candidates[int(random.random() * len(candidates))]
