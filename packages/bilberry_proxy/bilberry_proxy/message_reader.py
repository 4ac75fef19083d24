"""Reads HTTP messages from an h11 connection in steps of bounded work.

The events of one step are passed on together, so that a small message is
handled at once. What is received beyond a step waits for the next one, and
other connections have their turn in between.
"""

from h11 import (
    NEED_DATA,
    PAUSED,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    Event,
    Request,
    Response,
)

from bilberry_proxy.http_events import EventBatch
from bilberry_proxy.message_limits import MessageSize

#: Bytes that are parsed at once. A head has at most twice as many.
SLICE_BYTES = 16 << 10
#: Events and slices of one step. A read of the event loop that fills its
#: buffer (256 KiB) has as many, so that no second one follows in the same turn.
STEP_EVENTS = 32


class MessageReader:
    """The received bytes of one connection, and the message they are of."""

    def __init__(self, http: Connection, received: bytes = b'') -> None:
        """Reads with `http`, from the bytes `received` on."""
        self.has_more = False
        self._http = http
        self._waiting = received
        self._position = 0
        self._has_ended = False
        self._size = MessageSize()
        self._events = 0

    @property
    def unread_size(self) -> int:
        """Number of received bytes that are not parsed."""
        parsing = len(self._http.trailing_data[0])
        return parsing + len(self._waiting) - self._position

    @property
    def unread(self) -> bytes:
        """The bytes received behind the message that was read."""
        waiting = self._waiting[self._position :]
        return self._http.trailing_data[0] + waiting

    def receive(self, received: bytes) -> None:
        """Adds received bytes."""
        if self._position < len(self._waiting):
            self._waiting = self._waiting[self._position :] + received
        else:
            self._waiting = received
        self._position = 0

    def receive_end(self) -> None:
        """Records that the peer sends nothing more."""
        self._has_ended = True

    def read(self) -> EventBatch:
        """Returns the available part of the message, of one step at most.

        `has_more` tells whether a further step may find more. Raises
        `RemoteProtocolError` if the peer violates the protocol or a limit.
        """
        start: Request | Response | None = None
        body: list[bytes] = []
        self._events = 0
        self.has_more = False
        event = self._next()
        while event is not None and not isinstance(event, EndOfMessage):
            if isinstance(event, Data):
                body.append(bytes(event.data))
            elif isinstance(event, Request | Response):
                start = event
            if self._events >= STEP_EVENTS:
                self.has_more = True
                return EventBatch(start, b''.join(body), last=False)
            event = self._next()
        last = event is not None
        if last:
            self._size = MessageSize()
        return EventBatch(start, b''.join(body), last)

    def _next(self) -> Event | None:
        """Returns the next event; None until more is received."""
        event = self._http.next_event()
        while event is NEED_DATA and self._feed():
            event = self._http.next_event()
        if event is NEED_DATA or event is PAUSED:
            return None
        if isinstance(event, ConnectionClosed):
            return None
        self._events += 1
        self._size.add_event(event)
        return event

    def _feed(self) -> bool:
        """Passes a slice to the parser; False if there is none."""
        piece = self._waiting[self._position : self._position + SLICE_BYTES]
        if piece:
            self._position += len(piece)
            self._events += 1
            self._size.add_received(len(piece))
        elif self._has_ended:
            self._has_ended = False
        else:
            return False
        # For h11, empty bytes mark the end of the stream.
        self._http.receive_data(piece)
        return True
