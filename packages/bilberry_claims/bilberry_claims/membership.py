"""Durable state of a holder in the claim epochs, and its encoding."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from bilberry_core.board import ClaimEpoch
from bilberry_core.error import JournalError
from bilberry_core.messages.claim import HolderPhase, HolderStanding
from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_claims.quorum import list_instances

#: Generation of a data folder that took part in the fleet's first start.
FIRST_STORE = 1


class Membership(NamedTuple):
    """State of a holder that must survive a restart.

    `epoch`
        The number, as in messages, of the newest epoch that it adopted.
    `phase`
        Whether its data folder is empty, new or complete.
    `filled`
        The last `ClaimEpoch.epoch` in which it copied the claims of the
        previous holders.
    `store`
        Generation of its data folder; 0 until one is chosen.
    `stores`
        Known generations of other holders' data folders, by instance.
    """

    epoch: int = 0
    phase: HolderPhase = HolderPhase.EMPTY
    filled: int = 0
    store: int = 0
    stores: Mapping[str, int] = MappingProxyType({})

    @property
    def is_full(self) -> bool:
        """Whether it has a record of every vote that it gave."""
        return self.phase is HolderPhase.FULL

    @property
    def standing(self) -> HolderStanding:
        """The standing that its replies carry."""
        return HolderStanding(self.phase, self.store, dict(self.stores))

    def is_caught_up(self, epoch: ClaimEpoch) -> bool:
        """Returns whether it has the claims of the previous holders."""
        is_same = list_instances(epoch.holders) == list_instances(
            epoch.previous
        )
        is_filled = self.filled == epoch.epoch or not epoch.previous
        return self.is_full and (is_same or is_filled)

    def get_store(self, instance: str) -> int:
        """Returns the known generation of another holder's data folder."""
        return self.stores.get(instance, FIRST_STORE)

    def record_store(self, instance: str, store: int) -> 'Membership':
        """Returns the membership with the generation of another holder.

        An older generation than the known one is ignored.
        """
        if store <= self.get_store(instance):
            return self
        return self._replace(stores={**self.stores, instance: store})

    def fill(self, epoch: ClaimEpoch) -> 'Membership':
        """Returns the membership after the claims of an epoch are copied."""
        return self._replace(
            phase=HolderPhase.FULL,
            filled=epoch.epoch,
            store=max(self.store, FIRST_STORE),
        )


def choose_store(
    instance: str,
    standings: Mapping[str, HolderStanding],
) -> int:
    """Returns a generation above all that the other holders know."""
    known = [
        one.stores.get(instance, FIRST_STORE) for one in standings.values()
    ]
    return max(known, default=FIRST_STORE) + 1


def encode_membership(membership: Membership) -> bytes:
    """Encodes a membership for the journal."""
    return packb(membership._replace(stores=dict(membership.stores)))


def decode_membership(encoded: bytes) -> Membership:
    """Decodes a membership; raises `JournalError` if it is malformed."""
    try:
        return convert(unpackb(encoded, use_list=False), Membership)
    except (ValueError, ValidationError) as error:
        raise JournalError(
            f'malformed claim membership record: {error}'
        ) from error
