"""Founding: creates the first log of a fleet.

A replica without a log probes the replicas named in its settings. If all of
them reply that they have no log either, the first by name founds the fleet. If
one has a log, the others wait to be admitted.
"""

from collections.abc import Collection

from bilberry_core.messages.replica import (
    LogEntry,
    Member,
    Membership,
    ProbeReply,
)

from bilberry_replica.member import build_first_membership
from bilberry_replica.node import Node, SaveTerm, Step, put_entries

_FIRST_TERM = 1


def is_empty(node: Node) -> bool:
    """Tells whether a replica has no log yet."""
    return node.term == 0 and node.log.last_index == 0


def decide_founding(
    own_member: Member,
    expected: Collection[str],
    replies: dict[str, ProbeReply],
    min_quorum: int = 0,
) -> Membership | None:
    """Returns the first membership if this replica is to found the fleet.

    Returns None otherwise.
    """
    answered = [replies[name] for name in expected if name in replies]
    if len(answered) < len(expected):
        return None
    if not all(reply.empty for reply in answered):
        return None
    members = [own_member, *(reply.member for reply in answered)]
    if min(members).instance != own_member.instance:
        return None
    return build_first_membership(members, min_quorum)


def start_log(node: Node, membership: Membership) -> Step:
    """Writes the first entry of a fleet's log."""
    node = node._replace(
        term=_FIRST_TERM,
        vote=node.instance,
        election_at=0,
    )
    entry = LogEntry(_FIRST_TERM, membership=membership)
    saved = Step(node, (SaveTerm(node.term, node.vote),))
    return saved.then(put_entries(node, 1, (entry,)))
