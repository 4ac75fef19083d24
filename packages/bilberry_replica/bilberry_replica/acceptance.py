"""Decides changes and confirms reads on the leader."""

from asyncio import Future, get_running_loop
from asyncio import timeout as limit_time
from typing import Any, NamedTuple

from bilberry_core.messages.replica import LoggedChange

from bilberry_replica.driver import Driver
from bilberry_replica.leading import (
    PendingChange,
    Validate,
    is_read_confirmed,
    propose_change,
    start_read,
)
from bilberry_replica.machine import Applied
from bilberry_replica.register import Decision


class Unanswered(NamedTuple):
    """An attempt that ended without a decision.

    `sent` is true if the change may still be accepted.
    """

    sent: bool


class PendingRead(NamedTuple):
    """A read that waits for a quorum to confirm a broadcast round."""

    round: int
    done: Future[int | None]


class Acceptance:
    """Pending changes and reads of a replica that leads."""

    def __init__(self, driver: Driver, validate: Validate) -> None:
        """Refuses a change if `validate` finds errors in its content."""
        self._driver = driver
        self._validate = validate
        self._pending: dict[int, tuple[int, Future[Decision | None]]] = {}
        self._reads: list[PendingRead] = []
        driver.replica.machine.on_applied = self._resolve

    async def decide(
        self,
        logged: LoggedChange,
        timeout_s: float,
    ) -> Decision | Unanswered:
        """Returns the log's decision on a change, or `Unanswered`."""
        logged = logged._replace(accepted_ms=self._driver.clock.wall_ms())
        offered = self._driver.run_event(
            propose_change,
            self._driver.replica,
            logged,
            self._validate,
        )
        if offered is None:
            return Unanswered(sent=False)
        if not isinstance(offered, PendingChange):
            return offered
        decided: Future[Decision | None] = get_running_loop().create_future()
        self._pending[offered.index] = (offered.term, decided)
        self.resolve_waits()
        try:
            async with limit_time(timeout_s):
                decision = await decided
        except TimeoutError:
            return Unanswered(sent=True)
        finally:
            self._pending.pop(offered.index, None)
        return decision or Unanswered(sent=True)

    async def confirm(self, timeout_s: float) -> int | None:
        """Returns a commit index that is current as of this call.

        Returns None if this replica does not lead or no quorum confirms in
        time.
        """
        replica = self._driver.replica
        if not replica.node.is_leader:
            return None
        done: Future[int | None] = get_running_loop().create_future()
        round_ = self._driver.run_event(start_read, replica)
        self._reads.append(PendingRead(round_, done))
        self.resolve_waits()
        try:
            async with limit_time(timeout_s):
                return await done
        except TimeoutError:
            return None

    def resolve_waits(self) -> None:
        """Completes the reads that a quorum has confirmed.

        Ends all pending changes and reads without a decision if this replica
        does not lead.
        """
        replica = self._driver.replica
        if replica.node.is_leader:
            for pending_read in self._reads:
                if is_read_confirmed(replica, pending_read.round):
                    _finish(pending_read.done, replica.node.commit)
        else:
            self._give_up()
        self._reads = [read for read in self._reads if not read.done.done()]

    def _resolve(self, applied: Applied) -> None:
        term, decided = self._pending.get(applied.index, (0, None))
        if decided is not None:
            is_same_term = term == applied.term
            _finish(decided, applied.decision if is_same_term else None)

    def _give_up(self) -> None:
        for pending_read in self._reads:
            _finish(pending_read.done, None)
        for _, decided in self._pending.values():
            _finish(decided, None)


def _finish(done: Future[Any], value: Any) -> None:
    if not done.done():
        done.set_result(value)
