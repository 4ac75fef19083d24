"""Sends responses to other daemons, long bodies in slices and in turn.

This handles large responses on a link that is slow for them: a small response
must not wait behind them, nor one large response behind another. A response
that fits in a slice is sent at once. A longer one is queued, and sent slice by
slice: while its stream has little left to send, and while no more than a
window of all streams' slices is on its way.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from bilberry_core.messages.call import ReplyChunk, ReplyStart

from bilberry_proxy.bulk_window import BulkWindow, Flight
from bilberry_proxy.reply_slices import (
    SLICE_BYTES,
    ReplyMessage,
    cut_chunk,
    cut_start,
)


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


class ReplyQueues:
    """The queues of all streams, which share one window."""

    def __init__(self, now: Callable[[], float]) -> None:
        """`now` returns monotonic time, in seconds."""
        self.now = now
        self.window = BulkWindow()
        #: All queues, in the order of their next turns.
        self._queues: dict[ReplyQueue, None] = {}

    def open(self, stream: ReplyStream) -> 'ReplyQueue':
        """Returns the queue of a new stream."""
        queue = ReplyQueue(stream, self)
        self._queues[queue] = None
        return queue

    def close(self, queue: 'ReplyQueue') -> None:
        """Removes the queue of a stream that has ended."""
        self._queues.pop(queue, None)
        self.flush()

    def has_room(self) -> bool:
        """Whether another slice may be sent."""
        now = self.now()
        sent = sum(queue.flight.measure(now) for queue in self._queues)
        return sent < self.window.size

    def flush(self) -> None:
        """Sends one slice of each queue in turn while there is room."""
        is_sending = True
        while is_sending:
            is_sending = False
            for queue in tuple(self._queues):
                if queue.is_ready and self.has_room():
                    is_sending = True
                    queue.send_slice()
                    self._queues[queue] = self._queues.pop(queue)


class ReplyQueue:
    """The responses on one stream that are not completely sent."""

    def __init__(self, stream: ReplyStream, queues: ReplyQueues) -> None:
        """Sends on `stream`; `queues` are those of all streams."""
        self.flight = Flight()
        self._stream = stream
        self._queues = queues
        #: The unsent messages of each call, in the order of their next turns.
        self._unsent: dict[int, deque[ReplyMessage]] = {}

    def __len__(self) -> int:
        """Returns the number of responses with an unsent part."""
        return len(self._unsent)

    @property
    def is_ready(self) -> bool:
        """Whether a slice waits and the stream accepts it."""
        return bool(self._unsent) and self._stream.is_writable

    def start(self, reply: ReplyStart) -> None:
        """Sends a response that fits in a slice, and queues a longer one."""
        if len(reply.body) <= SLICE_BYTES:
            self._send(reply)
            if not reply.last:
                self._record(reply)
            return
        self._unsent[reply.call] = cut_start(reply)
        self._queues.flush()

    def add(self, chunk: ReplyChunk) -> None:
        """Queues more of a response."""
        unsent = self._unsent.setdefault(chunk.call, deque())
        unsent.extend(cut_chunk(chunk))
        self._queues.flush()

    def acknowledge(self, call: int) -> None:
        """Records that the other daemon has received a slice."""
        delay_s = self.flight.acknowledge(call, self._queues.now())
        if delay_s is not None:
            self._queues.window.adapt(delay_s, self.flight.shortest_s)
            self._queues.flush()

    def cancel(self, call: int) -> None:
        """Drops the unsent part of a response."""
        self._unsent.pop(call, None)
        self.flight.cancel(call)

    def close(self) -> None:
        """Drops everything, as the stream has ended."""
        self._unsent.clear()
        self._queues.close(self)

    def flush(self) -> None:
        """Sends what may be sent, as the stream is writable again."""
        self._queues.flush()

    def send_slice(self) -> None:
        """Sends one slice of the response whose turn it is."""
        call, unsent = next(iter(self._unsent.items()))
        self._unsent.pop(call)
        message = unsent.popleft()
        if unsent:
            self._unsent[call] = unsent
        self._record(message)
        self._send(message)

    def _record(self, message: ReplyMessage) -> None:
        size = len(message.body)
        self.flight.send(message.call, size, self._queues.now())

    def _send(self, message: ReplyMessage) -> None:
        if self._stream.is_open:
            self._stream.send(message)
