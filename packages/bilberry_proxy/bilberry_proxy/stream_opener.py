"""Opens the stream to another daemon, with several dials if one is slow.

On a loaded link a dial takes seconds, and one that starts anew takes as long.
So a slow dial goes on while the calls that wait for it are refused, and the
stream is there for later ones.
"""

from asyncio import Task, current_task, get_running_loop
from collections.abc import Coroutine
from typing import Any, Protocol

from bilberry_core.dialing import dial
from bilberry_core.endpoint import Address
from bilberry_core.error import BilberryError
from bilberry_core.handshake import Purpose
from bilberry_core.stream import Credentials, Receiver, Stream

#: Time for which a call waits for a stream to open, in seconds. A dial that
#: takes longer gets another one beside it.
OPEN_WAIT_S = 0.5
#: Maximum number of dials at the same time.
MAX_DIALS = 3


class Dialer(Protocol):
    """A function that opens a stream to another daemon."""

    def __call__(
        self,
        address: Address,
        receiver: Receiver,
    ) -> Coroutine[Any, Any, Stream]:
        """Opens a stream; raises `OSError` or `BilberryError`."""


def build_dialer(credentials: Credentials) -> Dialer:
    """Returns a dialer that opens streams for calls."""

    def dial_call(
        address: Address,
        receiver: Receiver,
    ) -> Coroutine[Any, Any, Stream]:
        return dial(credentials, address, Purpose.CALL, receiver)

    return dial_call


class OpenerListener(Protocol):
    """Callbacks of an opener."""

    def stream_opened(self, stream: Stream) -> None:
        """Called with the first stream that opens."""

    def stream_lost(self, detail: str) -> None:
        """Called when the last dial has failed."""


class StreamOpener:
    """The dials of one other daemon."""

    def __init__(
        self,
        address: Address,
        dialer: Dialer,
        receiver: Receiver,
        listener: OpenerListener,
    ) -> None:
        """Starts without a dial."""
        self._address = address
        self._dialer = dialer
        self._receiver = receiver
        self._listener = listener
        self._dials: set[Task[None]] = set()
        self._last_dial: float = 0

    def request(self) -> bool:
        """Dials if a dial is due; returns whether a call may wait for it."""
        loop = get_running_loop()
        is_recent = loop.time() - self._last_dial < OPEN_WAIT_S
        if self._dials and is_recent:
            return True
        if len(self._dials) >= MAX_DIALS:
            return False
        self._last_dial = loop.time()
        task = loop.create_task(self._connect())
        self._dials.add(task)
        task.add_done_callback(self._dials.discard)
        return True

    def close(self) -> None:
        """Ends every dial."""
        for task in tuple(self._dials):
            task.cancel()

    async def _connect(self) -> None:
        try:
            stream = await self._dialer(self._address, self._receiver)
        except (OSError, BilberryError) as error:
            if len(self._dials) == 1:
                self._listener.stream_lost(str(error))
            return
        others = self._dials - {current_task()}
        self._dials.clear()
        for other in others:
            other.cancel()
        self._listener.stream_opened(stream)
