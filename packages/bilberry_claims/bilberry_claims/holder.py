"""The controller of a replica's claims: streams, journal and catching up."""

from asyncio import Event, to_thread, wait_for
from contextlib import suppress
from functools import partial
from itertools import count
from logging import getLogger
from typing import Any

from bilberry_claims.catch_up import CatchUp, Step
from bilberry_claims.handover import Handover
from bilberry_claims.holder_core import HolderCore
from bilberry_claims.limit import ClaimLimits
from bilberry_claims.link import HolderLink
from bilberry_claims.outbox import Outbox, Posted
from bilberry_claims.quorum import list_members, number_epoch
from bilberry_core.board import Board, ClaimEpoch
from bilberry_core.clock import Clock
from bilberry_core.disk import Disk
from bilberry_core.handshake import Purpose
from bilberry_core.journal import Journal
from bilberry_core.messages.claim import ClaimPage, HolderStatus
from bilberry_core.settings import Settings
from bilberry_core.stream import Credentials, Stream, StreamListener

_log = getLogger(__name__)

#: Name of the journal in the data folder.
JOURNAL_NAME = 'claims'
#: Between attempts to catch up, in seconds.
_POLL_S = 0.2


class HolderController:
    """Keeps claims durably and answers for them.

    Every reply waits until all that it tells is durable; replies that wait
    at the same time share one sync.
    """

    def __init__(
        self,
        board: Board,
        credentials: Credentials,
        disk: Disk,
        clock: Clock,
        limits: ClaimLimits,
    ) -> None:
        """Answers nothing before `run`."""
        self._board = board
        self._credentials = credentials
        self._disk = disk
        self._clock = clock
        self._limits = limits
        self._core = HolderCore(credentials.instance, limits)
        self._outbox: Outbox | None = None
        self._links: dict[str, HolderLink] = {}
        self._next_request = count(1).__next__
        self._catch_up: CatchUp | None = None
        self._handover: Handover | None = None
        self._durable_epoch = 0
        self._stopping = Event()

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        board: Board,
        listener: StreamListener,
        disk: Disk,
        clock: Clock,
    ) -> 'HolderController':
        """Returns the controller of one replica, with the default limits."""
        controller = cls(
            board,
            Credentials(settings.fleet, settings.instance, settings.secret),
            disk,
            clock,
            ClaimLimits(),
        )
        listener.handle(Purpose.CLAIM, controller.accept)
        return controller

    @property
    def is_caught_up(self) -> bool:
        """Whether this holder durably knows the claims of the epoch."""
        epoch = self._board.claim_epoch.value
        return epoch is not None and self._durable_epoch == number_epoch(epoch)

    @property
    def is_handed_over(self) -> bool:
        """Whether the replicated log may clear `ClaimEpoch.previous`.

        That is once a majority of the holders has durably taken the claims
        over.
        """
        epoch = self._board.claim_epoch.value
        if self._handover is None or epoch != self._core.epoch:
            return False
        return self._handover.is_complete

    def accept(self, stream: Stream) -> None:
        """Serves a stream of a proxy or of another holder."""
        stream.receiver = partial(self._receive, stream)

    async def run(self) -> None:
        """Reads the journal, then keeps claims until `stop`."""
        journal, records = await to_thread(
            Journal.open,
            self._disk,
            JOURNAL_NAME,
        )
        await to_thread(self._core.load, records, self._clock.wall_ms())
        self._outbox = Outbox(journal, partial(self._compact, journal))
        unwatch = self._board.claim_epoch.watch(self._adopt)
        self._adopt(self._board.claim_epoch.value)
        while not self._stopping.is_set():
            self._core.table.expire(self._clock.wall_ms())
            self._poll()
            with suppress(TimeoutError):
                await wait_for(self._stopping.wait(), _POLL_S)
        unwatch()
        await self._outbox.flush()
        self.close()

    def close(self) -> None:
        """Ends at once: answers under way are not sent."""
        self._stopping.set()
        for link in self._links.values():
            link.close()

    async def stop(self) -> None:
        """Ends `run` after the answers under way."""
        self._stopping.set()

    def _receive(self, stream: Stream, asked: Any) -> None:
        if self._outbox is None:
            return
        answered = self._core.handle(asked, self._clock.wall_ms())
        if answered is not None:
            reply = Posted(partial(_send, stream), answered.reply)
            self._outbox.post(answered.records, (reply,))

    def _adopt(self, epoch: ClaimEpoch | None) -> None:
        if epoch is None:
            return
        records = self._core.adopt(epoch)
        if self._core.epoch != epoch:
            return
        _log.info('claim_epoch_adopted', extra={'epoch': epoch.epoch})
        self._outbox.post(records)
        self._catch_up = CatchUp(self._core, epoch, self._next_request)
        self._handover = Handover(self._core.instance, epoch)
        self._poll()

    def _poll(self) -> None:
        if self._catch_up is not None:
            self._perform(self._catch_up.poll())
            self._perform(Step(sends=self._handover.poll()))

    def _take_reply(self, instance: str, reply: Any) -> None:
        if isinstance(reply, HolderStatus):
            self._handover.receive(instance, reply)
        if isinstance(reply, (HolderStatus, ClaimPage)):
            now_ms = self._clock.wall_ms()
            self._perform(self._catch_up.receive(instance, reply, now_ms))

    def _perform(self, step: Step) -> None:
        posted = [
            Posted(self._find_link(sent.instance).send, sent.message)
            for sent in step.sends
        ]
        number = self._core.membership.epoch
        if self._core.is_caught_up and self._durable_epoch != number:
            posted.append(Posted(self._note_durable, number))
        if posted or step.records:
            self._outbox.post(step.records, posted)

    def _find_link(self, instance: str) -> HolderLink:
        holder = list_members(self._core.epoch)[instance]
        link = self._links.get(instance)
        if link is None or link.holder != holder:
            if link is not None:
                link.close()
            link = HolderLink(self._credentials, holder, self._take_reply)
            self._links[instance] = link
        return link

    def _note_durable(self, number: int) -> None:
        """Goes on once the holder is durably caught up in an epoch."""
        if number == self._core.membership.epoch:
            self._handover.note_own()
            self._durable_epoch = number
            _log.info(
                'claims_caught_up',
                extra={'epoch': number, 'claims': len(self._core.table)},
            )

    def _compact(self, journal: Journal) -> None:
        if journal.size < self._limits.compact_bytes:
            return
        if journal.size > 2 * self._core.table.encoded_bytes:
            journal.replace(self._core.dump())


def _send(stream: Stream, reply: Any) -> None:
    if stream.is_open and stream.is_writable:
        stream.send(reply)
