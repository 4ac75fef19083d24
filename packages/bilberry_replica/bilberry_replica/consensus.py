"""Consensus as pure functions from a node and an event to a step.

The caller provides time, randomness, disk and streams.
"""

from typing import Any

from bilberry_core.messages.replica import (
    Append,
    AppendReply,
    LogEntry,
    Member,
    Membership,
    VoteReply,
    VoteRequest,
)

from bilberry_replica.commitment import has_fresh_quorum, is_quorum_reachable
from bilberry_replica.election import (
    receive_vote_reply,
    receive_vote_request,
    start_trial,
)
from bilberry_replica.following import receive_append
from bilberry_replica.log import Log
from bilberry_replica.member import is_voter
from bilberry_replica.node import EventTime, Node, Step, follow
from bilberry_replica.replication import (
    broadcast,
    propose,
    receive_append_reply,
)

_RECEIVERS = {
    VoteRequest: receive_vote_request,
    VoteReply: receive_vote_reply,
    Append: receive_append,
    AppendReply: receive_append_reply,
}


def receive(
    node: Node, sender: str, message: Any, event_time: EventTime
) -> Step:
    """Handles a consensus message from another replica."""
    return _RECEIVERS[type(message)](node, sender, message, event_time)


def tick(node: Node, event_time: EventTime) -> Step:
    """Performs what is due: a broadcast, an election, or stepping down."""
    if node.is_leader:
        if _must_step_down(node, event_time):
            return Step(follow(node, event_time))
        if event_time.now >= node.heartbeat_at:
            return broadcast(node, event_time)
        return Step(node)
    if event_time.now >= node.election_at:
        return start_trial(node, event_time)
    return Step(node)


def get_tick_deadline(node: Node) -> float:
    """Returns when `tick` is next due, in monotonic seconds."""
    return node.heartbeat_at if node.is_leader else node.election_at


def has_committed_in_term(node: Node) -> bool:
    """Tells whether the leader has committed an entry of its own term.

    Before that, it does not know whether earlier entries are accepted.
    """
    return node.is_leader and node.log.find_term(node.commit) == node.term


def change_membership(
    node: Node,
    membership: Membership | None,
    event_time: EventTime,
) -> Step:
    """Proposes a membership.

    Does nothing while another change is in progress, or if no quorum of the
    new membership replies.
    """
    if membership is None or not can_change_membership(node):
        return Step(node)
    if not is_quorum_reachable(node, membership, event_time):
        return Step(node)
    return propose(node, LogEntry(node.term, membership=membership), event_time)


def can_change_membership(node: Node) -> bool:
    """Tells whether the newest membership in the log is committed."""
    if not has_committed_in_term(node):
        return False
    return node.log.find_membership(node.commit) == node.membership


def find_replaced_member(node: Node) -> Member | None:
    """Returns a member that replies from another data folder.

    The returned member names the new data folder. Returns None if there is no
    such member.
    """
    for member in node.membership.members:
        progress = node.peers.get(member.instance)
        if progress is not None and progress.seen_store:
            return member._replace(store=progress.seen_store)
    return None


def find_caught_up_learner(node: Node) -> str:
    """Returns a learner that stores all committed entries, or ''."""
    for member in node.membership.members:
        progress = node.peers.get(member.instance)
        if member.voter or progress is None:
            continue
        if progress.match >= node.commit and not progress.probing:
            return member.instance
    return ''


def install_snapshot(node: Node, log: Log) -> Node:
    """Replaces the log by a snapshot and the entries that continue it."""
    durable = 0
    known = node.log.find_term(log.base) == log.base_term
    if known and node.log.base <= log.base:
        kept = node.log.entries[log.base - node.log.base :]
        log = log._replace(entries=kept)
        durable = min(node.durable, log.base)
    return node._replace(
        log=log,
        membership=log.find_membership(log.last_index),
        commit=max(node.commit, log.base),
        durable=durable,
    )


def _must_step_down(node: Node, event_time: EventTime) -> bool:
    if not has_fresh_quorum(node, event_time, node.timing.election_s):
        return True
    settled = node.log.find_membership(node.commit) == node.membership
    member = is_voter(node.membership, node.instance, node.store)
    return settled and not member
