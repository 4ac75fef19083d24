"""A journal of records in one file, which are durable after a sync.

All records that wait at a sync are written as one batch (`journal_batch`).
After a loss of power, a last batch that was never synced is cut off; damage
of what was synced raises `JournalError`.
"""

from asyncio import Task, create_task, shield, sleep, wait
from collections.abc import Iterable
from functools import partial
from logging import getLogger
from time import monotonic
from typing import NamedTuple

from bilberry_core.disk import Disk
from bilberry_core.disk_thread import DiskThread
from bilberry_core.error import JournalError
from bilberry_core.journal_batch import (
    MAGIC,
    OVERHEAD_BYTES,
    RECOVERY_ADVICE,
    StoredBatches,
    encode_batch,
    encode_content,
    encode_record,
    read_batches,
)
from bilberry_core.journal_format_1 import MAGIC_1, read_records_1
from bilberry_core.metric import Metrics, NullMetrics

_log = getLogger(__name__)

#: Time between attempts at writing while the disk refuses, in seconds.
RETRY_S = 0.25
#: Longest wait of a stop for the disk, in seconds.
STOP_WAIT_S = 2.0


class _Batch(NamedTuple):
    """What replaces the file, if anything, and what is appended then.

    `queued` tells how many writes were queued by then.
    """

    replacement: bytes | None
    encoded: tuple[bytes, ...]
    queued: int

    def get_end(self, start: int) -> int:
        """Returns the size of a file that had `start` bytes before it."""
        end = start if self.replacement is None else len(self.replacement)
        if self.encoded:
            end += OVERHEAD_BYTES + sum(map(len, self.encoded))
        return end


