"""Batches of records in the file of a journal, and damage in them.

A batch is a header, the encoded records and an end mark. No byte of it is
zero, so zeros in a batch, or an end of the file within it, show a write that
never arrived. One zero byte alone, between the marks, may also be a bit that
was flipped. The header holds the offset up to which the file was synced once
the batch was in it. A batch is only appended after everything before it was
synced, so anything behind a batch proves that it was synced, too.
"""

from struct import Struct
from typing import NamedTuple
from zlib import crc32

from bilberry_core.error import JournalError

#: First bytes of the file.
MAGIC = b'BILBERRY-JOURNAL-2\n'
#: What damage of synced bytes asks an operator to do.
RECOVERY_ADVICE = (
    'keep a copy of the data folder, empty it, and let this replica '
    + 'catch up from the others'
)
_START_MARK = b'\xb5'
_END_MARK = b'\xa5'
#: The synced offset, the size of the encoded records and their checksum.
_FIELDS = b'%016x%08x%08x'
_CHECKSUM = b'%08x'
_SYNCED_END = 17
_SIZE_END = 25
_FIELDS_END = 33
_HEADER_BYTES = 41
#: Bytes of a batch beside its records.
OVERHEAD_BYTES = _HEADER_BYTES + len(_END_MARK)
_RECORD_SIZE = Struct('>I')
_ZERO_BYTE = b'\0'
_ESCAPE = b'\1'
_ESCAPED_ZERO = b'\1\2'
_ESCAPED_ESCAPE = b'\1\3'
_HEXADECIMAL = 16


class StoredBatches(NamedTuple):
    """The records of a file, and the end of its last whole batch."""

    records: list[bytes]
    end: int


class _Header(NamedTuple):
    """Up to where the file was synced, and where the batch ends."""

    synced: int
    end: int
    checksum: int


def encode_record(record: bytes) -> bytes:
    """Returns a record with its size, without zero bytes."""
    sized = _RECORD_SIZE.pack(len(record)) + record
    escaped = sized.replace(_ESCAPE, _ESCAPED_ESCAPE)
    return escaped.replace(_ZERO_BYTE, _ESCAPED_ZERO)


def encode_batch(encoded: bytes, synced: int) -> bytes:
    """Returns the batch of encoded records."""
    fields = _START_MARK + _FIELDS % (synced, len(encoded), crc32(encoded))
    checksum = _CHECKSUM % crc32(fields)
    return fields + checksum + encoded + _END_MARK


def encode_content(encoded: bytes) -> bytes:
    """Returns a file with one batch, which is synced before it has a name."""
    synced = len(MAGIC) + OVERHEAD_BYTES + len(encoded)
    return MAGIC + encode_batch(encoded, synced)


def read_batches(name: str, stored: bytes) -> StoredBatches:
    """Returns the records of a file that begins with `MAGIC`.

    A last batch that was never synced, and is not whole, is left out. Raises
    `JournalError` if a batch that was synced is damaged.
    """
    records: list[bytes] = []
    start = len(MAGIC)
    while start < len(stored):
        header = _read_header(stored, start)
        if header is None or not _is_whole(stored, start, header):
            if _is_unsynced(stored, start, header):
                break
            raise JournalError(
                f'file "{name}" is damaged at byte {start}: {RECOVERY_ADVICE}',
            )
        records.extend(_read_records(stored, start, header))
        start = header.end
    return StoredBatches(records, start)


def _read_header(stored: bytes, start: int) -> _Header | None:
    """Returns the header at an offset, None if it is none."""
    header = stored[start : start + _HEADER_BYTES]
    fields = header[:_FIELDS_END]
    if header[_FIELDS_END:] != _CHECKSUM % crc32(fields):
        return None
    synced = int(fields[1:_SYNCED_END], _HEXADECIMAL)
    end = start + OVERHEAD_BYTES
    end += int(fields[_SYNCED_END:_SIZE_END], _HEXADECIMAL)
    if synced not in {start, end}:
        return None
    return _Header(synced, end, int(fields[_SIZE_END:], _HEXADECIMAL))


def _is_whole(stored: bytes, start: int, header: _Header) -> bool:
    end = header.end
    if stored[end - 1 : end] != _END_MARK:
        return False
    return crc32(stored[start + _HEADER_BYTES : end - 1]) == header.checksum


def _is_unsynced(stored: bytes, start: int, header: _Header | None) -> bool:
    """Tells whether a batch that is not whole was never synced."""
    if header is None:
        return _is_unsynced_header(stored, start)
    if header.synced > start or header.end < len(stored):
        return False
    if header.end > len(stored) or stored.endswith(_ZERO_BYTE):
        return True
    return stored.count(_ZERO_BYTE, start) > 1


def _is_unsynced_header(stored: bytes, start: int) -> bool:
    """Tells whether a header never arrived, and nothing was written later.

    No flipped bit makes a zero of a byte of a header. The first batch of a
    file was synced before the file had its name.
    """
    if start == len(MAGIC):
        return False
    header = stored[start : start + _HEADER_BYTES]
    if len(header) == _HEADER_BYTES and _ZERO_BYTE not in header:
        return False
    return not _has_batch_after(stored, start)


def _has_batch_after(stored: bytes, start: int) -> bool:
    """Tells whether a later batch says that everything before is synced."""
    found = stored.find(_START_MARK, start + 1)
    while found >= 0:
        header = _read_header(stored, found)
        if header is not None and header.synced == found:
            return True
        found = stored.find(_START_MARK, found + 1)
    return False


def _read_records(stored: bytes, start: int, header: _Header) -> list[bytes]:
    """Returns the records of a whole batch."""
    escaped = stored[start + _HEADER_BYTES : header.end - 1]
    unescaped = escaped.replace(_ESCAPED_ZERO, _ZERO_BYTE)
    sized = unescaped.replace(_ESCAPED_ESCAPE, _ESCAPE)
    records: list[bytes] = []
    position = 0
    while position < len(sized):
        (size,) = _RECORD_SIZE.unpack_from(sized, position)
        position += _RECORD_SIZE.size
        records.append(sized[position : position + size])
        position += size
    return records
