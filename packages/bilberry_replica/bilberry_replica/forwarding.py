"""Forwards changes and reads from any replica to the leader.

A change that was sent without a response may still be accepted. It is resent
with its ID until the timeout; only then is its outcome reported as unknown.
"""

from asyncio import Task, create_task
from collections.abc import Coroutine
from typing import Any

from bilberry_core.acceptance import Change
from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.replica import (
    LoggedChange,
    ReadReply,
    ReadRequest,
    SubmitRequest,
)

from bilberry_replica.acceptance import Acceptance, Unanswered
from bilberry_replica.driver import Driver
from bilberry_replica.leading import Validate
from bilberry_replica.outcome import decode_reply, encode_reply
from bilberry_replica.packing import pack_change
from bilberry_replica.register import Decision
from bilberry_replica.requests import LeaderRequests, repeat_until_answered

_MAX_ATTEMPT_S = 5.0


class Forwarding:
    """Requests to the leader, from this replica or from followers."""

    def __init__(
        self,
        driver: Driver,
        validate: Validate,
    ) -> None:
        """Refuses a change if `validate` finds errors in its content."""
        self.requests = LeaderRequests(driver)
        self._driver = driver
        self._acceptance = Acceptance(driver, validate)
        self._tasks: set[Task[None]] = set()
        driver.watchers += (
            self._acceptance.resolve_waits,
            self.requests.fail_stale,
        )

    async def submit(
        self,
        change: Change,
        timeout_s: float,
    ) -> Decision | Unanswered:
        """Returns the decision of the current leader on a change."""
        unanswered = Unanswered(sent=False)

        async def attempt(remaining_s: float) -> Decision | None:
            nonlocal unanswered
            answer = await self._try_submit(change, remaining_s)
            if not isinstance(answer, Unanswered):
                return answer
            unanswered = max(unanswered, answer)
            return None

        decision = await repeat_until_answered(
            self._driver,
            attempt,
            timeout_s,
        )
        return decision or unanswered

    async def confirm(self, timeout_s: float) -> int | None:
        """Returns a commit index that the current leader confirmed.

        Returns None if no leader confirms one in time.
        """
        return await repeat_until_answered(
            self._driver,
            self._try_confirm,
            timeout_s,
        )

    def receive_submit(self, sender: str, request: SubmitRequest) -> None:
        """Decides a change that a follower forwarded."""
        self._spawn(self._answer_submit(sender, request))

    def receive_read(self, sender: str, request: ReadRequest) -> None:
        """Confirms a commit index for a follower."""
        self._spawn(self._answer_read(sender, request))

    async def _try_submit(
        self,
        change: Change,
        remaining_s: float,
    ) -> Decision | Unanswered:
        remaining_s = min(remaining_s, _MAX_ATTEMPT_S)
        replica = self._driver.replica
        logged = pack_change(change, replica.machine.register.newest)
        if replica.node.is_leader:
            return await self._acceptance.decide(logged, remaining_s)
        timeout_ms = int(remaining_s * MS_PER_S)
        try:
            reply = await self.requests.send_request(
                lambda number: SubmitRequest(
                    number,
                    logged.change,
                    timeout_ms,
                    logged.difference,
                ),
                remaining_s,
            )
        except TimeoutError:
            return Unanswered(sent=True)
        return decode_reply(change, reply)

    async def _try_confirm(self, remaining_s: float) -> int | None:
        if self._driver.replica.node.is_leader:
            return await self._acceptance.confirm(remaining_s)
        try:
            reply = await self.requests.send_request(ReadRequest, remaining_s)
        except TimeoutError:
            return None
        return reply.index if reply else None

    async def _answer_submit(self, sender: str, request: SubmitRequest) -> None:
        timeout_s = request.timeout_ms / MS_PER_S
        logged = LoggedChange(request.change, 0, request.difference)
        decision = await self._acceptance.decide(logged, timeout_s)
        self._driver.send(sender, encode_reply(request.request, decision))

    async def _answer_read(self, sender: str, request: ReadRequest) -> None:
        index = await self._acceptance.confirm(_MAX_ATTEMPT_S)
        self._driver.send(sender, ReadReply(request.request, index))

    def _spawn(self, answering: Coroutine[Any, Any, None]) -> None:
        task = create_task(answering)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
