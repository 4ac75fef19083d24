"""Tells whether all voters were restarted and none of them has a leader.

After a restart a replica doesn't know what it received before it, so it waits
as if it had just heard a leader. If all voters have been restarted that wait
protects nobody: a trial in which each of them says that it has had no leader
since is followed by a vote at once. The vote names the start of each voter, so
that what a voter said before another restart doesn't count.
"""

from bilberry_replica.node import EventTime, Node, Role, schedule_trial


def is_leaderless_since(node: Node, start: int) -> bool:
    """Tells whether this replica has had no leader since the named start."""
    return bool(start) and node.leaderless_start == start


def is_unopposed(node: Node) -> bool:
    """Tells whether every voter has said that it has had no leader."""
    return all(
        node.leaderless.get(member.instance)
        for member in node.membership.members
        if member.voter
    )


def yield_to(node: Node, sender: str, event_time: EventTime) -> Node:
    """Ends a trial in favour of the first replica by name.

    Replicas that are restarted together would split their votes.
    """
    if node.role is not Role.TRIAL or node.instance < sender:
        return node
    waiting = node._replace(role=Role.FOLLOWER, leaderless={})
    return schedule_trial(waiting, event_time)