class Journal:
    """The records of one file of a disk.

    `append` and `replace` only queue writes; `sync` performs them and makes
    them durable, in a thread, for every caller that waits at the time. While
    the disk refuses, everything stays queued and is tried again every
    `RETRY_S`: the file is cut back to what the last sync covered, so that
    nothing of a failed attempt is left in it, and written again.
    """

    def __init__(self, disk: Disk, name: str, size: int) -> None:
        """Continues a file of which `open` has read `size` bytes."""
        self._disk = disk
        self._name = name
        self._size = size
        self._durable_size = size
        self._is_settled = False
        # What `open` has read may not be durable yet: the first sync covers it.
        self._queued = 1
        self._durable = 0
        self._replacement: bytes | None = None
        self._encoded: list[bytes] = []
        self._thread = DiskThread()
        self._flush: Task[None] | None = None
        self._failing_since: float | None = None

    @classmethod
    def open(
        cls, disk: Disk, name: str, metrics: Metrics = NullMetrics()
    ) -> tuple['Journal', list[bytes]]:
        """Returns the journal of a file and its records; writes nothing.

        A last batch that was never synced and is not whole is dropped; the
        first sync cuts it off. Raises `JournalError` if synced records are
        damaged.
        """
        try:
            return cls._load(disk, name, metrics)
        except OSError as error:
            raise JournalError(f'file "{name}": {error}') from error

    @property
    def size(self) -> int:
        """Size of the file with all queued writes, in bytes."""
        return self._size

    @property
    def unsynced_bytes(self) -> int:
        """By how much the queued writes make the file grow."""
        return max(0, self._size - self._durable_size)

    @property
    def is_failing(self) -> bool:
        """Whether the disk refused the last attempt at writing."""
        return self._failing_since is not None

    @property
    def has_unsynced(self) -> bool:
        """Whether a queued write is not durable yet."""
        return self._durable < self._queued

    def append(self, record: bytes) -> None:
        """Queues a record, which is durable after the next `sync`."""
        encoded = encode_record(record)
        if not self._encoded:
            self._size += OVERHEAD_BYTES
        self._size += len(encoded)
        self._encoded.append(encoded)
        self._queued += 1

    def replace(self, records: Iterable[bytes]) -> None:
        """Queues the replacement of all earlier records by `records`."""
        self._replacement = encode_content(
            b''.join(map(encode_record, records))
        )
        self._encoded = []
        self._queued += 1
        self._size = len(self._replacement)

    async def sync(self) -> None:
        """Makes everything queued so far durable, however long that takes.

        Raises `JournalError` if the file has lost durable bytes.
        """
        target = self._queued
        while self._durable < target:
            if self._flush is None:
                self._flush = create_task(self._flush_in_thread())
            await shield(self._flush)

    async def finish(self) -> None:
        """Waits for the attempt at writing that runs, for a limited time.

        What it leaves unsynced was never acknowledged.
        """
        if self._flush is None:
            return
        done, _running = await wait([self._flush], timeout=STOP_WAIT_S)
        if not done:
            _log.critical(
                'journal_left_unsynced',
                extra={'file': self._name, 'bytes': self.unsynced_bytes},
            )

    def sync_now(self) -> None:
        """Makes everything queued so far durable, in the calling thread.

        Raises `OSError` if the disk refuses; a later call tries again.
        """
        batch = self._begin_batch()
        try:
            self._perform(batch)
        except OSError as error:
            self._keep(batch, error)
            raise
        self._finish(batch)

    async def _flush_in_thread(self) -> None:
        batch = self._begin_batch()
        try:
            await self._thread.run(partial(self._perform, batch))
        except OSError as error:
            self._keep(batch, error)
            await sleep(RETRY_S)
        else:
            self._finish(batch)
        finally:
            self._flush = None

    def _begin_batch(self) -> _Batch:
        batch = _Batch(self._replacement, tuple(self._encoded), self._queued)
        self._replacement = None
        self._encoded = []
        return batch

    def _perform(self, batch: _Batch) -> None:
        """Writes a batch at a known end of the file, and syncs it."""
        size = self._settle(batch.replacement)
        if batch.encoded:
            payload = encode_batch(b''.join(batch.encoded), size)
            self._disk.append(self._name, payload)
            self._disk.sync(self._name)
        self._is_settled = True

    def _settle(self, replacement: bytes | None) -> int:
        """Replaces the file, or cuts it back to what is synced.

        Returns its size.
        """
        is_settled = self._is_settled
        self._is_settled = False
        if replacement is not None:
            self._disk.replace(self._name, replacement)
            return len(replacement)
        if not is_settled:
            self._disk.truncate(self._name, self._durable_size)
        return self._durable_size

    def _finish(self, batch: _Batch) -> None:
        self._durable_size = batch.get_end(self._durable_size)
        self._durable = batch.queued
        if self._failing_since is not None:
            seconds = monotonic() - self._failing_since
            self._failing_since = None
            _log.warning(
                'journal_writable',
                extra={'file': self._name, 'seconds': seconds},
            )

    def _keep(self, batch: _Batch, error: OSError) -> None:
        """Queues the records of a failed batch again, before later ones."""
        if self._replacement is None:
            if batch.encoded and self._encoded:
                # They share a batch now.
                self._size -= OVERHEAD_BYTES
            self._encoded = [*batch.encoded, *self._encoded]
            self._replacement = batch.replacement
        if self._failing_since is None:
            self._failing_since = monotonic()
            _log.critical(
                'journal_unwritable',
                extra={'file': self._name, 'cause': str(error)},
            )

    @classmethod
    def _load(
        cls, disk: Disk, name: str, metrics: Metrics
    ) -> tuple['Journal', list[bytes]]:
        stored = disk.read(name)
        found = _read(name, stored)
        if found.end < len(stored):
            metrics.incr('journal.tails_dropped')
            _log.warning(
                'journal_tail_dropped',
                extra={'file': name, 'bytes': len(stored) - found.end},
            )
        journal = cls(disk, name, found.end)
        if not stored.startswith(MAGIC):
            journal.replace(found.records)
        return journal, found.records


def _read(name: str, stored: bytes) -> StoredBatches:
    """Returns what a file holds; no bytes hold nothing."""
    if stored.startswith(MAGIC):
        return read_batches(name, stored)
    if stored.startswith(MAGIC_1):
        return read_records_1(name, stored)
    if MAGIC.startswith(stored) or MAGIC_1.startswith(stored):
        return StoredBatches([], len(stored))
    raise JournalError(f'file "{name}" is not a journal: {RECOVERY_ADVICE}')
