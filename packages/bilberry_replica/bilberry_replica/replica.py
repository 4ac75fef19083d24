"""One replica without I/O: consensus, register and journal together.

Each event is called with its event time. `drain_early` returns the messages
that need not wait for the disk. The caller syncs the journal between
`begin_flush` and `end_flush`. Messages that depend on the disk are returned by
`end_flush`, so that they are not sent before the sync.
"""

from collections.abc import Callable
from logging import getLogger
from typing import Any

from bilberry_core.acceptance import HistoryEntry
from bilberry_core.board import Beacon
from bilberry_core.journal import Journal
from bilberry_core.messages.replica import (
    InstallReply,
    InstallSnapshot,
    Membership,
)

from bilberry_replica.commitment import record_durable
from bilberry_replica.consensus import install_snapshot, receive, tick
from bilberry_replica.election import confirm_own_vote, needs_own_vote
from bilberry_replica.flush import DurableTables, Flush, get_tables
from bilberry_replica.limits import Limits
from bilberry_replica.log import Log
from bilberry_replica.machine import (
    ReceivedSnapshot,
    StateMachine,
    read_snapshot,
)
from bilberry_replica.node import (
    Effect,
    EventTime,
    Node,
    PublishBeacon,
    SaveEntries,
    Send,
    SendSnapshot,
    Step,
    restore,
)
from bilberry_replica.replication import broadcast_commit
from bilberry_replica.stall import end_stall, is_stall_due, stall
from bilberry_replica.storage import (
    Restored,
    SnapshotRecord,
    record_commit,
    record_effect,
    record_snapshot,
    record_store,
    restore_records,
)
from bilberry_replica.transfer import (
    Transfer,
    build_piece,
    receive_install_reply,
    receive_piece,
)

_log = getLogger(__name__)

#: Most messages that wait for the disk; beyond that the oldest are dropped.
_MAX_LATE = 256


