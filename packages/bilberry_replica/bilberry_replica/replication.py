"""Replication: the leader's broadcasts, and the replies to them."""

from bilberry_core.messages.replica import (
    Append,
    AppendReply,
    InstallReply,
    LogEntry,
    Member,
)

from bilberry_replica.commitment import advance_commit
from bilberry_replica.node import (
    Effect,
    EventTime,
    Node,
    Progress,
    Send,
    SendSnapshot,
    Step,
    move_to_term,
    put_entries,
)

#: Most entries in one message.
MAX_BATCH = 64
#: Most bytes of content in one message, unless a single entry has more.
MAX_BATCH_BYTES = 1 << 20


def broadcast(node: Node, event_time: EventTime) -> Step:
    """Sends every replica a heartbeat with the entries not yet sent to it.

    Entries in flight are not resent: a follower that lacks them refuses the
    heartbeat and receives them then.
    """
    node = node._replace(
        round=node.round + 1,
        heartbeat_at=event_time.now + node.timing.heartbeat_s,
    )
    step = Step(node)
    for instance in node.peers:
        step = step.then(_send_entries(step.node, instance, event_time, True))
    return step


def propose(node: Node, entry: LogEntry, event_time: EventTime) -> Step:
    """Appends an entry of the leader's term and sends it."""
    step = put_entries(node, node.log.last_index + 1, (entry,))
    if entry.membership is not None:
        step = step.then(Step(track_members(step.node, event_time)))
    for instance in step.node.peers:
        step = step.then(_send_entries(step.node, instance, event_time, False))
    return step


def receive_append_reply(
    node: Node,
    sender: str,
    reply: AppendReply,
    event_time: EventTime,
) -> Step:
    """Updates a replica's progress and commits what a quorum stores."""
    if reply.term > node.term:
        return move_to_term(node, reply.term, event_time)
    if not is_valid_reply(node, sender, reply):
        return Step(record_seen_store(node, sender, reply))
    if not reply.success:
        return _backtrack(node, sender, reply, event_time)
    progress = _advance(node.peers[sender], reply)
    node = set_progress(node, sender, progress)
    step = broadcast_commit(node, advance_commit(node), event_time)
    if progress.next_index > node.log.last_index:
        return step
    return step.then(_send_entries(step.node, sender, event_time, False))


def broadcast_commit(before: Node, node: Node, event_time: EventTime) -> Step:
    """Sends a new commit index to the replicas at once.

    Otherwise they would receive it only with the next heartbeat.
    """
    step = Step(node)
    if not node.is_leader or node.commit == before.commit:
        return step
    for instance in node.peers:
        step = step.then(_send_entries(step.node, instance, event_time, False))
    return step


def track_members(node: Node, event_time: EventTime) -> Node:
    """Starts to track new members and stops tracking removed ones."""
    peers = {
        member.instance: _build_progress(node, member, event_time)
        for member in node.membership.members
        if member.instance != node.instance
    }
    return node._replace(peers=peers)


def is_valid_reply(
    node: Node,
    sender: str,
    reply: AppendReply | InstallReply,
) -> bool:
    """Tells whether a reply is to this leader, from the known data folder."""
    progress = node.peers.get(sender)
    if progress is None or reply.term != node.term:
        return False
    return reply.store == progress.store


def record_seen_store(
    node: Node,
    sender: str,
    reply: AppendReply | InstallReply,
) -> Node:
    """Records that a replica replies from another data folder.

    Ignores replies to older broadcasts: they may be from a disk that has been
    lost since.
    """
    progress = node.peers.get(sender)
    is_recent = reply.term == node.term and reply.round >= node.round - 1
    if progress is None or not is_recent:
        return node
    seen = progress._replace(seen_store=reply.store)
    return set_progress(node, sender, seen)


def set_progress(node: Node, instance: str, progress: Progress) -> Node:
    """Sets the leader's view of a replica."""
    return node._replace(peers={**node.peers, instance: progress})


def _build_progress(
    node: Node, member: Member, event_time: EventTime
) -> Progress:
    known = node.peers.get(member.instance)
    if known is not None and known.store == member.store:
        return known
    return Progress(
        member.store,
        next_index=node.log.last_index,
        stamp=event_time.now,
    )


def _send_entries(
    node: Node,
    instance: str,
    event_time: EventTime,
    may_repeat: bool,
) -> Step:
    """Sends a replica the entries not yet sent to it.

    Probes, snapshot pieces and the beacon, which may have been sent before,
    are sent only with `may_repeat`.
    """
    progress = node.peers[instance]
    if progress.probing and not may_repeat:
        return Step(node)
    first = progress.next_index
    if first <= node.log.base:
        return _send_snapshot(node, instance, may_repeat)
    entries = _cut_batch(node, first)
    append = Append(
        node.term,
        node.round,
        event_time.now,
        first - 1,
        node.log.find_term(first - 1) or 0,
        node.commit,
        entries,
        node.beacon if may_repeat else None,
    )
    effect = Send(instance, append, early=True)
    if progress.probing:
        return Step(node, (effect,))
    sent = progress._replace(next_index=first + len(entries))
    return Step(set_progress(node, instance, sent), (effect,))


def _send_snapshot(node: Node, instance: str, may_repeat: bool) -> Step:
    """Sends the next piece of the snapshot if `may_repeat` is set.

    Between heartbeats, only the reply to a piece requests the next one.
    """
    effects: tuple[Effect, ...] = ()
    if may_repeat:
        offset = node.peers[instance].offset
        effects = (SendSnapshot(instance, offset),)
    return Step(node, effects)


def _cut_batch(node: Node, first: int) -> tuple[LogEntry, ...]:
    entries = node.log.list_entries(first, first + MAX_BATCH - 1)
    size = 0
    for count, entry in enumerate(entries):
        size += entry.change.size if entry.change else 0
        if count and size > MAX_BATCH_BYTES:
            return entries[:count]
    return entries


def _advance(progress: Progress, reply: AppendReply) -> Progress:
    match = max(progress.match, reply.index)
    return progress._replace(
        match=match,
        next_index=max(progress.next_index, match + 1),
        round=max(progress.round, reply.round),
        stamp=max(progress.stamp, reply.stamp),
        probing=False,
        offset=0,
    )


def _backtrack(
    node: Node,
    sender: str,
    reply: AppendReply,
    event_time: EventTime,
) -> Step:
    """Retries from an earlier entry, but not one known to match.

    Entries are resent at once after the first refusal. Further refusals may be
    replies to heartbeats sent before that, so they wait for the next
    heartbeat.
    """
    progress = node.peers[sender]
    next_index = max(progress.match + 1, min(progress.next_index, reply.index))
    earlier = progress._replace(
        next_index=next_index,
        probing=True,
        round=max(progress.round, reply.round),
        stamp=max(progress.stamp, reply.stamp),
    )
    step = Step(set_progress(node, sender, earlier))
    if progress.probing:
        return step
    return step.then(_send_entries(step.node, sender, event_time, True))
