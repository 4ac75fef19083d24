"""Holds the state that a relay sends to its receivers.

Messages that are the same for every receiver are encoded only once.
"""

from typing import NamedTuple

from bilberry_core.board import Beacon, ClaimEpoch, Suspect
from bilberry_core.configuration import AcceptedVersion
from bilberry_core.messages.registry import encode_message
from bilberry_core.messages.spread import (
    BeaconUpdate,
    EpochUpdate,
    RolloutUpdate,
)
from bilberry_core.rollout import RolloutTable

from bilberry_spread.history import VersionHistory
from bilberry_spread.suspects import SuspectKey
from bilberry_spread.updates import EndpointUpdates

#: The values that are sent to every receiver.
BroadcastUpdate = AcceptedVersion | Beacon | ClaimEpoch | RolloutTable


class Content(NamedTuple):
    """The newest state that a relay distributes.

    `beacon`, `epoch` and `rollouts` are encoded messages, empty if there is
    none.
    `is_complete` says whether the relay has been up long enough for its set
    of endpoints to be complete.
    """

    history: VersionHistory
    updates: EndpointUpdates
    suspects: dict[SuspectKey, Suspect]
    is_complete: bool = False
    beacon: bytes = b''
    epoch: bytes = b''
    rollouts: bytes = b''

    def with_update(self, update: BroadcastUpdate) -> 'Content':
        """Returns the content after an update.

        A version is added to `history` in place.
        """
        if isinstance(update, Beacon):
            return self._replace(beacon=encode_message(BeaconUpdate(update)))
        if isinstance(update, ClaimEpoch):
            return self._replace(epoch=encode_message(EpochUpdate(update)))
        if isinstance(update, RolloutTable):
            return self._replace(rollouts=encode_message(RolloutUpdate(update)))
        self.history.add(update)
        return self
