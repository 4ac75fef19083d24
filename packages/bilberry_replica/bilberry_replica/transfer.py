"""Transfers a snapshot to a replica whose next entry was compacted.

The snapshot is sent in pieces. The receiver reports how many bytes it has, so
a lost piece is resent and a repeated one changes nothing.
"""

from typing import NamedTuple

from bilberry_core.messages.replica import (
    AppendReply,
    InstallReply,
    InstallSnapshot,
)

from bilberry_replica.following import follow_leader
from bilberry_replica.node import (
    EventTime,
    Node,
    Send,
    SendSnapshot,
    Step,
    move_to_term,
)
from bilberry_replica.replication import (
    is_valid_reply,
    record_seen_store,
    set_progress,
)

#: Most bytes of a snapshot in one message.
PIECE_BYTES = 256 << 10


class Transfer(NamedTuple):
    """The part of a snapshot that has been received."""

    index: int = 0
    index_term: int = 0
    size: int = 0
    received: bytes = b''

    @property
    def is_complete(self) -> bool:
        """Whether every byte has arrived."""
        return self.index > 0 and len(self.received) == self.size


def build_piece(
    node: Node,
    event_time: EventTime,
    position: tuple[int, int],
    snapshot: bytes,
    offset: int,
) -> InstallSnapshot:
    """Returns a piece of the snapshot at `position` (index and term)."""
    return InstallSnapshot(
        node.term,
        node.round,
        event_time.now,
        *position,
        len(snapshot),
        offset,
        snapshot[offset : offset + PIECE_BYTES],
    )


def receive_piece(
    node: Node,
    transfer: Transfer,
    sender: str,
    piece: InstallSnapshot,
    event_time: EventTime,
) -> tuple[Step, Transfer]:
    """Adds a piece; the caller installs a complete transfer."""
    if piece.term < node.term:
        return _reply(node, sender, piece, 0), transfer
    step = follow_leader(node, sender, piece.term, event_time)
    if piece.index <= node.commit:
        return step.then(_reply(step.node, sender, piece, piece.size)), transfer
    transfer = _add_piece(transfer, piece)
    received_bytes = len(transfer.received)
    return step.then(_reply(step.node, sender, piece, received_bytes)), transfer


def receive_install_reply(
    node: Node,
    sender: str,
    reply: InstallReply,
    event_time: EventTime,
    index_and_size: tuple[int, int],
) -> Step:
    """Sends the next piece, or resumes the log after the last one.

    `index_and_size` is the index and the size in bytes of the snapshot.
    """
    if reply.term > node.term:
        return move_to_term(node, reply.term, event_time)
    if not is_valid_reply(node, sender, reply):
        return Step(record_seen_store(node, sender, reply))
    progress = node.peers[sender]
    index, size = index_and_size
    offset = reply.offset if reply.index == index else 0
    progress = progress._replace(
        round=max(progress.round, reply.round),
        stamp=max(progress.stamp, reply.stamp),
        offset=offset,
    )
    if offset < size:
        node = set_progress(node, sender, progress)
        return Step(node, (SendSnapshot(sender, offset),))
    match = max(progress.match, index)
    done = progress._replace(
        match=match,
        next_index=max(progress.next_index, match + 1),
        probing=False,
    )
    return Step(set_progress(node, sender, done))


def _add_piece(transfer: Transfer, piece: InstallSnapshot) -> Transfer:
    name = (piece.index, piece.index_term, piece.size)
    if name != transfer[:3]:
        transfer = Transfer(*name)
    if piece.offset != len(transfer.received):
        return transfer
    return transfer._replace(received=transfer.received + piece.piece)


def _reply(
    node: Node,
    sender: str,
    piece: InstallSnapshot,
    offset: int,
) -> Step:
    if node.is_stalled and piece.term == node.term:
        return Step(node, (_refuse_early(node, sender, piece),))
    reply = InstallReply(
        node.term,
        node.store,
        piece.round,
        piece.stamp,
        piece.index,
        offset,
    )
    return Step(node, (Send(sender, reply),))


def _refuse_early(node: Node, sender: str, piece: InstallSnapshot) -> Send:
    """Answers that the entries are lacking, which needs no disk.

    The leader hears from the replica, and sends the piece again.
    """
    reply = AppendReply(
        node.term,
        node.store,
        piece.round,
        piece.stamp,
        success=False,
        index=node.durable + 1,
    )
    return Send(sender, reply, early=True)
