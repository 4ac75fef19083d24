"""Majorities of claim holders, and replies that must not be combined."""

from collections.abc import Collection, Mapping

from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.messages.claim import HolderStanding


def count_majority(size: int) -> int:
    """Returns how many of `size` holders are a majority."""
    return size // 2 + 1


def count_sources(size: int) -> int:
    """Returns how many others a holder without votes must copy from.

    These are enough to intersect every majority that it was part of.
    """
    return size - count_majority(size) + 1


def is_quorum(holders: Collection[Holder], confirmed: Collection[str]) -> bool:
    """Returns whether the confirming holders are a majority.

    They must be in more than one failure domain if the holders are.
    """
    members = [one for one in holders if one.instance in confirmed]
    if len(members) < count_majority(len(holders)):
        return False
    domains = {one.failure_domain for one in members}
    return len(domains) > 1 or _share_domain(holders)


def is_epoch_quorum(epoch: ClaimEpoch, confirmed: Collection[str]) -> bool:
    """Returns whether the confirming holders are a majority of each group.

    The groups are the epoch's holders and, during a handover, the previous
    holders.
    """
    if not is_quorum(epoch.holders, confirmed):
        return False
    return not epoch.previous or is_quorum(epoch.previous, confirmed)


def get_epoch_number(epoch: ClaimEpoch) -> int:
    """Returns the number of an epoch in messages.

    The end of a handover changes this number, as it changes the required
    majorities. `ClaimEpoch.epoch` stays the same in the replicated log.
    """
    return 2 * epoch.epoch + (not epoch.previous)


def list_instances(holders: Collection[Holder]) -> tuple[str, ...]:
    """Returns the holders' instances, sorted."""
    return tuple(sorted(one.instance for one in holders))


def list_members(epoch: ClaimEpoch | None) -> dict[str, Holder]:
    """Returns the current and previous holders of an epoch, by instance."""
    if epoch is None:
        return {}
    return {one.instance: one for one in (*epoch.previous, *epoch.holders)}


def find_outdated(standings: Mapping[str, HolderStanding]) -> frozenset[str]:
    """Returns the holders whose data folder was lost after their reply.

    A holder that lost its data folder has the others record its new
    generation before it votes. A reply from the old folder is therefore
    never counted together with a reply that knows the new one.
    """
    return frozenset(
        instance
        for instance, standing in standings.items()
        if any(
            other.stores.get(instance, 0) > standing.store
            for other in standings.values()
        )
    )


def _share_domain(holders: Collection[Holder]) -> bool:
    return len({one.failure_domain for one in holders}) == 1
