"""Streams to claim holders that are reopened after a failure.

Messages sent while a stream is not open are queued, up to a limit. They may
be lost; the sender repeats them.
"""

from asyncio import Task, create_task, get_running_loop, sleep
from collections import deque
from collections.abc import Callable
from logging import getLogger
from typing import Any

from bilberry_core.board import Holder
from bilberry_core.dialing import dial
from bilberry_core.endpoint import Address
from bilberry_core.error import BilberryError
from bilberry_core.handshake import Purpose
from bilberry_core.stream import Credentials, Stream

_log = getLogger(__name__)

#: Most messages queued until the stream opens; the oldest are dropped.
_MAX_WAITING = 1024
#: Delay after a failed attempt to open a stream, in seconds.
_REDIAL_DELAY_S = 0.2
#: Time without a reply after which the stream is reopened, in seconds.
_SILENCE_TIMEOUT_S = 3.0

HolderReceiver = Callable[[str, Any], None]


class HolderLink:
    """Connection to one holder; passes its replies to `receiver`."""

    def __init__(
        self,
        credentials: Credentials,
        holder: Holder,
        receiver: HolderReceiver,
    ) -> None:
        """Opens the stream with the first message."""
        self.holder = holder
        self._credentials = credentials
        self._receiver = receiver
        self._stream: Stream | None = None
        self._opening: Task[None] | None = None
        self._waiting: deque[Any] = deque(maxlen=_MAX_WAITING)
        self._is_closed = False
        self._is_outage_logged = False
        self._unanswered_since: float | None = None

    def send(self, message: Any) -> None:
        """Sends a message, or queues it until the stream is open."""
        if self._is_closed:
            return
        if self._is_silent():
            self._stream.close()
        if self._stream is not None and self._stream.is_open:
            self._stream.send(message)
            return
        self._waiting.append(message)
        if self._opening is None:
            self._opening = create_task(self._open())

    def close(self) -> None:
        """Closes the stream permanently and drops queued messages."""
        self._is_closed = True
        self._waiting.clear()
        if self._opening is not None:
            self._opening.cancel()
        if self._stream is not None:
            self._stream.close()

    def _is_silent(self) -> bool:
        """Returns whether an open stream has had no reply for too long.

        Starts the measurement at the first message after a reply.
        """
        if self._stream is None or not self._stream.is_open:
            return False
        now = get_running_loop().time()
        if self._unanswered_since is None:
            self._unanswered_since = now
        return now - self._unanswered_since > _SILENCE_TIMEOUT_S

    async def _open(self) -> None:
        address = Address(self.holder.host, self.holder.port)
        self._unanswered_since = None
        try:
            self._stream = await dial(
                self._credentials,
                address,
                Purpose.CLAIM,
                self._receive,
            )
        except (OSError, BilberryError) as error:
            self._log_outage(str(error))
            await sleep(_REDIAL_DELAY_S)
            self._waiting.clear()
            return
        finally:
            self._opening = None
        self._is_outage_logged = False
        while self._waiting and self._stream.is_open:
            self._stream.send(self._waiting.popleft())

    def _log_outage(self, cause: str) -> None:
        """Logs the first failure of an outage."""
        if self._is_outage_logged:
            return
        self._is_outage_logged = True
        _log.warning(
            'claim_holder_unreachable',
            extra={'holder': self.holder.instance, 'cause': cause},
        )

    def _receive(self, message: Any) -> None:
        self._unanswered_since = None
        self._receiver(self.holder.instance, message)


class HolderLinks:
    """Links to several holders, by instance."""

    def __init__(
        self,
        credentials: Credentials,
        receiver: HolderReceiver,
    ) -> None:
        """Opens the stream to a holder with the first message to it."""
        self._credentials = credentials
        self._receiver = receiver
        self._links: dict[str, HolderLink] = {}

    def send(self, instance: str, holder: Holder | None, message: Any) -> None:
        """Sends to a holder; follows a change of its address.

        Without `holder` the last known address is used; without any the
        message is dropped.
        """
        link = self._links.get(instance)
        if holder is not None and (link is None or link.holder != holder):
            link = self._replace(holder)
        if link is not None:
            link.send(message)

    def close(self) -> None:
        """Closes all links permanently."""
        for link in self._links.values():
            link.close()

    def _replace(self, holder: Holder) -> HolderLink:
        outdated = self._links.get(holder.instance)
        if outdated is not None:
            outdated.close()
        link = HolderLink(self._credentials, holder, self._receiver)
        self._links[holder.instance] = link
        return link
