"""Requests to the leader that wait for their response."""

from asyncio import Future, get_running_loop, sleep
from asyncio import timeout as limit_time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from bilberry_replica.driver import Driver

_RETRY_S = 0.05


class PendingRequest(NamedTuple):
    """A request that waits for the response of replica `target`."""

    target: str
    answer: Future[Any]


class LeaderRequests:
    """Requests to the leader, matched to their responses by number."""

    def __init__(self, driver: Driver) -> None:
        """Sends requests on behalf of one replica."""
        self._driver = driver
        self._last_number = 0
        self._pending: dict[int, PendingRequest] = {}

    async def send_request(
        self, build_request: Callable[[int], Any], timeout_s: float
    ) -> Any:
        """Sends the request `build_request(number)`; returns its response.

        Returns None if the request could not be sent. Raises `TimeoutError` if
        it was sent and no response arrived.
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
        """Completes a request if the reply is from the replica asked."""
        pending = self._pending.get(reply.request)
        if pending is None or pending.target != sender:
            return
        if not pending.answer.done():
            pending.answer.set_result(reply)

    def fail_stale(self) -> None:
        """Fails the requests to a replica that no longer leads."""
        leader = self._driver.replica.node.leader
        for pending in tuple(self._pending.values()):
            if pending.target != leader and not pending.answer.done():
                pending.answer.set_exception(TimeoutError('leader changed'))


async def repeat_until_answered(
    driver: Driver,
    attempt: Callable[[float], Awaitable[Any]],
    timeout_s: float,
) -> Any:
    """Repeats an attempt until it returns a response.

    Returns None on a timeout, or once this replica must stop. Each attempt is
    passed the number of seconds that remain.
    """
    deadline = driver.clock.now() + timeout_s
    remaining_s = timeout_s
    while remaining_s > 0 and not driver.has_failed:
        answer = await attempt(remaining_s)
        if answer is not None:
            return answer
        await sleep(min(_RETRY_S, remaining_s))
        remaining_s = deadline - driver.clock.now()
    return None
