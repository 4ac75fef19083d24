"""The records of a replica's journal, and their encoding."""

from typing import Any, NamedTuple

from bilberry_core.error import JournalError
from bilberry_core.messages.replica import Entry, Membership
from msgpack import packb, unpackb
from msgspec import ValidationError, convert


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


class CommitRecord(NamedTuple):
    """Entries up to `commit` are committed; noted before they are shown."""

    commit: int


class SnapshotRecord(NamedTuple):
    """The register after entry `index`, in place of everything before."""

    index: int
    index_term: int
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
    """Returns a record as it stands in the journal."""
    return packb((_KINDS.index(type(record)), *record))


def decode_record(encoded: bytes) -> Any:
    """Returns the record that `encoded` holds, or raises `JournalError`."""
    try:
        return _convert(unpackb(encoded, use_list=False))
    except (ValueError, ValidationError) as error:
        raise JournalError(
            f'the journal has a foreign record: {error}'
        ) from error


def _convert(unpacked: Any) -> Any:
    number, *fields = convert(unpacked, tuple[Any, ...])
    return convert(fields, _KINDS[range(len(_KINDS)).index(number)])
