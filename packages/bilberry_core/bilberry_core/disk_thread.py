"""Runs calls that wait for a disk in a thread that no exit waits for."""

from asyncio import AbstractEventLoop, Future, get_running_loop
from collections.abc import Callable
from logging import getLogger
from queue import Empty, SimpleQueue
from threading import Lock, Thread
from typing import Any, NamedTuple, TypeVar

_log = getLogger(__name__)

#: Time without a call after which the thread ends, in seconds.
IDLE_S = 5.0

Returned = TypeVar('Returned')


class _QueuedCall(NamedTuple):
    """A call, and where its outcome goes."""

    loop: AbstractEventLoop
    outcome: Future[Any]
    call: Callable[[], Any]


class DiskThread:
    """A thread for one call after the other, which starts when it is needed.

    It is left behind if the process exits: a disk that hangs would hold back
    the exit. `to_thread` is for calls that always end.
    """

    def __init__(self) -> None:
        """Starts no thread yet."""
        self._lock = Lock()
        self._calls: SimpleQueue[_QueuedCall] = SimpleQueue()
        self._is_running = False

    async def run(self, call: Callable[[], Returned]) -> Returned:
        """Returns what a call returns, or raises its error."""
        loop = get_running_loop()
        outcome: Future[Returned] = loop.create_future()
        with self._lock:
            self._calls.put(_QueuedCall(loop, outcome, call))
            if not self._is_running:
                self._is_running = True
                Thread(target=self._work, daemon=True).start()
        return await outcome

    def _work(self) -> None:
        """Performs calls until there is none for a while."""
        while True:
            try:
                queued = self._calls.get(timeout=IDLE_S)
            except Empty:
                if self._end_if_idle():
                    return
            else:
                _perform(queued)

    def _end_if_idle(self) -> bool:
        with self._lock:
            self._is_running = not self._calls.empty()
            return not self._is_running


def _perform(queued: _QueuedCall) -> None:
    """Calls, and passes the outcome to the loop."""
    try:
        returned = queued.call()
    except Exception as error:
        _pass_on(queued, queued.outcome.set_exception, error)
    else:
        _pass_on(queued, queued.outcome.set_result, returned)


def _pass_on(
    queued: _QueuedCall, settle: Callable[[Any], None], outcome: Any
) -> None:
    def settle_if_awaited() -> None:
        if not queued.outcome.done():
            settle(outcome)

    try:
        queued.loop.call_soon_threadsafe(settle_if_awaited)
    except RuntimeError as error:
        _log.warning('disk_call_ended_late', extra={'cause': str(error)})
