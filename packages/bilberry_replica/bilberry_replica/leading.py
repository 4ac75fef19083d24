"""Operations of the leader.

Each function takes the replica and the event time, and does nothing if the
replica does not lead.
"""

from collections.abc import Callable
from logging import getLogger
from typing import NamedTuple

from bilberry_core.acceptance import NotAccepted
from bilberry_core.board import Beacon
from bilberry_core.messages.replica import (
    LogEntry,
    LoggedChange,
    Member,
    Membership,
)

from bilberry_replica.commitment import has_fresh_quorum, is_round_confirmed
from bilberry_replica.consensus import (
    change_membership,
    find_caught_up_learner,
    find_replaced_member,
    has_committed_in_term,
)
from bilberry_replica.error import ConsensusError
from bilberry_replica.founding import is_empty, start_log
from bilberry_replica.member import (
    add_learner,
    promote,
    remove_member,
    replace_voter,
)
from bilberry_replica.node import EventTime, Step
from bilberry_replica.packing import unpack_change
from bilberry_replica.register import Decision, has_own_table
from bilberry_replica.removal import (
    MEMBER_SILENCE_S,
    SUCCEEDED_SILENCE_S,
    find_surplus_member,
    measure_silences,
    must_wait_for_place,
)
from bilberry_replica.replica import Replica
from bilberry_replica.replication import broadcast, propose

_log = getLogger(__name__)

Validate = Callable[[bytes], list[str]]


class PendingChange(NamedTuple):
    """A change whose log entry is not applied yet.

    The entry at `index` decides it, unless one of another term replaces it.
    """

    index: int
    term: int


def propose_change(
    replica: Replica,
    logged: LoggedChange,
    validate: Validate,
    event_time: EventTime,
) -> Decision | PendingChange | None:
    """Returns the decision on a change, or the entry that will decide it.

    Returns None if this replica does not lead, or has not yet applied the
    version that the change is packed with.
    """
    node = replica.node
    if not node.is_leader:
        return None
    if _is_ahead(replica, logged):
        return None
    refused = _decide_without_log(replica, logged, validate)
    if refused is not None:
        return refused
    replica.perform(
        propose(node, LogEntry(node.term, logged), event_time), event_time
    )
    return PendingChange(replica.node.log.last_index, node.term)


def start_read(replica: Replica, event_time: EventTime) -> int:
    """Starts a broadcast that confirms leadership; returns its round."""
    replica.perform(broadcast(replica.node, event_time), event_time)
    return replica.node.round


def is_read_confirmed(replica: Replica, round_: int) -> bool:
    """Tells whether the state is at least as new as the start of the read."""
    if not has_committed_in_term(replica.node):
        return False
    return is_round_confirmed(replica.node, round_)


def propose_membership(
    replica: Replica,
    membership: Membership | None,
    event_time: EventTime,
) -> bool:
    """Proposes a membership; returns False if it can't be proposed now."""
    before = replica.node.log.last_index
    replica.perform(
        change_membership(replica.node, membership, event_time),
        event_time,
    )
    return replica.node.log.last_index > before


def admit_member(
    replica: Replica, member: Member, event_time: EventTime
) -> None:
    """Proposes to add a replica as a learner, unless it is a member."""
    membership = add_learner(replica.node.membership, member)
    if propose_membership(replica, membership, event_time):
        _log.info(
            'replica_admitted',
            extra={'replica': member.instance, 'store': member.store},
        )


def readmit_member(
    replica: Replica, member: Member, event_time: EventTime
) -> None:
    """Admits a replica that has a log and was removed while it was silent.

    Where only operators remove replicas, their decision stands.
    """
    if replica.node.membership.min_quorum:
        admit_member(replica, member, event_time)


def maintain_membership(replica: Replica, event_time: EventTime) -> None:
    """Demotes replaced members, promotes learners, removes silent members.

    Proposes at most one of these changes per call. A learner that may be the
    successor of a voter is promoted once that one is heard, or removed.
    """
    node = replica.node
    replaced = find_replaced_member(node)
    if replaced is not None:
        admit_member(replica, replaced, event_time)
        return
    learner = find_caught_up_learner(node)
    if learner and not must_wait_for_place(node, event_time):
        membership = promote(node.membership, learner)
        propose_membership(replica, membership, event_time)
        return
    least_s = SUCCEEDED_SILENCE_S if learner else MEMBER_SILENCE_S
    silences = measure_silences(node, event_time, least_s)
    surplus = find_surplus_member(
        node.membership, silences, has_successor=bool(learner)
    )
    if surplus:
        change = replace_voter if learner else remove_member
        membership = change(node.membership, surplus)
        if propose_membership(replica, membership, event_time):
            _log_removal(surplus, silences, membership)


def _log_removal(
    removed: str, silences: dict[str, float], membership: Membership
) -> None:
    _log.warning(
        'silent_replica_removed',
        extra={
            'replica': removed,
            'silences': {
                instance: round(silence_s, 3)
                for instance, silence_s in silences.items()
            },
            'members': len(membership.members),
        },
    )


def found_fleet(
    replica: Replica,
    membership: Membership,
    event_time: EventTime,
) -> None:
    """Writes the first entry of the fleet's log."""
    if is_empty(replica.node):
        replica.perform(start_log(replica.node, membership), event_time)


def make_beacon(replica: Replica, age_s: float, event_time: EventTime) -> None:
    """Makes the next beacon if a quorum has replied within `age_s`."""
    node = replica.node
    if not has_committed_in_term(node) or not has_fresh_quorum(
        node, event_time, age_s
    ):
        return
    sequence = node.beacon.sequence + 1 if node.beacon else 1
    version = replica.machine.register.version
    beacon = Beacon(node.term, version, sequence)
    replica.perform(Step(node._replace(beacon=beacon)), event_time)
    replica.on_beacon(beacon)


def _is_ahead(replica: Replica, logged: LoggedChange) -> bool:
    version = replica.machine.register.version
    is_packed = logged.difference is not None
    return is_packed and logged.change.base_version > version


def _decide_without_log(
    replica: Replica,
    logged: LoggedChange,
    validate: Validate,
) -> Decision | None:
    """Returns a decision that needs no log entry, or None."""
    register = replica.machine.register
    decision = register.find_decision(logged)
    if decision is not None:
        return decision
    try:
        content = unpack_change(logged, register.newest).content
    except ConsensusError as error:
        # The change is not in the log yet, so it is enough to refuse it.
        return NotAccepted(str(error))
    change = logged.change
    if not has_own_table(change):
        errors = validate(content)
        if errors:
            return NotAccepted('; '.join(errors))
    node = replica.node
    if node.log.last_index - node.commit >= replica.limits.open_entries:
        return NotAccepted('too many changes wait for a quorum')
    return None
