"""The interface of balancers, and what they weigh."""

from collections.abc import Sequence
from typing import ClassVar, Protocol

from bilberry_core.clock import RandomSource
from bilberry_core.endpoint import Endpoint


class WorkEstimate(Protocol):
    """Tells how much work one more call would wait for."""

    def __call__(self, endpoint: Endpoint) -> float:
        """Returns the expected time of a call, in microseconds."""


class Balancer(Protocol):
    """Picks one of several endpoints."""

    name: ClassVar[str]

    def pick(
        self,
        endpoints: Sequence[Endpoint],
        estimate: WorkEstimate,
        random: RandomSource,
    ) -> Endpoint:
        """Returns one of `endpoints`, which are never empty."""
