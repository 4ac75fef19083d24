"""A holder's place in the claim epochs, kept durably beside its claims."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from bilberry_core.board import ClaimEpoch
from bilberry_core.error import JournalError
from bilberry_core.messages.claim import HolderPhase, Standing
from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_claims.quorum import list_instances

#: Generation of a data folder that took part in the fleet's first start.
FIRST_STORE = 1


class Membership(NamedTuple):
    """What a holder must not forget in a restart.

    `epoch`
        The newest epoch that it acted in, as messages number it.
    `phase`
        Whether its folder was lost or new.
    `filled`
        The last `ClaimEpoch.epoch` in which claims were handed over to it.
    `store`
        Generation of its data folder; 0 until one is chosen.
    `stores`
        Generations of other holders' folders, by instance.
    """

    epoch: int = 0
    phase: HolderPhase = HolderPhase.EMPTY
    filled: int = 0
    store: int = 0
    stores: Mapping[str, int] = MappingProxyType({})

    @property
    def is_full(self) -> bool:
        """Whether it remembers every vote that it gave."""
        return self.phase is HolderPhase.FULL

    @property
    def standing(self) -> Standing:
        """What its replies count for."""
        return Standing(self.phase, self.store, dict(self.stores))

    def is_caught_up(self, epoch: ClaimEpoch) -> bool:
        """Returns whether it knows what the holders before knew."""
        is_same = list_instances(epoch.holders) == list_instances(
            epoch.previous
        )
        is_filled = self.filled == epoch.epoch or not epoch.previous
        return self.is_full and (is_same or is_filled)

    def get_store(self, instance: str) -> int:
        """Returns the generation known of another holder's folder."""
        return self.stores.get(instance, FIRST_STORE)

    def record_store(self, instance: str, store: int) -> 'Membership':
        """Returns the membership that knows a newer folder."""
        if store <= self.get_store(instance):
            return self
        return self._replace(stores={**self.stores, instance: store})

    def fill(self, epoch: ClaimEpoch) -> 'Membership':
        """Returns the membership after the handover of an epoch."""
        return self._replace(
            phase=HolderPhase.FULL,
            filled=epoch.epoch,
            store=max(self.store, FIRST_STORE),
        )


def choose_store(
    instance: str,
    standings: Mapping[str, Standing],
) -> int:
    """Returns a generation above all that the others know of."""
    known = [
        one.stores.get(instance, FIRST_STORE) for one in standings.values()
    ]
    return max(known, default=FIRST_STORE) + 1


def encode_membership(held: Membership) -> bytes:
    """Returns the encoding of a membership."""
    return packb(held._replace(stores=dict(held.stores)))


def decode_membership(encoded: bytes) -> Membership:
    """Returns the membership; raises `JournalError` where it is none."""
    try:
        return convert(unpackb(encoded, use_list=False), Membership)
    except (ValueError, ValidationError) as error:
        raise JournalError(f'no membership: {error}') from error
