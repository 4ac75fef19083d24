"""Changes the holders of shares through the replicated log."""

from typing import NamedTuple

from bilberry_core.acceptance import Accepted, Acceptor, Refusal
from bilberry_core.quota import HolderStep
from returns.result import Result

from bilberry_replica.holder_register import build_holder_change


class HolderLog(NamedTuple):
    """The holders of shares in the log of one replica."""

    acceptor: Acceptor

    async def step_holders(
        self, step: HolderStep, timeout_s: float
    ) -> Result[Accepted, Refusal]:
        """Logs a step, on top of the table that it names."""
        change = build_holder_change(step)
        return await self.acceptor.submit(change, timeout_s)
