"""Requests to the leader that wait for their answer."""

from asyncio import Future, get_running_loop, sleep
from asyncio import timeout as limit_time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from bilberry_replica.driver import Driver

_RETRY_S = 0.05


class PendingRequest(NamedTuple):
    """A request and the replica that it went to."""

    target: str
    answer: Future[Any]


class LeaderRequests:
    """Requests by number; the leader's answer ends the wait for one."""

    def __init__(self, driver: Driver) -> None:
        """Asks in the name of one replica."""
        self._driver = driver
        self._last_number = 0
        self._pending: dict[int, PendingRequest] = {}

    async def send_request(
        self, build_request: Callable[[int], Any], timeout_s: float
    ) -> Any:
        """Sends the request `build(number)` and returns its answer.

        None where it could not be sent. Raises `TimeoutError` where it was
        sent and no answer came.
        """
        leader = self._driver.replica.node.leader
        self._last_number += 1
        number = self._last_number
        answer: Future[Any] = get_running_loop().create_future()
        self._pending[number] = PendingRequest(leader, answer)
        try:
            if not self._driver.send(leader, build_request(number)):
                return None
            async with limit_time(timeout_s):
                return await answer
        finally:
            self._pending.pop(number, None)

    def receive_reply(self, sender: str, reply: Any) -> None:
        """Ends the wait for an answer, if it came from who was asked."""
        pending = self._pending.get(reply.request)
        if pending is None or pending.target != sender:
            return
        if not pending.answer.done():
            pending.answer.set_result(reply)

    def fail_stale(self) -> None:
        """Gives up waiting for a replica that leads no more."""
        leader = self._driver.replica.node.leader
        for pending in tuple(self._pending.values()):
            if pending.target != leader and not pending.answer.done():
                pending.answer.set_exception(TimeoutError('leader changed'))


async def repeat_until_answered(
    driver: Driver,
    attempt: Callable[[float], Awaitable[Any]],
    timeout_s: float,
) -> Any:
    """Returns the first answer that is not None; None after the timeout.

    Each attempt is told how many seconds are left.
    """
    deadline = driver.clock.now() + timeout_s
    remaining_s = timeout_s
    while remaining_s > 0:
        answer = await attempt(remaining_s)
        if answer is not None:
            return answer
        await sleep(min(_RETRY_S, remaining_s))
        remaining_s = deadline - driver.clock.now()
    return None
