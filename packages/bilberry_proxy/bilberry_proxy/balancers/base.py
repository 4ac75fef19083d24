"""The interface of balancers, and what they weigh."""

from collections.abc import Sequence
from typing import ClassVar, Protocol

from bilberry_core.clock import RandomSource

from bilberry_proxy.endpoint_load import Candidate


class WorkEstimate(Protocol):
    """Tells how much work one more call would wait for."""

    def __call__(self, candidate: Candidate) -> float:
        """Returns the expected time of a call, in microseconds."""


class Balancer(Protocol):
    """Picks one of several endpoints."""

    name: ClassVar[str]

    def pick(
        self,
        candidates: Sequence[Candidate],
        estimate: WorkEstimate,
        random: RandomSource,
    ) -> Candidate:
        """Returns one of `candidates`, which are never empty."""
