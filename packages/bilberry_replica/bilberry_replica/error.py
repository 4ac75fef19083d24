"""Errors that replicas raise."""

from bilberry_core.error import BilberryError


class ConsensusError(BilberryError):
    """A violation of a consensus invariant; the replica must stop."""
