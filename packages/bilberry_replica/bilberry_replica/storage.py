"""What a replica keeps in its journal, and how it reads that back."""

from typing import Any, NamedTuple

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_core.error import JournalError
from bilberry_core.journal import Journal
from bilberry_core.messages.replica import Entry, Membership
from bilberry_replica.log import Log
from bilberry_replica.node import Effect, Node, SaveEntries, SaveTerm


class StoreRecord(NamedTuple):
    """The name of the data folder, made when it was first used."""

    store: int


class TermRecord(NamedTuple):
    """The term and the vote given in it."""

    term: int
    vote: str


class EntriesRecord(NamedTuple):
    """Entries from index `first` on, in place of any there.

    `commit` was committed when they were written.
    """

    first: int
    entries: tuple[Entry, ...]
    commit: int


class SnapshotRecord(NamedTuple):
    """The register after entry `index`, in place of everything before."""

    index: int
    index_term: int
    membership: Membership
    register: bytes


_KINDS = (StoreRecord, TermRecord, EntriesRecord, SnapshotRecord)


class Restored(NamedTuple):
    """What a journal held."""

    store: int = 0
    term: int = 0
    vote: str = ''
    log: Log = Log()
    commit: int = 0
    snapshot: SnapshotRecord = SnapshotRecord(0, 0, Membership(), b'')


def restore_records(records: list[bytes]) -> Restored:
    """Returns the state that a journal's records build.

    Raises `JournalError` where they contradict each other.
    """
    restored = Restored()
    for record in map(_decode, records):
        restored = _APPLIERS[type(record)](restored, record)
    return restored


def note_effect(journal: Journal, node: Node, effect: Effect) -> None:
    """Notes what an effect saves in the journal."""
    if isinstance(effect, SaveTerm):
        journal.append(_encode(TermRecord(effect.term, effect.vote)))
    elif isinstance(effect, SaveEntries):
        record = EntriesRecord(effect.first, effect.entries, node.commit)
        journal.append(_encode(record))


def note_store(journal: Journal, store: int) -> None:
    """Notes the name of a new data folder."""
    journal.append(_encode(StoreRecord(store)))


def note_snapshot(
    journal: Journal,
    node: Node,
    snapshot: SnapshotRecord,
) -> None:
    """Notes a snapshot and what follows it, in place of all before."""
    kept = node.log.entries[snapshot.index - node.log.base :]
    records = (
        StoreRecord(node.store),
        TermRecord(node.term, node.vote),
        snapshot,
        EntriesRecord(snapshot.index + 1, kept, node.commit),
    )
    journal.replace(map(_encode, records))


def encode_snapshot(snapshot: SnapshotRecord) -> bytes:
    """Returns a snapshot as it goes to another replica."""
    return packb(snapshot)


def decode_snapshot(encoded: bytes) -> SnapshotRecord:
    """Returns a snapshot that came from another replica."""
    return convert(unpackb(encoded, use_list=False), SnapshotRecord)


def _encode(record: Any) -> bytes:
    return packb((_KINDS.index(type(record)), *record))


def _decode(encoded: bytes) -> Any:
    try:
        return _convert(unpackb(encoded, use_list=False))
    except (ValueError, ValidationError) as error:
        raise JournalError(
            f'the journal has a foreign record: {error}'
        ) from error


def _convert(unpacked: Any) -> Any:
    number, *fields = convert(unpacked, tuple[Any, ...])
    return convert(fields, _KINDS[range(len(_KINDS)).index(number)])


def _restore_store(restored: Restored, record: StoreRecord) -> Restored:
    return restored._replace(store=record.store)


def _restore_term(restored: Restored, record: TermRecord) -> Restored:
    return restored._replace(term=record.term, vote=record.vote)


def _restore_entries(restored: Restored, record: EntriesRecord) -> Restored:
    log = restored.log
    if not log.base < record.first <= log.last_index + 1:
        raise JournalError(
            f'the journal goes on at entry {record.first} after entry '
            + f'{log.last_index}',
        )
    log = log.put(record.first, record.entries)
    commit = max(restored.commit, min(record.commit, log.last_index))
    return restored._replace(log=log, commit=commit)


def _restore_snapshot(restored: Restored, record: SnapshotRecord) -> Restored:
    log = Log(record.index, record.index_term, record.membership)
    return restored._replace(log=log, commit=record.index, snapshot=record)


_APPLIERS = {
    StoreRecord: _restore_store,
    TermRecord: _restore_term,
    EntriesRecord: _restore_entries,
    SnapshotRecord: _restore_snapshot,
}
