"""Streams of messages between two daemons, over TCP.

A `Stream` calls its receiver for each message as it arrives, in order. After
garbage it closes, and nothing else is affected. `drained` waits while the
other side reads too slowly.
"""

from asyncio import (
    CancelledError,
    Event,
    Future,
    Protocol,
    Server,
    Transport,
    get_running_loop,
)
from asyncio import timeout as limit_time
from collections.abc import Callable
from logging import getLogger
from os import urandom
from typing import Any, NamedTuple

from bilberry_core.endpoint import Address
from bilberry_core.error import (
    BilberryError,
    FrameError,
    HandshakeError,
    StreamClosedError,
)
from bilberry_core.frame import MAX_FRAME_BYTES, FrameReader, frame
from bilberry_core.handshake import (
    MAX_HANDSHAKE_BYTES,
    NONCE_BYTES,
    Identity,
    Purpose,
    build_hello,
    build_proof,
    check_hello,
    check_proof,
)
from bilberry_core.messages.registry import decode_message, encode_message
from bilberry_core.traffic import Traffic, TrafficCounter

_log = getLogger(__name__)

#: Longest time to connect and prove the secret, in seconds.
HANDSHAKE_TIMEOUT_S = 3.0

Receiver = Callable[[Any], None]


class Credentials(NamedTuple):
    """What a daemon needs to take part in its fleet's streams.

    `traffic` counts the bytes of its streams; None counts nothing.
    """

    fleet: str
    instance: str
    secret: bytes
    traffic: Traffic | None = None

    def get_counter(self, purpose: Purpose) -> TrafficCounter:
        """Returns the counter of a purpose."""
        if self.traffic is None:
            return TrafficCounter()
        return self.traffic.get_counter(purpose)


class Stream(Protocol):
    """One open stream; made by `dial` or by a `StreamListener`.

    `receiver` is called with each message, `on_close` once at the end.
    """

    def __init__(self) -> None:
        """Starts unconnected."""
        self.identity: Identity | None = None
        self.receiver: Receiver = _ignore
        self.on_close: Callable[[], None] = _do_nothing
        self.bytes_sent = 0
        self.bytes_received = 0
        self._counter = TrafficCounter()
        self._reader = FrameReader(MAX_HANDSHAKE_BYTES)
        self._transport: Transport | None = None
        self._writable = Event()
        self._writable.set()
        self._on_payload: Callable[[bytes], None] = _ignore

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_writable(self) -> bool:
        """Whether the other side keeps up with what was sent."""
        return self._writable.is_set()

    def send(self, sent: Any) -> None:
        """Sends a message; raises `StreamClosedError` after the end."""
        self.send_encoded(encode_message(sent))

    def send_encoded(self, encoded: bytes) -> None:
        """Sends a message that is encoded already, shared by receivers."""
        if not self.is_open:
            raise StreamClosedError('the stream is closed')
        payload = frame(encoded)
        self.bytes_sent += len(payload)
        self._counter.sent += len(payload)
        self._transport.write(payload)

    async def drained(self) -> None:
        """Waits until the other side has read enough of what was sent."""
        await self._writable.wait()

    def close(self) -> None:
        """Ends the stream after what was sent."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Transport) -> None:
        """Called by the event loop."""
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Called by the event loop."""
        self.bytes_received += len(received)
        self._counter.received += len(received)
        try:
            for payload in self._reader.feed(received):
                self._on_payload(payload)
        except BilberryError as error:
            _log.warning('stream_closed', extra={'cause': str(error)})
            self.close()

    def pause_writing(self) -> None:
        """Called by the event loop when the other side falls behind."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Called by the event loop when the other side has caught up."""
        self._writable.set()

    def connection_lost(self, _error: Exception | None) -> None:
        """Called by the event loop."""
        self._transport = None
        self._writable.set()
        self.on_close()

    def _begin_messages(
        self,
        identity: Identity,
        counter: TrafficCounter,
    ) -> None:
        self.identity = identity
        self._counter = counter
        self._reader.max_frame_bytes = MAX_FRAME_BYTES
        self._on_payload = self._receive_payload

    def _receive_payload(self, payload: bytes) -> None:
        self.receiver(decode_message(payload))

    def _send_raw(self, payload: bytes) -> None:
        if self._transport is None:
            raise HandshakeError('the stream closed during its handshake')
        self._transport.write(frame(payload))


