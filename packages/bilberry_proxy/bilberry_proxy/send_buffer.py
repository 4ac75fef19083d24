"""The bytes of responses that wait at a proxy for their caller.

A response that is complete here may still wait in the send buffer of its
connection. So the latest complete responses are remembered until their bytes
have left the buffer.
"""

from asyncio import Transport
from collections import deque
from typing import NamedTuple

from bilberry_proxy.response_track import (
    CutCause,
    ResponseTrack,
    WaitingBytes,
)

#: Complete responses of one connection that are remembered at most.
MAX_REMEMBERED = 64
#: Bytes of a response that wait for earlier ones before no more is asked for.
MAX_PENDING_BYTES = 64 << 10
#: Bytes of a response that are held back until it is whole.
MAX_HELD_BYTES = 256 << 10


class WrittenResponse(NamedTuple):
    """A complete response, from its first to behind its last byte.

    Bytes are counted from the begin of the connection.
    """

    start: int
    end: int
    track: ResponseTrack


class SendBuffer:
    """What is written to the connection of a caller."""

    def __init__(self) -> None:
        """Starts without a connection."""
        self._transport: Transport | None = None
        self._written = 0
        self._complete = 0
        self._unread = 0
        self._responses: deque[WrittenResponse] = deque(maxlen=MAX_REMEMBERED)

    @property
    def size(self) -> int:
        """The bytes that wait; 0 without a connection."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def open(self, transport: Transport) -> None:
        """Sends on a new connection."""
        self._transport = transport

    def write(self, raw: bytes) -> None:
        """Sends bytes, unless the connection is lost."""
        transport = self._transport
        if transport is not None:
            transport.write(raw)
            self._written += len(raw)
            # A transport that is lost doesn't tell what it dropped.
            self._unread = transport.get_write_buffer_size()

    def finish(self, track: ResponseTrack | None) -> None:
        """Records that all bytes of a response are written."""
        start = self._complete
        self._complete = self._written
        if self._unread and track is not None:
            self._responses.append(WrittenResponse(start, self._written, track))

    def measure_incomplete(self) -> int:
        """Returns the bytes that wait of the response that is being sent."""
        self.look()
        return min(self._unread, self._written - self._complete)

    def look(self) -> None:
        """Forgets complete responses of which no byte waits any more."""
        if self._transport is None:
            return
        self._unread = self.size
        sent = self._written - self._unread
        while self._responses and self._responses[0].end <= sent:
            self._responses.popleft()

    def report_cut(self, cause: CutCause) -> None:
        """Tells of each complete response of which bytes still wait."""
        sent = self._written - self._unread
        for start, end, track in self._responses:
            unread = end - max(start, sent)
            if unread > 0:
                track.report_cut(cause, WaitingBytes(unread=unread))
        self._responses.clear()

    def abort(self, cause: CutCause) -> None:
        """Resets the connection, which drops the bytes that wait."""
        self.look()
        self.report_cut(cause)
        if self._transport is not None:
            self._transport.abort()
        self._transport = None

    def close(self, error: Exception | None) -> None:
        """Ends with the connection; without an error all bytes were sent."""
        self._transport = None
        if error is None:
            self._unread = 0
        self.report_cut(CutCause.CALLER)


class ResponseOutput:
    """The bytes of one response, which may have to wait.

    They wait for earlier responses, or are held back until the response is
    whole.
    """

    def __init__(self, buffer: SendBuffer) -> None:
        """Starts behind earlier responses, with nothing written."""
        self.is_first = False
        #: Whether the caller may have a part of the response.
        self.has_passed = False
        self._is_held = False
        self._buffer = buffer
        self._pending: list[bytes] = []
        self._pending_bytes = 0

    @property
    def has_room(self) -> bool:
        """Whether more of the response may be asked for."""
        limit = MAX_HELD_BYTES if self.is_first else MAX_PENDING_BYTES
        return self._pending_bytes <= limit

    def measure_waiting(self) -> WaitingBytes:
        """Returns the bytes of the response that wait here."""
        if self.has_passed:
            return WaitingBytes(unread=self._buffer.measure_incomplete())
        return WaitingBytes(pending=self._pending_bytes)

    def write(self, raw: bytes) -> None:
        """Sends bytes, or keeps them while the response has to wait."""
        if not raw:
            return
        self._pending.append(raw)
        self._pending_bytes += len(raw)
        self._flush()

    def become_first(self) -> None:
        """Sends what was kept: all earlier responses are complete."""
        self.is_first = True
        self._flush()

    def hold(self) -> None:
        """Keeps the response back, unless a part of it was sent.

        A longer one than `MAX_HELD_BYTES` is sent as it comes.
        """
        self._is_held = not self.has_passed

    def release(self) -> None:
        """Sends what was kept: the response is whole."""
        self._is_held = False
        self._flush()

    def clear(self) -> None:
        """Drops what is kept."""
        self._pending.clear()
        self._pending_bytes = 0

    def _flush(self) -> None:
        if self._pending_bytes > MAX_HELD_BYTES:
            self._is_held = False
        if not self.is_first or self._is_held or not self._pending:
            return
        pending = b''.join(self._pending)
        self.clear()
        self.has_passed = True
        self._buffer.write(pending)
