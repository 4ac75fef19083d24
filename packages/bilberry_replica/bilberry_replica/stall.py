"""Followers whose disk takes no writes, and how they stand back.

A stalled replica can neither give its vote nor store an entry, so it must not
lead. It goes on following: it keeps entries in memory, and answers the leader
with what its disk stores, so that it is not taken for lost.
"""

from bilberry_replica.node import (
    EventTime,
    Node,
    Role,
    follow,
    reset_election_timer,
)

#: Election timeouts by which a replica stands for election after the others,
#: once its disk works again.
_REST_TIMEOUTS = 1


def is_stall_due(node: Node, flush_began_at: float | None, now: float) -> bool:
    """Tells whether a flush has taken an election timeout."""
    if flush_began_at is None or node.is_stalled:
        return False
    return now - flush_began_at >= node.timing.election_s


def stall(node: Node, since: float, event_time: EventTime) -> Node:
    """Marks a replica as stalled; it gives up leading and candidacy."""
    node = node._replace(stalled_since=since)
    if node.role is Role.FOLLOWER:
        return node
    return follow(node, event_time)


def end_stall(node: Node, event_time: EventTime) -> Node:
    """Lets a replica stand for election again, after the others."""
    if not node.is_stalled:
        return node
    ended = node._replace(stalled_since=None)
    node = reset_election_timer(ended, event_time)
    rest_s = _REST_TIMEOUTS * node.timing.election_s
    return node._replace(election_at=node.election_at + rest_s)