class StreamListener:
    """Accepts streams and hands each to the handler of its purpose.

    A handler is called with the open stream and must set its receiver.
    """

    def __init__(self, credentials: Credentials) -> None:
        """Accepts streams of the credentials' fleet."""
        self._credentials = credentials
        self._handlers: dict[Purpose, Callable[[Stream], None]] = {}
        self._server: Server | None = None
        self._streams: set[Stream] = set()

    def handle(
        self,
        purpose: Purpose,
        handler: Callable[[Stream], None],
    ) -> None:
        """Hands streams of this purpose to `handler`."""
        self._handlers[purpose] = handler

    async def listen(self, address: Address) -> Address:
        """Starts to accept and returns the address bound."""
        loop = get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            address.host,
            address.port,
            backlog=1024,
        )
        bound = self._server.sockets[0].getsockname()
        return Address(bound[0], bound[1])

    def close(self) -> None:
        """Stops accepting and closes every accepted stream."""
        if self._server is not None:
            self._server.close()
        for stream in tuple(self._streams):
            stream.close()

    def stop_accepting(self) -> None:
        """Stops accepting and leaves the accepted streams open."""
        if self._server is not None:
            self._server.close()

    def _accept(self) -> Stream:
        return _AcceptedStream(
            self._credentials,
            self._handlers,
            self._streams,
        )


async def dial(
    credentials: Credentials,
    address: Address,
    purpose: Purpose,
    receiver: Receiver = lambda _message: None,
) -> Stream:
    """Opens a stream; raises `OSError` or `HandshakeError`."""
    identity = Identity(credentials.fleet, credentials.instance, purpose)
    stream = _DialedStream(credentials, identity)
    stream.receiver = receiver
    loop = get_running_loop()
    try:
        async with limit_time(HANDSHAKE_TIMEOUT_S):
            await loop.create_connection(lambda: stream, *address)
            await stream.ready
    except TimeoutError as error:
        stream.close()
        raise HandshakeError(f'no answer from {address}') from error
    except (CancelledError, HandshakeError, OSError):
        stream.close()
        raise
    return stream


class _AcceptedStream(Stream):
    """The listener's side: challenge, check the hello, prove the secret."""

    def __init__(
        self,
        credentials: Credentials,
        handlers: dict[Purpose, Callable[[Stream], None]],
        streams: set[Stream],
    ) -> None:
        super().__init__()
        self._credentials = credentials
        self._handlers = handlers
        self._streams = streams
        self._challenge = urandom(NONCE_BYTES)
        self._on_payload = self._receive_hello
        self._timer = get_running_loop().call_later(
            HANDSHAKE_TIMEOUT_S,
            self.close,
        )

    def connection_made(self, transport: Transport) -> None:
        super().connection_made(transport)
        self._streams.add(self)
        self._send_raw(self._challenge)

    def connection_lost(self, error: Exception | None) -> None:
        self._timer.cancel()
        self._streams.discard(self)
        super().connection_lost(error)

    def _receive_hello(self, hello: bytes) -> None:
        identity, proof = check_hello(
            self._credentials.secret,
            self._credentials.fleet,
            self._challenge,
            hello,
        )
        handler = self._handlers.get(identity.purpose)
        if handler is None:
            raise FrameError(f'no role here for purpose "{identity.purpose}"')
        self._timer.cancel()
        self._send_raw(proof)
        counter = self._credentials.get_counter(identity.purpose)
        self._begin_messages(identity, counter)
        handler(self)


class _DialedStream(Stream):
    """The dialer's side: answer the challenge, check the proof."""

    def __init__(self, credentials: Credentials, identity: Identity) -> None:
        super().__init__()
        self.ready: Future[None] = get_running_loop().create_future()
        self._credentials = credentials
        self._dialed = identity
        self._nonce = urandom(NONCE_BYTES)
        self._expected_proof = b''
        self._on_payload = self._receive_challenge

    def connection_lost(self, error: Exception | None) -> None:
        if not self.ready.done():
            self.ready.set_exception(HandshakeError('closed by the listener'))
        super().connection_lost(error)

    def _receive_challenge(self, challenge: bytes) -> None:
        self._expected_proof = build_proof(
            self._credentials.secret,
            self._nonce,
            challenge,
        )
        self._on_payload = self._receive_proof
        self._send_raw(
            build_hello(
                self._credentials.secret,
                self._dialed,
                challenge,
                self._nonce,
            ),
        )

    def _receive_proof(self, proof: bytes) -> None:
        check_proof(proof, self._expected_proof)
        counter = self._credentials.get_counter(self._dialed.purpose)
        self._begin_messages(self._dialed, counter)
        if not self.ready.done():
            self.ready.set_result(None)


def _ignore(_received: Any) -> None:
    """Discards what arrives before a receiver is set."""


def _do_nothing() -> None:
    """Stands in for a close handler that was not set."""
