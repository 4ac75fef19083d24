"""Sends responses to another daemon, long bodies in slices and in turn.

This handles large responses on a link that is slow for them: a small response
must not wait behind them, nor one large response behind another. A response
that fits in a slice is sent at once. The rest of a longer one is queued, and
sent slice by slice while the stream has little left to send.
"""

from collections import deque
from typing import Any, Protocol

from bilberry_core.messages.call import ReplyChunk, ReplyStart

#: Longest part of a body that is sent as one message, in bytes.
SLICE_BYTES = 16 << 10

ReplyMessage = ReplyStart | ReplyChunk


class ReplyStream(Protocol):
    """The stream to the daemon that opened the calls."""

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""

    @property
    def is_writable(self) -> bool:
        """Whether the peer keeps up with the sent messages."""

    def send(self, sent: Any) -> None:
        """Sends a message."""


class ReplyQueue:
    """The responses on one stream that are not completely sent."""

    def __init__(self, stream: ReplyStream) -> None:
        """Sends on `stream`; `flush` is due whenever it becomes writable."""
        self._stream = stream
        #: The unsent messages of each call, in the order of their next turns.
        self._unsent: dict[int, deque[ReplyMessage]] = {}

    def __len__(self) -> int:
        """Returns the number of responses with an unsent part."""
        return len(self._unsent)

    def start(self, reply: ReplyStart) -> None:
        """Sends a response that fits in a slice, and queues a longer one."""
        body = reply.body
        if len(body) <= SLICE_BYTES:
            self._send(reply)
            return
        first = reply._replace(body=body[:SLICE_BYTES], last=False)
        rest = ReplyChunk(reply.call, body[SLICE_BYTES:], reply.last)
        self._unsent[reply.call] = deque((first, *_cut(rest)))
        self.flush()

    def add(self, chunk: ReplyChunk) -> None:
        """Queues more of a response."""
        unsent = self._unsent.setdefault(chunk.call, deque())
        unsent.extend(_cut(chunk))
        self.flush()

    def cancel(self, call: int) -> None:
        """Drops the unsent part of a response."""
        self._unsent.pop(call, None)

    def clear(self) -> None:
        """Drops everything, as the stream has ended."""
        self._unsent.clear()

    def flush(self) -> None:
        """Sends slices of each response in turn while the stream accepts."""
        while self._unsent and self._stream.is_writable:
            call, unsent = next(iter(self._unsent.items()))
            self._unsent.pop(call)
            message = unsent.popleft()
            if unsent:
                self._unsent[call] = unsent
            self._send(message)

    def _send(self, message: ReplyMessage) -> None:
        if self._stream.is_open:
            self._stream.send(message)


def _cut(chunk: ReplyChunk) -> list[ReplyChunk]:
    """Returns the slices of a chunk; the last one ends the response if it does.

    An empty chunk is returned as it is.
    """
    body = chunk.body
    if len(body) <= SLICE_BYTES:
        return [chunk]
    slices = [
        chunk._replace(body=body[start : start + SLICE_BYTES], last=False)
        for start in range(0, len(body), SLICE_BYTES)
    ]
    slices[-1] = slices[-1]._replace(last=chunk.last)
    return slices
