"""The errors of the replicas."""

from bilberry_core.error import BilberryError


class ConsensusError(BilberryError):
    """A replica met what consensus rules out; it must stop."""
