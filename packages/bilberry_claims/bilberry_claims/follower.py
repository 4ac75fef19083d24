"""A holder's part in the claim epochs: it adopts them and catches up."""

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

#: Longest time to have the end of a handover noted, in seconds.
_SETTLE_TIMEOUT_S = 1.0

#: Has the replicated log note the end of an epoch's handover, within a time
#: in seconds.
SettleEpoch = Callable[[int, float], Awaitable[bool]]


class EpochFollower:
    """Follows the epochs that the replicated log agrees on.

    `durable_epoch` is the newest epoch, as messages number it, in which the
    holder is durably caught up.
    """

    def __init__(
        self,
        core: HolderCore,
        outbox: Outbox,
        credentials: Credentials,
        clock: Clock,
    ) -> None:
        """Starts without an epoch."""
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
        """Whether a majority of the epoch's holders took the claims over."""
        return self._handover is not None and self._handover.is_complete

    def adopt(self, epoch: ClaimEpoch | None) -> None:
        """Acts in an epoch from now on, unless it is older."""
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
        """Asks the other holders again for what is missing."""
        if self._catch_up is not None:
            self._post_step(self._catch_up.poll())
            self._post_step(Step(sends=self._handover.poll()))

    async def settle(self, settle_epoch: SettleEpoch) -> None:
        """Has the end of a handover noted once it is complete."""
        epoch = self._core.epoch
        if self.is_handed_over and epoch.previous:
            await settle_epoch(epoch.epoch, _SETTLE_TIMEOUT_S)

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
        """Goes on once the holder is durably caught up in an epoch."""
        is_new = self.durable_epoch != number
        if is_new and number == self._core.membership.epoch:
            self._handover.record_own()
            self.durable_epoch = number
            _log.info(
                'claims_caught_up',
                extra={'epoch': number, 'claims': len(self._core.table)},
            )
