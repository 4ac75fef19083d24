"""A journal of records in one file, which are durable after a sync.

A record consists of the length and the checksum of its payload, the checksum
of this header, the payload, and an end mark that is never zero. This
distinguishes a record that was only partly written, which is dropped, from one
that was damaged later, which raises `JournalError`.
"""

from asyncio import Task, create_task, shield, to_thread
from collections.abc import Iterable
from struct import Struct
from typing import NamedTuple
from zlib import crc32

from bilberry_core.disk import Disk
from bilberry_core.error import JournalError

_MAGIC = b'BILBERRY-JOURNAL-1\n'
_RECORD_SIZES = Struct('>II')
_HEADER_CHECKSUM = Struct('>I')
_HEADER_BYTES = _RECORD_SIZES.size + _HEADER_CHECKSUM.size
_END_MARK = b'\xa5'
_ZERO_BYTE = b'\0'
_RECOVERY_ADVICE = (
    'keep a copy of the data folder, empty it, and let this replica '
    + 'catch up from the others'
)


class _QueuedWrite(NamedTuple):
    """Bytes to append, or to replace the file with."""

    payload: bytes
    replaces: bool = False


class Journal:
    """The records of one file of a disk.

    `append` and `replace` only queue writes; `sync` performs them and makes
    them durable, in a thread, for every caller that waits at the time. After
    a failed sync every call raises `JournalError`: the content of the disk is
    unknown, so only a restarted process may read it.
    """

    def __init__(self, disk: Disk, name: str, size: int) -> None:
        """Continues a file of `size` bytes that `open` has read."""
        self._disk = disk
        self._name = name
        self._size = size
        self._writes: list[_QueuedWrite] = []
        self._queued = 0
        self._durable = 0
        self._flush: Task[None] | None = None
        self._failure = ''

    @classmethod
    def open(cls, disk: Disk, name: str) -> tuple['Journal', list[bytes]]:
        """Returns the journal of a file and its records.

        A last record that was only partly written is dropped. Raises
        `JournalError` if records are damaged.
        """
        try:
            return cls._load(disk, name)
        except OSError as error:
            raise JournalError(f'file "{name}": {error}') from error

    @property
    def size(self) -> int:
        """Size of the file with all queued writes, in bytes."""
        return self._size

    @property
    def failure(self) -> str:
        """Why the journal is unusable; empty while it is usable."""
        return self._failure

    @property
    def has_unsynced(self) -> bool:
        """Whether a queued write is not durable yet."""
        return self._durable < self._queued

    def append(self, record: bytes) -> None:
        """Queues a record, which is durable after the next `sync`."""
        self._check_usable()
        payload = _encode_record(record)
        self._queue_write(_QueuedWrite(payload))
        self._size += len(payload)

    def replace(self, records: Iterable[bytes]) -> None:
        """Queues the replacement of all earlier records by `records`."""
        self._check_usable()
        payload = _MAGIC + b''.join(map(_encode_record, records))
        self._writes.clear()
        self._queue_write(_QueuedWrite(payload, replaces=True))
        self._size = len(payload)

    async def sync(self) -> None:
        """Makes everything queued so far durable."""
        self._check_usable()
        target = self._queued
        while self._durable < target:
            if self._flush is None:
                self._flush = create_task(self._flush_in_thread())
            await shield(self._flush)
            self._check_usable()

    def sync_now(self) -> None:
        """Makes everything queued so far durable, in the calling thread."""
        self._check_usable()
        queued = self._queued
        self._execute_writes(self._drain_writes())
        self._check_usable()
        self._durable = queued

    async def _flush_in_thread(self) -> None:
        queued = self._queued
        await to_thread(self._execute_writes, self._drain_writes())
        if not self._failure:
            self._durable = queued
        self._flush = None

    def _execute_writes(self, writes: list[_QueuedWrite]) -> None:
        try:
            _write(self._disk, self._name, writes)
        except OSError as error:
            self._failure = (
                f'file "{self._name}" could not be written: {error}; '
                + 'repair the disk, then restart this replica'
            )

    def _drain_writes(self) -> list[_QueuedWrite]:
        writes = self._writes
        self._writes = []
        return writes

    def _queue_write(self, write: _QueuedWrite) -> None:
        self._writes.append(write)
        self._queued += 1

    def _check_usable(self) -> None:
        if self._failure:
            raise JournalError(self._failure)

    @classmethod
    def _load(cls, disk: Disk, name: str) -> tuple['Journal', list[bytes]]:
        stored = disk.read(name)
        if len(stored) < len(_MAGIC) and _MAGIC.startswith(stored):
            disk.replace(name, _MAGIC)
            return cls(disk, name, len(_MAGIC)), []
        if not stored.startswith(_MAGIC):
            raise JournalError(
                f'file "{name}" is not a journal: {_RECOVERY_ADVICE}'
            )
        records, end = _read_records(name, stored)
        if end < len(stored):
            disk.replace(name, stored[:end])
        return cls(disk, name, end), records


def _write(disk: Disk, name: str, writes: list[_QueuedWrite]) -> None:
    if writes and writes[0].replaces:
        disk.replace(name, writes[0].payload)
        writes = writes[1:]
    if writes:
        disk.append(name, b''.join(write.payload for write in writes))
        disk.sync(name)


def _encode_record(record: bytes) -> bytes:
    sizes = _RECORD_SIZES.pack(len(record), crc32(record))
    return sizes + _HEADER_CHECKSUM.pack(crc32(sizes)) + record + _END_MARK


def _read_records(name: str, stored: bytes) -> tuple[list[bytes], int]:
    records: list[bytes] = []
    start = len(_MAGIC)
    while start < len(stored):
        end = _find_end(stored, start)
        if not _is_whole(stored, start, end):
            if _is_torn(stored, start, end):
                break
            raise JournalError(
                f'file "{name}" is damaged at byte {start}: {_RECOVERY_ADVICE}',
            )
        records.append(stored[start + _HEADER_BYTES : end - 1])
        start = end
    return records, start


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
