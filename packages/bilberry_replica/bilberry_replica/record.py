"""The records of a replica's journal, and their encoding."""

from typing import Any, NamedTuple

from bilberry_core.bounds import Identifier, Number
from bilberry_core.error import JournalError
from bilberry_core.messages.replica import LogEntry, Membership
from msgpack import packb, unpackb
from msgspec import ValidationError, convert


class StoreRecord(NamedTuple):
    """The ID of the data folder, generated when it was first used."""

    store: Identifier


class TermRecord(NamedTuple):
    """The term and the vote given in it."""

    term: Number
    vote: str


class EntriesRecord(NamedTuple):
    """Entries from index `first` on, replacing any stored there.

    `commit` is the commit index at the time of writing.
    """

    first: Number
    entries: tuple[LogEntry, ...]
    commit: Number


class CommitRecord(NamedTuple):
    """The commit index, recorded before its entries are published."""

    commit: Number


class SnapshotRecord(NamedTuple):
    """The register after entry `index`, replacing everything before."""

    index: Number
    index_term: Number
    membership: Membership
    register: bytes


_KINDS = (
    StoreRecord,
    TermRecord,
    EntriesRecord,
    SnapshotRecord,
    CommitRecord,
)


def encode_record(record: Any) -> bytes:
    """Encodes a record for the journal."""
    return packb((_KINDS.index(type(record)), *record))


def decode_record(encoded: bytes) -> Any:
    """Decodes a journal record, or raises `JournalError`."""
    try:
        return _convert(unpackb(encoded, use_list=False))
    except (ValueError, ValidationError) as error:
        raise JournalError(
            f'the journal has an unknown record: {error}'
        ) from error


def _convert(unpacked: Any) -> Any:
    number, *fields = convert(unpacked, tuple[Any, ...])
    return convert(fields, _KINDS[range(len(_KINDS)).index(number)])
