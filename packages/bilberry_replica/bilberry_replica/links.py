"""Streams to the other replicas, one dialled to each and kept open.

A message that can't be sent is dropped, since consensus repeats it.
"""

from asyncio import Event, Task, create_task, sleep
from asyncio import timeout as limit_time
from collections.abc import Callable
from logging import getLogger
from typing import Any

from bilberry_core.clock import RandomSource
from bilberry_core.dialing import dial
from bilberry_core.endpoint import Address
from bilberry_core.error import HandshakeError, StreamClosedError
from bilberry_core.handshake import Purpose
from bilberry_core.listener import StreamListener
from bilberry_core.stream import Credentials, Stream

_log = getLogger(__name__)

_MIN_WAIT_S = 0.05
_MAX_WAIT_S = 1.0
#: Silence after which a stream is redialled, in seconds.
_SILENCE_S = 1.0

Receive = Callable[[str, Any], None]


class Link:
    """The stream dialled to one replica."""

    def __init__(
        self,
        credentials: Credentials,
        address: Address,
        random: RandomSource,
        receive: Receive,
    ) -> None:
        """Starts closed; `keep_open` dials."""
        self.stream: Stream | None = None
        self._credentials = credentials
        self._address = address
        self._random = random
        self._receive = receive
        self._is_closed = False

    def close(self) -> None:
        """Stops dialling, even if a cancellation of `keep_open` was lost."""
        self._is_closed = True
        if self.stream is not None:
            self.stream.close()

    async def keep_open(self, instance: str) -> None:
        """Redials whenever the stream has ended."""
        wait_s = _MIN_WAIT_S
        while not self._is_closed:
            try:
                await self._run_stream(instance)
                wait_s = _MIN_WAIT_S
            except (OSError, HandshakeError) as error:
                _log.debug(
                    'replica_unreachable',
                    extra={'replica': instance, 'cause': str(error)},
                )
            await sleep(self._random.uniform(wait_s / 2, wait_s))
            wait_s = min(wait_s * 2, _MAX_WAIT_S)

    async def _run_stream(self, instance: str) -> None:
        closed = Event()
        stream = await dial(
            self._credentials,
            self._address,
            Purpose.REPLICA,
            lambda message: self._receive(instance, message),
        )
        stream.on_close = closed.set
        if self._is_closed or not stream.is_open:
            stream.close()
            return
        self.stream = stream
        try:
            await _wait_until_silent(stream, closed)
        finally:
            self.stream = None
            stream.close()


class Links:
    """Streams to all known replicas."""

    def __init__(
        self,
        credentials: Credentials,
        random: RandomSource,
    ) -> None:
        """Starts without any streams."""
        self._credentials = credentials
        self._random = random
        self._receive: Receive = _ignore
        self._dialled: dict[str, tuple[Address, Link, Task]] = {}
        self._accepted: dict[str, Stream] = {}

    def accept_from(
        self,
        listener: StreamListener,
        receive: Receive,
    ) -> None:
        """Accepts streams that other replicas dial.

        Calls `receive` with the sender and each message.
        """
        self._receive = receive
        listener.handle(Purpose.REPLICA, self._accept)

    def set_peers(self, addresses: dict[str, Address]) -> None:
        """Dials these replicas, and closes dialled streams to any others."""
        for instance in self._dialled.keys() - addresses.keys():
            self._disconnect(instance)
        for instance, address in addresses.items():
            self._connect(instance, address)

    def send(self, instance: str, message: Any) -> bool:
        """Sends a message; returns False if no stream accepts it."""
        for stream in self._list_streams(instance):
            if stream.is_open and stream.is_writable:
                return _try_send(stream, message)
        return False

    def close(self) -> None:
        """Closes every stream."""
        self.set_peers({})
        for stream in tuple(self._accepted.values()):
            stream.close()

    def _connect(self, instance: str, address: Address) -> None:
        known = self._dialled.get(instance)
        if known is not None and known[0] == address:
            return
        if known is not None:
            self._disconnect(instance)
        link = Link(
            self._credentials,
            address,
            self._random,
            self._receive,
        )
        task = create_task(link.keep_open(instance))
        self._dialled[instance] = (address, link, task)

    def _disconnect(self, instance: str) -> None:
        _, link, task = self._dialled.pop(instance)
        link.close()
        task.cancel()

    def _list_streams(self, instance: str) -> list[Stream]:
        known = self._dialled.get(instance)
        streams = [known[1].stream if known else None]
        streams.append(self._accepted.get(instance))
        return [stream for stream in streams if stream is not None]

    def _accept(self, stream: Stream) -> None:
        instance = stream.identity.instance
        self._accepted[instance] = stream
        stream.receiver = lambda message: self._receive(instance, message)
        stream.on_close = lambda: self._remove_accepted(instance, stream)

    def _remove_accepted(self, instance: str, stream: Stream) -> None:
        if self._accepted.get(instance) is stream:
            self._accepted.pop(instance)


async def _wait_until_silent(stream: Stream, closed: Event) -> None:
    """Waits until a stream closes or is silent.

    It is silent if it sent data but received none within `_SILENCE_S`.
    """
    while not closed.is_set():
        before = (stream.bytes_sent, stream.bytes_received)
        try:
            async with limit_time(_SILENCE_S):
                await closed.wait()
        except TimeoutError:
            if _is_silent(stream, before):
                return


def _is_silent(stream: Stream, before: tuple[int, int]) -> bool:
    sent, received = before
    return stream.bytes_sent > sent and stream.bytes_received == received


def _try_send(stream: Stream, message: Any) -> bool:
    try:
        stream.send(message)
    except StreamClosedError:
        return False
    return True


def _ignore(_sender: str, _message: Any) -> None:
    """Discards messages that arrive before a receiver is set."""
