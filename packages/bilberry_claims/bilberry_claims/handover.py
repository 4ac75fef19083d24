"""Tracks the handover of claims to the holders of an epoch.

The replicated log may clear `ClaimEpoch.previous` once a majority of the
holders has durably copied the claims.
"""

from bilberry_core.board import ClaimEpoch
from bilberry_core.messages.claim import HolderProbe, HolderStatus

from bilberry_claims.catch_up import OutgoingMessage
from bilberry_claims.quorum import get_epoch_number, is_quorum, list_instances


class Handover:
    """The holders of one epoch that are known to be caught up."""

    def __init__(self, instance: str, epoch: ClaimEpoch) -> None:
        """Tracks one epoch on the replica `instance`."""
        self._instance = instance
        self._epoch = epoch
        self._epoch_number = get_epoch_number(epoch)
        self._ready: set[str] = set()

    @property
    def is_complete(self) -> bool:
        """Whether a majority of the holders has copied the claims."""
        return is_quorum(self._epoch.holders, self._ready)

    def poll(self) -> tuple[OutgoingMessage, ...]:
        """Returns probes of the holders that are not known to be ready."""
        if not self._epoch.previous or self.is_complete:
            return ()
        probe = HolderProbe(0, self._epoch_number, self._instance)
        return tuple(
            OutgoingMessage(name, probe)
            for name in list_instances(self._epoch.holders)
            if name not in self._ready and name != self._instance
        )

    def receive(self, instance: str, status: HolderStatus) -> None:
        """Records another holder as ready if it is caught up."""
        if status.epoch == self._epoch_number and status.is_caught_up:
            self._ready.add(instance)

    def record_own(self) -> None:
        """Records that this replica has durably copied the claims."""
        self._ready.add(self._instance)
