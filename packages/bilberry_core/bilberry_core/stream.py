"""Streams of messages between two daemons, over TCP.

A `Stream` calls its receiver for each message as it arrives, in order. It
closes after invalid input, and after an error of its receiver, without any
effect on other streams.
"""

from asyncio import Protocol, Transport
from collections.abc import Callable
from logging import getLogger
from typing import Any, NamedTuple

from bilberry_core.error import (
    BilberryError,
    HandshakeError,
    StreamClosedError,
)
from bilberry_core.frame import MAX_FRAME_BYTES, FrameReader, encode_frame
from bilberry_core.handshake import MAX_HANDSHAKE_BYTES, Identity, Purpose
from bilberry_core.keepalive import keep_alive
from bilberry_core.messages.compression import Compressor
from bilberry_core.messages.registry import decode_message, pack_message
from bilberry_core.messages.salvage import RefusedRecords
from bilberry_core.traffic import Traffic, TrafficCounter

_log = getLogger(__name__)

Receiver = Callable[[Any], None]


class Credentials(NamedTuple):
    """The identity and secret of a daemon for its fleet's streams.

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
    """A stream, created by `dialing.dial` or a `StreamListener`.

    `receiver` is called with each message, `on_close` once after the end,
    `on_writable` when a peer that had fallen behind has caught up.
    """

    def __init__(self) -> None:
        self.identity: Identity | None = None
        self.receiver: Receiver = _ignore
        self.on_close: Callable[[], None] = _do_nothing
        self.on_writable: Callable[[], None] = _do_nothing
        self.bytes_sent = 0
        self.bytes_received = 0
        self._counter = TrafficCounter()
        self._compressor = Compressor()
        self._reader = FrameReader(MAX_HANDSHAKE_BYTES)
        self._transport: Transport | None = None
        self._is_writable = True
        self._on_payload: Callable[[bytes], None] = _ignore

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_writable(self) -> bool:
        """Whether the peer keeps up with the sent messages."""
        return self._is_writable

    @property
    def _dialer(self) -> str:
        """The instance that dialed the stream; empty before the handshake."""
        return self.identity.instance if self.identity else ''

    def send(self, sent: Any) -> None:
        """Sends a message; raises `StreamClosedError` on a closed stream."""
        packed = pack_message(sent)
        self.send_encoded(self._compressor.compress(type(sent), packed))

    def send_encoded(self, encoded: bytes) -> None:
        """Sends an encoded message, which several streams may share."""
        if not self.is_open:
            raise StreamClosedError('the stream is closed')
        payload = encode_frame(encoded)
        self.bytes_sent += len(payload)
        self._counter.sent += len(payload)
        self._transport.write(payload)

    def limit_buffer(self, size: int) -> None:
        """Lets at most `size` bytes wait here before it isn't writable."""
        self._transport.set_write_buffer_limits(high=size)

    def close(self) -> None:
        """Closes the stream after sending the buffered messages."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Transport) -> None:
        """Called by the event loop."""
        self._transport = transport
        keep_alive(transport)

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
        except Exception:
            _log.exception('stream_failed', extra={'dialer': self._dialer})
            self.close()

    def pause_writing(self) -> None:
        """Called by the event loop when the peer falls behind."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Called by the event loop when the peer has caught up."""
        self._is_writable = True
        self.on_writable()

    def connection_lost(self, _error: Exception | None) -> None:
        """Called by the event loop."""
        self._transport = None
        self._is_writable = True
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
        self.receiver(decode_message(payload, self._on_refused))

    def _on_refused(self, refused: RefusedRecords) -> None:
        self._counter.refused += refused.count
        _log.warning(
            'record_refused',
            extra={
                'dialer': self._dialer,
                'kind': refused.kind,
                'records': refused.count,
                'cause': refused.cause,
            },
        )

    def _send_raw(self, payload: bytes) -> None:
        if self._transport is None:
            raise HandshakeError('the stream closed during its handshake')
        self._transport.write(encode_frame(payload))


def _ignore(_received: Any) -> None:
    """Discards messages that arrive before a receiver is set."""


def _do_nothing() -> None:
    """Serves as the default close handler."""
