"""Whether the claims were handed over to the holders of an epoch.

The replicated log may clear `ClaimEpoch.previous` once a majority of the
holders has durably taken the claims over.
"""

from bilberry_core.board import ClaimEpoch
from bilberry_core.messages.claim import HolderProbe, HolderStatus

from bilberry_claims.catch_up import OutgoingMessage
from bilberry_claims.quorum import get_epoch_number, is_quorum, list_instances


class Handover:
    """What one replica has heard of the holders of one epoch."""

    def __init__(self, instance: str, epoch: ClaimEpoch) -> None:
        """Starts with nothing heard."""
        self._instance = instance
        self._epoch = epoch
        self._epoch_number = get_epoch_number(epoch)
        self._ready: set[str] = set()

    @property
    def is_complete(self) -> bool:
        """Whether a majority of the holders has taken the claims over."""
        return is_quorum(self._epoch.holders, self._ready)

    def poll(self) -> tuple[OutgoingMessage, ...]:
        """Asks the holders that are not known to be ready."""
        if not self._epoch.previous or self.is_complete:
            return ()
        probe = HolderProbe(0, self._epoch_number, self._instance)
        return tuple(
            OutgoingMessage(name, probe)
            for name in list_instances(self._epoch.holders)
            if name not in self._ready and name != self._instance
        )

    def receive(self, instance: str, status: HolderStatus) -> None:
        """Takes a holder's status."""
        if status.epoch == self._epoch_number and status.is_caught_up:
            self._ready.add(instance)

    def record_own(self) -> None:
        """Notes that this replica has durably taken the claims over."""
        self._ready.add(self._instance)
