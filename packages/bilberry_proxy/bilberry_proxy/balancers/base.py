"""Defines the interface of balancers and of their work estimate."""

from collections.abc import Sequence
from typing import ClassVar, Protocol

from bilberry_core.clock import RandomSource

from bilberry_proxy.endpoint_load import Candidate


class WorkEstimate(Protocol):
    """An estimate of the time that one more call to an endpoint takes."""

    def __call__(self, candidate: Candidate) -> float:
        """Returns the expected time of a call, in microseconds."""


class Balancer(Protocol):
    """A strategy that picks one of several eligible endpoints."""

    name: ClassVar[str]

    def pick(
        self,
        candidates: Sequence[Candidate],
        estimate: WorkEstimate,
        random: RandomSource,
    ) -> Candidate:
        """Returns one of `candidates`, which is never empty."""
