"""The set of replicas: who counts towards a quorum, and its single steps.

Each step differs from the set before in one replica, so that quorums of both
sets share a member.
"""

from collections.abc import Collection

from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.messages.replica import Member, Membership


def find_member(membership: Membership, instance: str) -> Member | None:
    """Returns the replica of this name."""
    for member in membership.members:
        if member.instance == instance:
            return member
    return None


def is_voter(membership: Membership, instance: str, store: int) -> bool:
    """Tells whether a replica with this store counts towards a quorum."""
    member = find_member(membership, instance)
    return member is not None and member.voter and member.store == store


def list_voters(membership: Membership) -> tuple[Member, ...]:
    """Returns the replicas that count towards a quorum."""
    return tuple(member for member in membership.members if member.voter)


def has_quorum(membership: Membership, instances: Collection[str]) -> bool:
    """Tells whether these replicas can decide.

    That is a majority of the voters and no fewer than the membership asks
    for, in two failure domains at least where the voters lie in more than one.
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


def find_surplus_member(membership: Membership, silent: Collection[str]) -> str:
    """Returns a silent replica that the quorum can do without, or nothing.

    Learners always are. Voters are where enough others are left that as many
    may be lost as when the fleet was founded; without `min_quorum` only an
    operator removes a replica.
    """
    if not membership.min_quorum:
        return ''
    needed = 2 * membership.min_quorum - 1
    has_spare = len(list_voters(membership)) > needed
    for member in membership.members:
        if member.instance in silent and (has_spare or not member.voter):
            return member.instance
    return ''


def add_learner(membership: Membership, joining: Member) -> Membership | None:
    """Takes a replica in as a learner; None where nothing changes.

    One that comes back with another store has lost what it had, so it
    becomes a learner again.
    """
    known = find_member(membership, joining.instance)
    if known is not None and known.store == joining.store:
        return None
    return _replace_member(membership, joining._replace(voter=False))


def promote(membership: Membership, instance: str) -> Membership | None:
    """Lets a learner vote; None where it is none."""
    known = find_member(membership, instance)
    if known is None or known.voter:
        return None
    return _replace_member(membership, known._replace(voter=True))


def remove_member(membership: Membership, instance: str) -> Membership | None:
    """Removes a replica; None where that can't be done now.

    That is where there is none of this name, none would be left, or another
    one is a learner: while a lost disk is being filled, each voter counts.
    """
    left = tuple(
        member for member in membership.members if member.instance != instance
    )
    if len(left) == len(membership.members):
        return None
    if not left or not all(member.voter for member in left):
        return None
    return _set_members(membership, left)


def end_handover(membership: Membership, epoch: int) -> Membership | None:
    """Ends the handover of claims; None where this epoch has none."""
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
    """Starts an epoch where the voters change.

    While claims of an earlier handover are open, those of its holders stay
    the ones to hand over: claims went to both sets until now.
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
