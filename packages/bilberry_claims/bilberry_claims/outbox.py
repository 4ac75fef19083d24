"""Sends messages after the records that they depend on are durable."""

from asyncio import Task, create_task
from collections.abc import Callable, Iterable
from logging import getLogger
from typing import Any, NamedTuple

from bilberry_core.error import JournalError
from bilberry_core.journal import Journal

_log = getLogger(__name__)

#: Most messages queued; beyond that they are dropped and requested again.
_MAX_PENDING = 10_000
#: Bytes of records waiting for the disk above which no more are taken.
_MAX_UNSYNCED_BYTES = 8 << 20


class PendingMessage(NamedTuple):
    """A message, and the function that sends it."""

    send: Callable[[Any], None]
    message: Any


class Outbox:
    """Queue that makes records durable, then sends the messages after them.

    Everything posted while a sync runs shares the next sync. While the disk
    refuses, messages wait; after an error of the journal none is sent.
    """

    def __init__(
        self, journal: Journal, after_sync: Callable[[], None]
    ) -> None:
        """Calls `after_sync` after each sync, before messages are sent."""
        self._journal = journal
        self._after_sync = after_sync
        self._pending: list[PendingMessage] = []
        self._sending: Task[None] | None = None
        self._has_failed = False

    @property
    def is_blocked(self) -> bool:
        """Whether no more may be posted until the disk takes writes again."""
        if self._has_failed or self._journal.is_failing:
            return True
        return self._journal.unsynced_bytes > _MAX_UNSYNCED_BYTES

    def post(
        self,
        records: Iterable[bytes],
        pending: Iterable[PendingMessage] = (),
    ) -> None:
        """Appends records, and queues messages until they are durable."""
        if self._has_failed:
            return
        for record in records:
            self._journal.append(record)
        if len(self._pending) < _MAX_PENDING:
            self._pending.extend(pending)
        if self._sending is None:
            self._sending = create_task(self._send())

    async def flush(self) -> None:
        """Waits until all queued messages are sent or dropped."""
        while self._sending is not None:
            await self._sending

    async def _send(self) -> None:
        try:
            await self._send_batches()
        except JournalError as error:
            self._has_failed = True
            self._pending.clear()
            _log.critical('claim_journal_failed', extra={'cause': str(error)})
        finally:
            self._sending = None

    async def _send_batches(self) -> None:
        while True:
            batch = self._pending
            self._pending = []
            await self._journal.sync()
            self._after_sync()
            for one in batch:
                one.send(one.message)
            if not self._pending:
                return