class Replica:
    """The state of one replica, driven by events.

    `on_beacon`
        Called with each beacon of the leader.
    `flush_began_at`
        When the flush began that has not ended yet, in monotonic seconds.
    `durable_commit_term`
        Term of the last entry that this process noted as committed on its
        disk. Once it is a leader's own term, the leader shows everything that
        was accepted before.
    """

    def __init__(
        self,
        journal: Journal,
        node: Node,
        machine: StateMachine,
        limits: Limits = Limits(),
    ) -> None:
        """Continues from the state in the journal; see `open`."""
        self.on_beacon: Callable[[Beacon], None] = _ignore
        self.limits = limits
        self.flush_began_at: float | None = None
        self.durable_commit_term = 0
        self._journal = journal
        self._node = node
        self._machine = machine
        self._transfer = Transfer()
        self._early: list[Send] = []
        self._late: list[Send] = []
        self._compacted_bytes = journal.size
        self._durable_commit = node.commit
        self._durable_newest = machine.register.newest
        self._durable_tables = get_tables(machine)
        self._kept_index = 0

    @classmethod
    def open(
        cls,
        opened: tuple[Journal, list[bytes]],
        fresh: Node,
        event_time: EventTime,
        limits: Limits = Limits(),
    ) -> 'Replica':
        """Returns the replica stored in a journal and its records.

        `fresh` is the node of a new data folder.
        """
        journal, records = opened
        restored = restore_records(records)
        if not restored.store:
            restored = restored._replace(store=fresh.store)
            record_store(journal, fresh.store)
        node = _restore_node(fresh, restored, event_time)
        machine = StateMachine(restored.snapshot)
        machine.apply(node.log, node.commit)
        return cls(journal, node, machine, limits)

    @property
    def node(self) -> Node:
        """The consensus state."""
        return self._node

    @property
    def machine(self) -> StateMachine:
        """The state that committed entries have built."""
        return self._machine

    @property
    def durable_newest(self) -> HistoryEntry | None:
        """The newest accepted version that survives a restart.

        Only this version may be published: a proxy that ran a newer one would
        revert when the replica beside it restarts.
        """
        return self._durable_newest

    @property
    def durable_tables(self) -> DurableTables:
        """The newest tables that survive a restart."""
        return self._durable_tables

    @property
    def committed_membership(self) -> Membership:
        """The newest membership that is committed."""
        return self._node.log.find_membership(self._node.commit)

    @property
    def needs_flush(self) -> bool:
        """Whether a flush has something to write or send."""
        if self._late or self._journal.has_unsynced:
            return True
        node = self._node
        if node.commit > self._durable_commit:
            return True
        return node.durable < node.log.last_index or needs_own_vote(node)

    def receive(self, sender: str, message: Any, event_time: EventTime) -> None:
        """Handles a consensus message from another replica."""
        if isinstance(message, InstallSnapshot):
            self._receive_piece(sender, message, event_time)
        elif isinstance(message, InstallReply):
            size = len(self._machine.encoded_snapshot)
            index_and_size = (self._machine.snapshot.index, size)
            node = self._node
            self.perform(
                receive_install_reply(
                    node, sender, message, event_time, index_and_size
                ),
                event_time,
            )
        else:
            self.perform(
                receive(self._node, sender, message, event_time), event_time
            )

    def tick(self, event_time: EventTime) -> None:
        """Performs what is due."""
        began_at = self.flush_began_at
        if is_stall_due(self._node, began_at, event_time.now):
            self.perform(
                Step(stall(self._node, began_at, event_time)), event_time
            )
        self.perform(tick(self._node, event_time), event_time)

    def perform(self, step: Step, event_time: EventTime) -> None:
        """Applies a step and queues what is to be saved and sent."""
        before = self._node
        self._node = step.node
        for effect in step.effects:
            if isinstance(effect, Send):
                queue = self._early if effect.early else self._late
                queue.append(effect)
            elif isinstance(effect, SendSnapshot):
                piece = _build_piece(
                    self._node, self._machine, effect, event_time
                )
                self._early.append(piece)
            elif isinstance(effect, PublishBeacon):
                self.on_beacon(effect.beacon)
            else:
                record_effect(self._journal, self._node, effect)
        del self._late[:-_MAX_LATE]
        self._kept_index = _find_kept(self._kept_index, step.effects)
        _log_role(before, self._node)
        _log_stall(before, self._node, event_time)
        self._machine.apply(self._node.log, self._node.commit)
        self._compact_if_due()

    def drain_early(self) -> list[Send]:
        """Removes and returns the messages that need not wait for the disk."""
        early = self._early
        self._early = []
        return early

    def begin_flush(self, event_time: EventTime) -> Flush:
        """Returns what the next sync of the journal makes durable."""
        node = self._node
        if node.commit > self._durable_commit:
            record_commit(self._journal, node.commit)
        flush = Flush(
            node.term,
            tuple(self._late),
            node.commit,
            node.log.find_term(node.commit) or 0,
            self._machine.register.newest,
            get_tables(self._machine),
        )
        self._late = []
        self.flush_began_at = event_time.now
        self._kept_index = node.log.last_index
        return flush

    def end_flush(
        self, flush: Flush, event_time: EventTime
    ) -> tuple[Send, ...]:
        """Returns the messages that may be sent after the journal sync.

        Entries that were replaced during the sync don't count as durable.
        """
        self.flush_began_at = None
        ended = end_stall(self._node, event_time)
        self.perform(Step(ended), event_time)
        if flush.commit > self._durable_commit:
            self._durable_commit = flush.commit
            self.durable_commit_term = flush.commit_term
        self._durable_newest = flush.newest
        self._durable_tables = flush.tables
        if flush.term == self._node.term:
            node = record_durable(self._node, self._kept_index)
            self.perform(
                broadcast_commit(self._node, node, event_time), event_time
            )
            self.perform(confirm_own_vote(self._node, event_time), event_time)
        return flush.sends

    def _receive_piece(
        self,
        sender: str,
        piece: InstallSnapshot,
        event_time: EventTime,
    ) -> None:
        node = self._node
        step, transfer = receive_piece(
            node,
            self._transfer,
            sender,
            piece,
            event_time,
        )
        self._transfer = transfer
        if not transfer.is_complete or transfer.index <= self._machine.applied:
            self.perform(step, event_time)
            return
        self._transfer = Transfer()
        received = read_snapshot(sender, transfer.received)
        if received is None:
            # It is left, as this replica is whole, and the reply with it.
            self.perform(_drop_sends(step), event_time)
            return
        self.perform(step, event_time)
        self._install_snapshot(received)

    def _install_snapshot(self, received: ReceivedSnapshot) -> None:
        snapshot = received.snapshot
        log = Log(snapshot.index, snapshot.index_term, snapshot.membership)
        self._node = install_snapshot(self._node, log)
        self._machine.install_snapshot(received)
        self._kept_index = 0
        self._save_snapshot(snapshot)
        _log.info('snapshot_installed', extra={'index': snapshot.index})

    def _compact_if_due(self) -> None:
        entries = self._machine.applied - self._machine.snapshot.index
        grown = self._journal.size - self._compacted_bytes
        bound = max(self.limits.log_bytes, self._compacted_bytes)
        if not entries:
            return
        if entries < self.limits.log_entries and grown < bound:
            return
        log = self._node.log
        snapshot = self._machine.take_snapshot(log)
        self._save_snapshot(snapshot)
        base = max(log.base, snapshot.index - self.limits.kept_entries)
        self._node = self._node._replace(log=log.compact(base))

    def _save_snapshot(self, snapshot: SnapshotRecord) -> None:
        record_snapshot(self._journal, self._node, snapshot)
        self._compacted_bytes = self._journal.size


def _build_piece(
    node: Node,
    machine: StateMachine,
    effect: SendSnapshot,
    event_time: EventTime,
) -> Send:
    piece = build_piece(
        node,
        event_time,
        (machine.snapshot.index, machine.snapshot.index_term),
        machine.encoded_snapshot,
        effect.offset,
    )
    return Send(effect.target, piece, early=True)


def _restore_node(
    fresh: Node, restored: Restored, event_time: EventTime
) -> Node:
    node = fresh._replace(
        store=restored.store,
        term=restored.term,
        vote=restored.vote,
        log=restored.log,
    )
    return restore(node, event_time)._replace(commit=restored.commit)


def _log_role(before: Node, after: Node) -> None:
    if (before.role, before.term) == (after.role, after.term):
        return
    _log.info(
        'role_changed',
        extra={
            'role': after.role,
            'term': after.term,
            'leader': after.leader,
            'members': len(after.membership.members),
        },
    )


def _log_stall(before: Node, after: Node, event_time: EventTime) -> None:
    if after.is_stalled and not before.is_stalled:
        _log.critical('disk_stalled', extra={'role': before.role})
    if before.is_stalled and not after.is_stalled:
        seconds = event_time.now - before.stalled_since
        _log.warning('disk_recovered', extra={'seconds': seconds})


def _drop_sends(step: Step) -> Step:
    """Returns a step without the messages that it sends."""
    kept = [one for one in step.effects if not isinstance(one, Send)]
    return Step(step.node, tuple(kept))


def _find_kept(kept: int, effects: tuple[Effect, ...]) -> int:
    """Returns up to which entry none was written again by these effects."""
    firsts = [
        effect.first for effect in effects if isinstance(effect, SaveEntries)
    ]
    return min([kept, *(first - 1 for first in firsts)])


def _ignore(_beacon: Any) -> None:
    """Default callback, which does nothing."""
