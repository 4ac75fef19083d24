"""A stream to one holder that is opened again after it is lost.

Messages sent while it is not open wait, up to a bound; they may be lost, and
whoever sends them repeats them.
"""

from asyncio import Task, create_task
from collections import deque
from collections.abc import Callable
from logging import getLogger
from typing import Any

from bilberry_core.board import Holder
from bilberry_core.endpoint import Address
from bilberry_core.error import BilberryError
from bilberry_core.handshake import Purpose
from bilberry_core.stream import Credentials, Stream, dial

_log = getLogger(__name__)

#: Messages that wait for the stream to open; older ones are dropped.
_MAX_WAITING = 1024

HolderReceiver = Callable[[str, Any], None]


class HolderLink:
    """Sends to one holder and passes on what it sends back."""

    def __init__(
        self,
        credentials: Credentials,
        holder: Holder,
        receiver: HolderReceiver,
    ) -> None:
        """Starts closed; the first message opens the stream."""
        self.holder = holder
        self._credentials = credentials
        self._receiver = receiver
        self._stream: Stream | None = None
        self._opening: Task[None] | None = None
        self._waiting: deque[Any] = deque(maxlen=_MAX_WAITING)
        self._is_closed = False

    def send(self, message: Any) -> None:
        """Sends a message, now or once the stream is open."""
        if self._is_closed:
            return
        if self._stream is not None and self._stream.is_open:
            self._stream.send(message)
            return
        self._waiting.append(message)
        if self._opening is None:
            self._opening = create_task(self._open())

    def close(self) -> None:
        """Closes the stream, for good, and drops what waits."""
        self._is_closed = True
        self._waiting.clear()
        if self._opening is not None:
            self._opening.cancel()
        if self._stream is not None:
            self._stream.close()

    async def _open(self) -> None:
        address = Address(self.holder.host, self.holder.port)
        try:
            self._stream = await dial(
                self._credentials,
                address,
                Purpose.CLAIM,
                self._receive,
            )
        except (OSError, BilberryError) as error:
            _log.warning(
                'claim_holder_unreachable',
                extra={'holder': self.holder.instance, 'cause': str(error)},
            )
            self._waiting.clear()
            return
        finally:
            self._opening = None
        while self._waiting and self._stream.is_open:
            self._stream.send(self._waiting.popleft())

    def _receive(self, message: Any) -> None:
        self._receiver(self.holder.instance, message)
