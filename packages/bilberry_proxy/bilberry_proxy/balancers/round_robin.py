"""Picks each endpoint in turn."""

from collections.abc import Sequence
from typing import ClassVar

from bilberry_core.clock import RandomSource

from bilberry_proxy.balancers.base import WorkEstimate
from bilberry_proxy.endpoint_load import Candidate


class RoundRobinBalancer:
    """A round-robin balancer that ignores load. New in version 0.1."""

    name: ClassVar[str] = 'round_robin'

    def __init__(self) -> None:
        self._position = -1

    def pick(
        self,
        candidates: Sequence[Candidate],
        _estimate: WorkEstimate,
        _random: RandomSource,
    ) -> Candidate:
        """Returns the next endpoint."""
        self._position = (self._position + 1) % len(candidates)
        return candidates[self._position]
