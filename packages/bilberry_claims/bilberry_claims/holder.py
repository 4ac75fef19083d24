"""Controller of a replica's claims: its streams, journal and epochs."""

from asyncio import Event, to_thread, wait_for
from contextlib import suppress
from functools import partial
from typing import Any

from bilberry_core.board import Board, ClaimEpoch
from bilberry_core.clock import Clock
from bilberry_core.disk import Disk
from bilberry_core.disk_thread import DiskThread
from bilberry_core.handshake import Purpose
from bilberry_core.journal import STOP_WAIT_S, Journal
from bilberry_core.listener import StreamListener
from bilberry_core.metric import Metrics, NullMetrics
from bilberry_core.stream import Credentials, Stream

from bilberry_claims.follower import EndHandover, EpochFollower
from bilberry_claims.holder_core import HolderCore
from bilberry_claims.limit import ClaimLimits
from bilberry_claims.outbox import Outbox, PendingMessage
from bilberry_claims.quorum import get_epoch_number

#: Name of the journal in the data folder.
JOURNAL_NAME = 'claims'
#: Interval between polls of the other holders, in seconds.
_POLL_S = 0.2


class HolderController:
    """Controller that stores claims durably and serves claim requests.

    A reply is sent once everything that it reports is durable; replies that
    wait at the same time share one sync. While the disk refuses writes,
    requests get no reply and change nothing. `end_handover` may be set to a
    callback that commits the end of a handover to the replicated log, and
    `metrics` to a client that counts what is found in the journal.
    """

    def __init__(
        self,
        board: Board,
        credentials: Credentials,
        disk: Disk,
        clock: Clock,
        limits: ClaimLimits,
    ) -> None:
        """Ignores messages until `run` has read the journal."""
        self.end_handover: EndHandover = _refuse_to_end_handover
        self.metrics: Metrics = NullMetrics()
        self._board = board
        self._credentials = credentials
        self._disk = disk
        self._clock = clock
        self._limits = limits
        self._core = HolderCore(credentials.instance, limits)
        self._journal: Journal | None = None
        self._outbox: Outbox | None = None
        self._follower: EpochFollower | None = None
        self._stopping = Event()

    @classmethod
    def from_credentials(
        cls,
        credentials: Credentials,
        board: Board,
        listener: StreamListener,
        disk: Disk,
        clock: Clock,
    ) -> 'HolderController':
        """Returns the controller of one replica, with the default limits."""
        controller = cls(board, credentials, disk, clock, ClaimLimits())
        listener.handle(Purpose.CLAIM, controller.accept)
        return controller

    @property
    def is_caught_up(self) -> bool:
        """Whether this holder has durably copied the claims of the epoch."""
        epoch = self._board.claim_epoch.value
        if epoch is None or self._follower is None:
            return False
        return self._follower.durable_epoch == get_epoch_number(epoch)

    @property
    def is_handed_over(self) -> bool:
        """Whether the replicated log may clear `ClaimEpoch.previous`.

        True once a majority of the holders has durably copied the claims.
        """
        if self._board.claim_epoch.value != self._core.epoch:
            return False
        return self._follower is not None and self._follower.is_handed_over

    def accept(self, stream: Stream) -> None:
        """Serves a stream from a proxy or from another holder."""
        stream.receiver = partial(self._receive, stream)

    async def run(self) -> None:
        """Reads the journal, then serves claims until `stop`."""
        await self._open()
        cell = self._board.claim_epoch
        unwatch = cell.watch(self._adopt)
        self._adopt(cell.value)
        await self._follow()
        unwatch()
        if not self._outbox.is_blocked:
            with suppress(TimeoutError):
                await wait_for(self._outbox.flush(), STOP_WAIT_S)
        self.close()

    def close(self) -> None:
        """Stops at once; pending replies are not sent."""
        self._stopping.set()
        if self._follower is not None:
            self._follower.close()

    async def stop(self) -> None:
        """Makes `run` end after the pending replies are sent.

        Waits for the disk, for a limited time.
        """
        self._stopping.set()
        if self._journal is not None:
            await self._journal.finish()

    def _adopt(self, epoch: ClaimEpoch | None) -> None:
        self._follower.adopt(epoch)
        self._publish()

    def _publish(self) -> None:
        self._board.holds_claims.put(self.is_caught_up)

    async def _follow(self) -> None:
        while not self._stopping.is_set():
            self._core.table.expire(self._clock.wall_ms())
            if not self._outbox.is_blocked:
                self._follower.poll()
            self._publish()
            await self._follower.end_handover_if_complete(self.end_handover)
            with suppress(TimeoutError):
                await wait_for(self._stopping.wait(), _POLL_S)

    async def _open(self) -> None:
        opened = await DiskThread().run(
            partial(Journal.open, self._disk, JOURNAL_NAME, self.metrics)
        )
        journal, records = opened
        await to_thread(self._core.load, records, self._clock.wall_ms())
        self._journal = journal
        self._outbox = Outbox(journal, partial(self._compact, journal))
        self._follower = EpochFollower(
            self._core,
            self._outbox,
            self._credentials,
            self._clock,
        )

    def _receive(self, stream: Stream, message: Any) -> None:
        if self._outbox is None or self._outbox.is_blocked:
            return
        answered = self._core.handle(message, self._clock.wall_ms())
        if answered is not None:
            reply = PendingMessage(partial(_send, stream), answered.reply)
            self._outbox.post(answered.records, (reply,))

    def _compact(self, journal: Journal) -> None:
        if journal.size < self._limits.compact_bytes:
            return
        if journal.size > 2 * self._core.table.encoded_bytes:
            journal.replace(self._core.dump())


def _send(stream: Stream, reply: Any) -> None:
    if stream.is_open and stream.is_writable:
        stream.send(reply)


async def _refuse_to_end_handover(_epoch: int, _timeout_s: float) -> bool:
    """Default for `end_handover`: the end is never committed."""
    return False
