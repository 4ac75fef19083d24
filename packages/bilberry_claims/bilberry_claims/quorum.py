"""Which holders make a majority, and whose replies count together."""

from collections.abc import Collection, Mapping

from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.messages.claim import Standing


def count_majority(size: int) -> int:
    """Returns how many of `size` holders are a majority."""
    return size // 2 + 1


def count_sources(size: int) -> int:
    """Returns how many others must hand over to a holder without votes.

    Enough to meet every majority that the holder itself was part of.
    """
    return size - count_majority(size) + 1


def is_quorum(holders: Collection[Holder], confirmed: Collection[str]) -> bool:
    """Returns whether the confirming holders are a majority.

    They must lie in different failure domains where the holders do.
    """
    members = [one for one in holders if one.instance in confirmed]
    if len(members) < count_majority(len(holders)):
        return False
    domains = {one.failure_domain for one in members}
    return len(domains) > 1 or _share_domain(holders)


def is_epoch_quorum(epoch: ClaimEpoch, confirmed: Collection[str]) -> bool:
    """Returns whether a majority of the holders and of those before agree."""
    if not is_quorum(epoch.holders, confirmed):
        return False
    return not epoch.previous or is_quorum(epoch.previous, confirmed)


def get_epoch_number(epoch: ClaimEpoch) -> int:
    """Returns the number that messages carry; the end of a handover counts.

    The replicated log keeps the epoch's number when a handover has ended,
    but the majorities that count are others from then on.
    """
    return 2 * epoch.epoch + (not epoch.previous)


def list_instances(holders: Collection[Holder]) -> tuple[str, ...]:
    """Returns the holders' instances, sorted."""
    return tuple(sorted(one.instance for one in holders))


def list_members(epoch: ClaimEpoch | None) -> dict[str, Holder]:
    """Returns the holders of an epoch and those before, by instance."""
    if epoch is None:
        return {}
    return {one.instance: one for one in (*epoch.previous, *epoch.holders)}


def find_outdated(standings: Mapping[str, Standing]) -> frozenset[str]:
    """Returns whose replies were given by a folder that was lost since.

    A holder that lost its folder makes the others note its new generation
    before it votes, so a reply from before can't be counted beside one of
    theirs from after.
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
