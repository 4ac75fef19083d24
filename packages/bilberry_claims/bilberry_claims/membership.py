"""A holder's place in the claim epochs, kept durably beside its claims."""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.error import JournalError
from bilberry_core.messages.claim import HolderPhase, Standing

#: Generation of a data folder that took part in the fleet's first start.
FIRST_STORE = 1


class Membership(NamedTuple):
    """What a holder must not forget in a restart.

    `epoch`
        The newest epoch that it acted in.
    `phase`, `members`
        For which set of holders it knows every claim that it has to.
    `store`
        Generation of its data folder; 0 until one is chosen.
    `stores`
        Generations of other holders' folders, by instance.
    """

    epoch: int = 0
    phase: HolderPhase = HolderPhase.EMPTY
    members: tuple[str, ...] = ()
    store: int = 0
    stores: dict[str, int] = {}

    def is_full_for(self, holders: Collection[Holder]) -> bool:
        """Returns whether it knows every claim of these holders."""
        if self.phase is not HolderPhase.FULL:
            return False
        return set(self.members) == {one.instance for one in holders}

    def know_store(self, instance: str) -> int:
        """Returns the generation known of another holder's folder."""
        return self.stores.get(instance, FIRST_STORE)

    def note_store(self, instance: str, store: int) -> 'Membership':
        """Returns the membership that knows a newer folder."""
        if store <= self.know_store(instance):
            return self
        return self._replace(stores={**self.stores, instance: store})

    def fill(self, epoch: ClaimEpoch) -> 'Membership':
        """Returns the membership that knows the claims of an epoch."""
        return self._replace(
            phase=HolderPhase.FULL,
            members=tuple(one.instance for one in epoch.holders),
            store=max(self.store, FIRST_STORE),
        )


def build_standing(held: Membership, epoch: ClaimEpoch | None) -> Standing:
    """Returns what replies in an epoch count for."""
    counts = False
    counts_previous = False
    if epoch is not None:
        is_full = held.is_full_for(epoch.holders)
        counts = is_full or bool(epoch.previous)
        counts_previous = is_full or held.is_full_for(epoch.previous)
    return Standing(
        held.phase,
        counts,
        counts_previous,
        held.store,
        held.stores,
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
    return packb(held)


def decode_membership(encoded: bytes) -> Membership:
    """Returns the membership; raises `JournalError` where it is none."""
    try:
        return convert(unpackb(encoded, use_list=False), Membership)
    except (ValueError, ValidationError) as error:
        raise JournalError(f'no membership: {error}') from error
