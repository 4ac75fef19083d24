"""Orders, steps and reads roll-outs through the replicated log."""

from collections.abc import Awaitable, Callable
from secrets import token_hex
from typing import NamedTuple

from bilberry_core.acceptance import (
    Accepted,
    Acceptor,
    Change,
    Conflict,
    NotAccepted,
    Refusal,
)
from bilberry_core.rollout import (
    RolloutChange,
    RolloutOrder,
    RolloutState,
    RolloutStep,
    RolloutTable,
)
from returns.result import Failure, Result, Success

from bilberry_replica.rollout_register import (
    ROLLOUT_BASE,
    build_rollout_change,
)

_LEADER_AUTHOR = 'leader'
_CHANGE_ID_BYTES = 16


class RolloutLog(NamedTuple):
    """The roll-outs in the log of one replica.

    `read_table` returns the table that applied entries have built.
    """

    acceptor: Acceptor
    read_table: Callable[[], RolloutTable]

    async def order(
        self,
        order: RolloutOrder,
        author: str,
        timeout_s: float,
    ) -> Result[Accepted, Refusal]:
        """Orders a roll-out; a resend of an order is accepted again."""
        return await self._submit(order, author, timeout_s)

    async def step_rollout(
        self, step: RolloutStep, timeout_s: float
    ) -> Result[Accepted, Refusal]:
        """Logs the next step of a roll-out."""
        return await self._submit(step, _LEADER_AUTHOR, timeout_s)

    async def cancel(
        self,
        service: str,
        author: str,
        timeout_s: float,
    ) -> Result[Accepted, Refusal]:
        """Rolls the open roll-out of a service back."""
        rollout = self.read_table().find(service)
        if rollout is None or not rollout.is_open:
            return Failure(Conflict(ROLLOUT_BASE, ()))
        step = RolloutStep(
            service,
            rollout.number,
            RolloutState.ROLLED_BACK,
            reason=f'cancelled by {author}',
        )
        return await self._submit(step, author, timeout_s)

    async def read(self, timeout_s: float) -> Result[RolloutTable, NotAccepted]:
        """Returns the newest roll-outs, confirmed by a quorum."""
        current = await self.acceptor.read_current(timeout_s)
        if isinstance(current, Failure):
            return current
        return Success(self.read_table())

    def _submit(
        self, change: RolloutChange, author: str, timeout_s: float
    ) -> Awaitable[Result[Accepted, Refusal]]:
        logged: Change = build_rollout_change(
            token_hex(_CHANGE_ID_BYTES), author, change
        )
        return self.acceptor.submit(logged, timeout_s)
