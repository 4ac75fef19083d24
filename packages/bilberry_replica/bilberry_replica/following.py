"""Handles the entries that a follower receives from its leader."""

from bilberry_core.messages.replica import Append, AppendReply, LogEntry

from bilberry_replica.error import ConsensusError
from bilberry_replica.node import (
    EventTime,
    Node,
    PublishBeacon,
    Send,
    Step,
    follow,
    move_to_term,
    put_entries,
)


def receive_append(
    node: Node,
    sender: str,
    append: Append,
    event_time: EventTime,
) -> Step:
    """Appends the leader's entries if they continue the local log."""
    if append.term < node.term:
        return _reply(node, sender, append, False, 0)
    step = follow_leader(node, sender, append.term, event_time)
    node = step.node
    previous = append.previous_index
    if previous > node.log.last_index:
        hint = node.log.last_index + 1
        return step.then(_reply(node, sender, append, False, hint))
    if previous < node.log.base:
        return step.then(_skip_compacted(node, sender, append))
    if node.log.find_term(previous) != append.previous_term:
        hint = _find_term_start(node, previous)
        return step.then(_reply(node, sender, append, False, hint))
    step = step.then(_store_entries(node, previous + 1, append.entries))
    return step.then(_finish_append(step.node, sender, append))


def follow_leader(
    node: Node, sender: str, term: int, event_time: EventTime
) -> Step:
    """Follows the leader of a term that is not older than the local one."""
    step = move_to_term(node, term, event_time)
    node = follow(step.node, event_time, leader=sender)
    return step.then(Step(node._replace(leader_seen_at=event_time.now)))


def _store_entries(
    node: Node, first: int, entries: tuple[LogEntry, ...]
) -> Step:
    """Writes the entries from the first that differs from the local log."""
    for offset, entry in enumerate(entries):
        index = first + offset
        if node.log.find_term(index) != entry.term:
            _check_uncommitted(node, index)
            return put_entries(node, index, entries[offset:])
    return Step(node)


def _check_uncommitted(node: Node, index: int) -> None:
    if index <= node.commit:
        raise ConsensusError(
            f"entry {index} differs from the leader's, but the log is "
            + f'committed up to {node.commit}: keep a copy of the data folder',
        )


def _finish_append(node: Node, sender: str, append: Append) -> Step:
    last = append.previous_index + len(append.entries)
    commit = max(node.commit, min(append.commit, last))
    node = node._replace(commit=commit)
    step = _reply(node, sender, append, True, last)
    if append.beacon is None:
        return step
    return step.then(Step(node, (PublishBeacon(append.beacon),)))


def _skip_compacted(node: Node, sender: str, append: Append) -> Step:
    """Acknowledges entries in the snapshot, which match the leader's log."""
    return _reply(node, sender, append, True, node.log.base)


def _find_term_start(node: Node, index: int) -> int:
    """Returns the first uncommitted index with the term of `index`."""
    term = node.log.find_term(index)
    while index > node.commit + 1 and node.log.find_term(index - 1) == term:
        index -= 1
    return index


def _reply(
    node: Node,
    sender: str,
    append: Append,
    success: bool,
    index: int,
) -> Step:
    reply = AppendReply(
        node.term,
        node.store,
        append.round,
        append.stamp,
        success,
        index,
    )
    if node.is_stalled and append.term == node.term:
        return Step(node, (_answer_early(node, sender, reply),))
    return Step(node, (Send(sender, reply),))


def _answer_early(node: Node, sender: str, reply: AppendReply) -> Send:
    """Answers without the disk, so with no more than it stores."""
    if reply.success:
        reply = reply._replace(index=min(reply.index, node.durable))
    return Send(sender, reply, early=True)
