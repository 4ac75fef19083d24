"""Memberships: voters, quorums and changes of one replica at a time.

Consecutive memberships differ in one replica only, so that quorums of both
share a member.
"""

from collections.abc import Collection

from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.messages.replica import Member, Membership


def find_member(membership: Membership, instance: str) -> Member | None:
    """Returns the member of this name, or None."""
    for member in membership.members:
        if member.instance == instance:
            return member
    return None


def is_voter(membership: Membership, instance: str, store: int) -> bool:
    """Tells whether a replica with this store counts towards a quorum."""
    member = find_member(membership, instance)
    return member is not None and member.voter and member.store == store


def list_voters(membership: Membership) -> tuple[Member, ...]:
    """Returns the members that count towards a quorum."""
    return tuple(member for member in membership.members if member.voter)


def has_quorum(membership: Membership, instances: Collection[str]) -> bool:
    """Tells whether these replicas form a quorum.

    A quorum is a majority of the voters and at least `min_quorum` of them, or
    all if there are fewer. If the voters are in more than one failure domain,
    it covers at least two.
    """
    voters = list_voters(membership)
    agreeing = [voter for voter in voters if voter.instance in instances]
    if len(agreeing) * 2 <= len(voters):
        return False
    if len(agreeing) < min(membership.min_quorum, len(voters)):
        return False
    return _count_domains(agreeing) >= min(2, _count_domains(voters))


def build_first_membership(
    members: Collection[Member], min_quorum: int = 0
) -> Membership:
    """Returns the first membership of a fleet; every member votes."""
    voters = [member._replace(voter=True) for member in members]
    return Membership(1, tuple(sorted(voters)), min_quorum=min_quorum)


def add_learner(membership: Membership, joining: Member) -> Membership | None:
    """Adds a replica as a learner; returns None if nothing changes.

    A replica that returns with another store has lost its data, so it becomes
    a learner again.
    """
    known = find_member(membership, joining.instance)
    if known is not None and known.store == joining.store:
        return None
    return _replace_member(membership, joining._replace(voter=False))


def promote(membership: Membership, instance: str) -> Membership | None:
    """Makes a learner a voter; returns None if there is no such learner."""
    known = find_member(membership, instance)
    if known is None or known.voter:
        return None
    return _replace_member(membership, known._replace(voter=True))


def remove_member(membership: Membership, instance: str) -> Membership | None:
    """Removes a replica; returns None if that is not possible now.

    It is not possible if no replica has this name, if none would remain, or if
    another one is a learner: while a lost disk is being restored, each voter
    counts.
    """
    remaining = tuple(
        member for member in membership.members if member.instance != instance
    )
    if len(remaining) == len(membership.members):
        return None
    if not remaining or not all(member.voter for member in remaining):
        return None
    return _set_members(membership, remaining)


def replace_voter(membership: Membership, lost: str) -> Membership:
    """Removes a voter whose successor has caught up as a learner."""
    remaining = tuple(
        member for member in membership.members if member.instance != lost
    )
    return _set_members(membership, remaining)


def end_handover(membership: Membership, epoch: int) -> Membership | None:
    """Ends the handover of claims; returns None if this epoch has none."""
    if membership.epoch != epoch or not membership.previous:
        return None
    return membership._replace(previous=())


def build_epoch(membership: Membership) -> ClaimEpoch:
    """Returns the claim holders of a membership."""
    return ClaimEpoch(
        membership.epoch,
        tuple(map(_build_holder, list_voters(membership))),
        tuple(map(_build_holder, membership.previous)),
    )


def _build_holder(member: Member) -> Holder:
    return Holder(
        member.instance,
        member.host,
        member.port,
        member.failure_domain,
    )


def _replace_member(membership: Membership, changed: Member) -> Membership:
    others = [
        member
        for member in membership.members
        if member.instance != changed.instance
    ]
    return _set_members(membership, tuple(sorted([*others, changed])))


def _set_members(
    membership: Membership,
    members: tuple[Member, ...],
) -> Membership:
    """Sets the members; starts an epoch if the voters change.

    While an earlier handover is in progress, its previous holders are kept:
    until now, claims went to both sets of holders.
    """
    moved = membership._replace(members=members)
    before = list_voters(membership)
    if list_voters(moved) == before:
        return moved
    return moved._replace(
        epoch=membership.epoch + 1,
        previous=membership.previous or before,
    )


def _count_domains(members: Collection[Member]) -> int:
    return len({member.failure_domain for member in members})
