"""Commitment of log entries, and quorums of recent replies.

An entry is committed once a quorum durably stores both it and an entry of the
leader's term at the same or a later index.
"""

from bilberry_core.messages.replica import Membership

from bilberry_replica.member import has_quorum, is_voter
from bilberry_replica.node import EventTime, Node


def record_durable(node: Node, index: int) -> Node:
    """Records that the local disk stores the log up to `index`."""
    durable = min(index, node.log.last_index)
    if durable <= node.durable:
        return node
    node = node._replace(durable=durable)
    return advance_commit(node) if node.is_leader else node


def advance_commit(node: Node) -> Node:
    """Commits up to the last entry of this term that a quorum stores."""
    index = node.log.last_index
    while index > node.commit and node.log.find_term(index) == node.term:
        if has_quorum(node.membership, _list_holders(node, index)):
            return node._replace(commit=index)
        index -= 1
    return node


def is_round_confirmed(node: Node, round_: int) -> bool:
    """Tells whether a quorum replied to this broadcast or a later one."""
    answered = [
        instance
        for instance, progress in node.peers.items()
        if progress.round >= round_
    ]
    return has_quorum(node.membership, (node.instance, *answered))


def has_fresh_quorum(node: Node, event_time: EventTime, age_s: float) -> bool:
    """Tells whether a quorum replied to a message sent in the last `age_s`."""
    return has_quorum(node.membership, _list_fresh(node, event_time, age_s))


def is_quorum_reachable(
    node: Node,
    membership: Membership,
    event_time: EventTime,
) -> bool:
    """Tells whether a quorum of another membership currently replies.

    Without one, a change to that membership could never be committed.
    """
    fresh = _list_fresh(node, event_time, node.timing.election_s)
    return has_quorum(membership, fresh)


def _list_fresh(node: Node, event_time: EventTime, age_s: float) -> list[str]:
    fresh = [
        instance
        for instance, progress in node.peers.items()
        if event_time.now - progress.stamp < age_s
    ]
    return [node.instance, *fresh]


def _list_holders(node: Node, index: int) -> list[str]:
    holders = [
        instance
        for instance, progress in node.peers.items()
        if progress.match >= index
        and is_voter(node.membership, instance, progress.store)
    ]
    if node.durable >= index:
        holders.append(node.instance)
    return holders
