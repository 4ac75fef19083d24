"""Writes the state of a replica to its journal, and restores it."""

from typing import NamedTuple

from bilberry_core.error import JournalError
from bilberry_core.journal import Journal
from bilberry_core.messages.replica import Membership
from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_replica.log import Log
from bilberry_replica.node import Effect, Node, SaveEntries, SaveTerm
from bilberry_replica.record import (
    CommitRecord,
    EntriesRecord,
    SnapshotRecord,
    StoreRecord,
    TermRecord,
    decode_record,
    encode_record,
)


class Restored(NamedTuple):
    """The state restored from a journal."""

    store: int = 0
    term: int = 0
    vote: str = ''
    log: Log = Log()
    commit: int = 0
    snapshot: SnapshotRecord = SnapshotRecord(0, 0, Membership(), b'')


def restore_records(records: list[bytes]) -> Restored:
    """Returns the state that a journal's records build.

    Raises `JournalError` if they contradict each other.
    """
    restored = Restored()
    for record in map(decode_record, records):
        restored = _APPLIERS[type(record)](restored, record)
    return restored


def record_effect(journal: Journal, node: Node, effect: Effect) -> None:
    """Appends what an effect saves to the journal."""
    if isinstance(effect, SaveTerm):
        journal.append(encode_record(TermRecord(effect.term, effect.vote)))
    elif isinstance(effect, SaveEntries):
        record = EntriesRecord(effect.first, effect.entries, node.commit)
        journal.append(encode_record(record))


def record_store(journal: Journal, store: int) -> None:
    """Appends the ID of a new data folder to the journal."""
    journal.append(encode_record(StoreRecord(store)))


def record_commit(journal: Journal, commit: int) -> None:
    """Appends the commit index, so that a restart does not fall behind it."""
    journal.append(encode_record(CommitRecord(commit)))


def record_snapshot(
    journal: Journal,
    node: Node,
    snapshot: SnapshotRecord,
) -> None:
    """Replaces the journal by a snapshot and the entries after it."""
    kept = node.log.entries[snapshot.index - node.log.base :]
    records = (
        StoreRecord(node.store),
        TermRecord(node.term, node.vote),
        snapshot,
        EntriesRecord(snapshot.index + 1, kept, node.commit),
    )
    journal.replace(map(encode_record, records))


def encode_snapshot(snapshot: SnapshotRecord) -> bytes:
    """Encodes a snapshot for another replica."""
    return packb(snapshot)


def decode_snapshot(encoded: bytes) -> SnapshotRecord:
    """Decodes a snapshot from another replica; raises `JournalError`."""
    try:
        return convert(unpackb(encoded, use_list=False), SnapshotRecord)
    except (ValueError, ValidationError) as error:
        raise JournalError(f'invalid snapshot: {error}') from error


def _restore_store(restored: Restored, record: StoreRecord) -> Restored:
    return restored._replace(store=record.store)


def _restore_term(restored: Restored, record: TermRecord) -> Restored:
    return restored._replace(term=record.term, vote=record.vote)


def _restore_entries(restored: Restored, record: EntriesRecord) -> Restored:
    log = restored.log
    if not log.base < record.first <= log.last_index + 1:
        raise JournalError(
            f'the journal continues at entry {record.first} after entry '
            + f'{log.last_index}',
        )
    log = log.put(record.first, record.entries)
    return _advance(restored._replace(log=log), record.commit)


def _restore_commit(restored: Restored, record: CommitRecord) -> Restored:
    return _advance(restored, record.commit)


def _advance(restored: Restored, commit: int) -> Restored:
    reached = min(commit, restored.log.last_index)
    return restored._replace(commit=max(restored.commit, reached))


def _restore_snapshot(restored: Restored, record: SnapshotRecord) -> Restored:
    log = Log(record.index, record.index_term, record.membership)
    return restored._replace(log=log, commit=record.index, snapshot=record)


_APPLIERS = {
    StoreRecord: _restore_store,
    TermRecord: _restore_term,
    EntriesRecord: _restore_entries,
    SnapshotRecord: _restore_snapshot,
    CommitRecord: _restore_commit,
}
