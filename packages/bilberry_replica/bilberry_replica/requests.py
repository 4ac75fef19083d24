"""Requests to the leader that wait for their answer."""

from asyncio import Future, get_running_loop, sleep
from asyncio import timeout as limit_time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from bilberry_replica.driver import Driver

_RETRY_S = 0.05


class Waiting(NamedTuple):
    """A request and the replica that it went to."""

    target: str
    answer: Future[Any]


class LeaderRequests:
    """Requests by number; the leader's answer ends the wait for one."""

    def __init__(self, driver: Driver) -> None:
        """Asks in the name of one replica."""
        self._driver = driver
        self._last = 0
        self._waiting: dict[int, Waiting] = {}

    async def ask(self, build: Callable[[int], Any], timeout_s: float) -> Any:
        """Sends the request `build(number)` and returns its answer.

        None where it could not be sent. Raises `TimeoutError` where it was
        sent and no answer came.
        """
        leader = self._driver.replica.node.leader
        self._last += 1
        number = self._last
        answer: Future[Any] = get_running_loop().create_future()
        self._waiting[number] = Waiting(leader, answer)
        try:
            if not self._driver.send(leader, build(number)):
                return None
            async with limit_time(timeout_s):
                return await answer
        finally:
            self._waiting.pop(number, None)

    def receive_reply(self, sender: str, reply: Any) -> None:
        """Ends the wait for an answer, if it came from who was asked."""
        waiting = self._waiting.get(reply.request)
        if waiting is None or waiting.target != sender:
            return
        if not waiting.answer.done():
            waiting.answer.set_result(reply)

    def watch(self) -> None:
        """Gives up waiting for a replica that leads no more."""
        leader = self._driver.replica.node.leader
        for waiting in tuple(self._waiting.values()):
            if waiting.target != leader and not waiting.answer.done():
                waiting.answer.set_exception(TimeoutError('leader changed'))


async def repeat_until_answered(
    driver: Driver,
    attempt: Callable[[float], Awaitable[Any]],
    timeout_s: float,
) -> Any:
    """Returns the first answer that is not None; None after the timeout.

    Each attempt is told how many seconds are left.
    """
    deadline = driver.clock.now() + timeout_s
    left_s = timeout_s
    while left_s > 0:
        answer = await attempt(left_s)
        if answer is not None:
            return answer
        await sleep(min(_RETRY_S, left_s))
        left_s = deadline - driver.clock.now()
    return None
