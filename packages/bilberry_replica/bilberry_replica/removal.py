"""Decides which silent replica gives way to its successor.

A replacement names nobody. What is known is how long each member has been
silent, and that one that answers is not the one that is gone. A member that was
removed and comes back asks to be admitted again (`joining.py`), so a wrong
choice costs a few messages, and no replica.
"""

from collections.abc import Mapping

from bilberry_core.messages.replica import Membership

from bilberry_replica.member import list_voters
from bilberry_replica.node import EventTime, Node

#: Silence after which a replica may be removed as lost, in seconds.
MEMBER_SILENCE_S = 2.0
#: The same where a successor waits for a place, in seconds.
SUCCEEDED_SILENCE_S = 1.0
#: Silence after which a voter may be lost, so that a successor waits for its
#: place, in seconds.
DOUBTFUL_SILENCE_S = 0.5


def measure_silences(
    node: Node,
    event_time: EventTime,
    least_s: float = MEMBER_SILENCE_S,
) -> dict[str, float]:
    """Returns the silent members and their silences, the longest first.

    Silences are in seconds, and longer than `least_s`. Nobody is silent until
    this replica has led for that long.
    """
    if event_time.now - node.leading_since < least_s:
        return {}
    silences = {
        instance: event_time.now - progress.stamp
        for instance, progress in node.peers.items()
    }
    longest_first = sorted(silences, key=silences.__getitem__, reverse=True)
    return {
        instance: silences[instance]
        for instance in longest_first
        if silences[instance] > least_s
    }


def find_surplus_member(
    membership: Membership,
    silences: Mapping[str, float],
    *,
    has_successor: bool = False,
) -> str:
    """Returns the silent member that the quorum does not need, or ''.

    `silences` are in seconds, the longest first. A silent learner is never
    needed. A silent voter is not needed if the fleet, without it, can still
    lose as many voters as when the fleet was founded; a learner that has
    caught up (`has_successor`) takes its place at once. The one that has been
    silent for longest is removed. Without `min_quorum`, only an operator
    removes a replica.
    """
    if not membership.min_quorum:
        return ''
    voters = [member.instance for member in list_voters(membership)]
    for member in membership.members:
        if not member.voter and member.instance in silences:
            return member.instance
    if len(voters) + int(has_successor) < 2 * membership.min_quorum:
        return ''
    return next((name for name in silences if name in voters), '')


def must_wait_for_place(node: Node, event_time: EventTime) -> bool:
    """Returns whether a learner may be the successor of a lost voter.

    Beside a voter that is lost, one more would only raise the quorum. So a
    learner waits while there are enough voters and one of them is in doubt: it
    has not been heard lately, or never by this leader.
    """
    membership = node.membership
    voters = list_voters(membership)
    if len(voters) + 1 < 2 * membership.min_quorum:
        return False
    doubtful_since = event_time.now - DOUBTFUL_SILENCE_S
    heard = {
        instance
        for instance, progress in node.peers.items()
        if progress.round and progress.stamp > doubtful_since
    }
    others = {voter.instance for voter in voters} - {node.instance}
    return bool(membership.min_quorum) and not others <= heard


def measure_tolerance(node: Node) -> tuple[tuple[str, ...], int | None]:
    """Returns the silent members, and how many more voters may be lost.

    Only the leader knows; elsewhere these are () and None. Silences are those
    at its newest broadcast.
    """
    if not node.is_leader:
        return (), None
    now = node.heartbeat_at - node.timing.heartbeat_s
    silent = tuple(sorted(measure_silences(node, EventTime(now, 0))))
    voters = [member.instance for member in list_voters(node.membership)]
    heard = len(voters) - sum(name in silent for name in voters)
    least = min(node.membership.min_quorum, len(voters))
    quorum = max(len(voters) // 2 + 1, least)
    return silent, max(heard - quorum, 0)
