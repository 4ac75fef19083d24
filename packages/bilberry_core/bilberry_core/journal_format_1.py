"""Reads journals of format 1, whose records stand alone, without batches.

A record consists of the length and the checksum of its payload, the checksum
of this header, the payload, and an end mark that is never zero. A record that
was only partly written at the end is dropped; one that was damaged later
raises `JournalError`. Nothing writes this format any more.
"""

from struct import Struct
from zlib import crc32

from bilberry_core.error import JournalError
from bilberry_core.journal_batch import RECOVERY_ADVICE, StoredBatches

#: First bytes of the file.
MAGIC_1 = b'BILBERRY-JOURNAL-1\n'
_RECORD_SIZES = Struct('>II')
_HEADER_CHECKSUM = Struct('>I')
_HEADER_BYTES = _RECORD_SIZES.size + _HEADER_CHECKSUM.size
_END_MARK = b'\xa5'
_ZERO_BYTE = b'\0'


def read_records_1(name: str, stored: bytes) -> StoredBatches:
    """Returns the records of a file that begins with `MAGIC_1`."""
    records: list[bytes] = []
    start = len(MAGIC_1)
    while start < len(stored):
        end = _find_end(stored, start)
        if not _is_whole(stored, start, end):
            if _is_torn(stored, start, end):
                break
            raise JournalError(
                f'file "{name}" is damaged at byte {start}: {RECOVERY_ADVICE}',
            )
        records.append(stored[start + _HEADER_BYTES : end - 1])
        start = end
    return StoredBatches(records, start)


def _find_end(stored: bytes, start: int) -> int:
    """Returns the end offset of a record, 0 if its header is damaged."""
    header = stored[start : start + _HEADER_BYTES]
    if len(header) < _HEADER_BYTES:
        return 0
    if (
        _HEADER_CHECKSUM.pack(crc32(header[: _RECORD_SIZES.size]))
        != header[_RECORD_SIZES.size :]
    ):
        return 0
    size, _ = _RECORD_SIZES.unpack_from(header)
    return start + _HEADER_BYTES + size + 1


def _is_whole(stored: bytes, start: int, end: int) -> bool:
    if not end or end > len(stored):
        return False
    _, checksum = _RECORD_SIZES.unpack_from(stored, start)
    body = stored[start + _HEADER_BYTES : end - 1]
    return crc32(body) == checksum and stored[end - 1 : end] == _END_MARK


def _is_torn(stored: bytes, start: int, end: int) -> bool:
    """Returns whether a record was only partly written.

    In that case the file ends within it, or zeros replace its end.
    """
    if end > len(stored):
        return True
    written = len(stored.rstrip(_ZERO_BYTE)) - start
    if end:
        return written < end - start
    return written < _HEADER_BYTES
