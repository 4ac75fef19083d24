"""Adopts claim epochs on a holder and copies the claims that it lacks."""

from collections.abc import Awaitable, Callable
from functools import partial
from itertools import count
from logging import getLogger
from typing import Any

from bilberry_core.board import ClaimEpoch
from bilberry_core.clock import Clock
from bilberry_core.messages.claim import ClaimPage, HolderStatus
from bilberry_core.stream import Credentials

from bilberry_claims.catch_up import CatchUp, Step
from bilberry_claims.handover import Handover
from bilberry_claims.holder_core import HolderCore
from bilberry_claims.link import HolderLinks
from bilberry_claims.outbox import Outbox, PendingMessage
from bilberry_claims.quorum import list_members

_log = getLogger(__name__)

#: Timeout for committing the end of a handover, in seconds.
_END_HANDOVER_TIMEOUT_S = 1.0

#: Commits the end of an epoch's handover to the replicated log. Takes the
#: epoch and a timeout in seconds.
EndHandover = Callable[[int, float], Awaitable[bool]]


class EpochFollower:
    """Follower of the epochs that are committed to the replicated log.

    `durable_epoch` is the number, as in messages, of the newest epoch in
    which the holder is durably caught up.
    """

    def __init__(
        self,
        core: HolderCore,
        outbox: Outbox,
        credentials: Credentials,
        clock: Clock,
    ) -> None:
        """Does nothing until `adopt` sets an epoch."""
        self.durable_epoch = 0
        self._core = core
        self._outbox = outbox
        self._clock = clock
        self._links = HolderLinks(credentials, self._handle_reply)
        self._next_request = count(1).__next__
        self._catch_up: CatchUp | None = None
        self._handover: Handover | None = None

    @property
    def is_handed_over(self) -> bool:
        """Whether a majority of the epoch's holders has copied the claims."""
        return self._handover is not None and self._handover.is_complete

    def adopt(self, epoch: ClaimEpoch | None) -> None:
        """Switches to an epoch, unless it is older than the current one."""
        if epoch is None:
            return
        records = self._core.adopt(epoch)
        if self._core.epoch != epoch:
            return
        _log.info('claim_epoch_adopted', extra={'epoch': epoch.epoch})
        self._outbox.post(records)
        self._catch_up = CatchUp(self._core, epoch, self._next_request)
        self._handover = Handover(self._core.instance, epoch)
        self.poll()

    def poll(self) -> None:
        """Repeats unanswered requests to the other holders."""
        if self._catch_up is not None:
            self._post_step(self._catch_up.poll())
            self._post_step(Step(sends=self._handover.poll()))

    async def end_handover_if_complete(self, end_handover: EndHandover) -> None:
        """Commits the end of the handover if it is complete."""
        epoch = self._core.epoch
        if self.is_handed_over and epoch.previous:
            await end_handover(epoch.epoch, _END_HANDOVER_TIMEOUT_S)

    def close(self) -> None:
        """Closes the streams to the other holders."""
        self._links.close()

    def _handle_reply(self, instance: str, reply: Any) -> None:
        if isinstance(reply, HolderStatus):
            self._handover.receive(instance, reply)
        if isinstance(reply, (HolderStatus, ClaimPage)):
            now_ms = self._clock.wall_ms()
            self._post_step(self._catch_up.receive(instance, reply, now_ms))

    def _post_step(self, step: Step) -> None:
        pending = [
            PendingMessage(partial(self._send, sent.instance), sent.message)
            for sent in step.sends
        ]
        number = self._core.membership.epoch
        if self._core.is_caught_up and self.durable_epoch != number:
            pending.append(PendingMessage(self._record_caught_up, number))
        if pending or step.records:
            self._outbox.post(step.records, pending)

    def _send(self, instance: str, message: Any) -> None:
        holder = list_members(self._core.epoch).get(instance)
        self._links.send(instance, holder, message)

    def _record_caught_up(self, number: int) -> None:
        """Records that the holder is durably caught up in an epoch."""
        is_new = self.durable_epoch != number
        if is_new and number == self._core.membership.epoch:
            self._handover.record_own()
            self.durable_epoch = number
            _log.info(
                'claims_caught_up',
                extra={'epoch': number, 'claims': len(self._core.table)},
            )
