"""Sends responses to other daemons, long bodies in slices and in turn.

This handles large responses on a link that is slow for them: a small response
must not wait behind them, nor one large response behind another. A response
that fits in a slice is sent at once. A longer one is queued, and sent slice by
slice: while its stream has little left to send, and while no more than a
window of all streams' slices is on its way.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from bilberry_core.messages.call import ReplyChunk, ReplyStart

from bilberry_proxy.bulk_window import BulkWindow, Flight
from bilberry_proxy.http_headers import Headers
from bilberry_proxy.reply_drop import (
    BegunReplies,
    DropCause,
    LeftBytes,
    ReplyDropLog,
)
from bilberry_proxy.reply_slices import ReplyMessage, cut_slice


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

    def __init__(
        self,
        now: Callable[[], float],
        drops: ReplyDropLog = ReplyDropLog(),
    ) -> None:
        """`now` returns monotonic time, in seconds."""
        self.now = now
        self.drops = drops
        self.window = BulkWindow()
        #: The queues with unsent responses, in the order of their next turns.
        self._waiting: dict[ReplyQueue, None] = {}
        #: The queues with slices on their way.
        self._flying: set[ReplyQueue] = set()

    def open(self, stream: ReplyStream) -> 'ReplyQueue':
        """Returns the queue of a new stream."""
        return ReplyQueue(stream, self)

    def add_waiting(self, queue: 'ReplyQueue') -> None:
        """Gives turns to a queue that has an unsent response."""
        self._waiting.setdefault(queue)
        self.flush()

    def update_flying(self, queue: 'ReplyQueue') -> None:
        """Records whether a queue has slices on their way."""
        if queue.flight:
            self._flying.add(queue)
        else:
            self._flying.discard(queue)

    def close(self, queue: 'ReplyQueue') -> None:
        """Removes the queue of a stream that has ended."""
        self._waiting.pop(queue, None)
        self._flying.discard(queue)
        self.flush()

    def has_room(self) -> bool:
        """Whether another slice may be sent."""
        now = self.now()
        sent = sum(queue.flight.measure(now) for queue in self._flying)
        return not sent or sent + self.window.slice_bytes <= self.window.size

    def flush(self) -> None:
        """Sends one slice of each queue in turn while there is room."""
        skipped = 0
        while skipped < len(self._waiting) and self.has_room():
            queue = next(iter(self._waiting))
            self._waiting.pop(queue)
            if queue.is_ready:
                queue.send_slice(self.window.slice_bytes)
                skipped = 0
            else:
                skipped += 1
            if queue:
                self._waiting[queue] = None


class ReplyQueue:
    """The responses on one stream that are not completely sent."""

    def __init__(self, stream: ReplyStream, queues: ReplyQueues) -> None:
        """Sends on `stream`; `queues` are those of all streams."""
        self.flight = Flight()
        self._stream = stream
        self._queues = queues
        self._begun = BegunReplies(queues.drops)
        #: The unsent messages of each call, in the order of their next turns.
        self._unsent: dict[int, deque[ReplyMessage]] = {}

    def __len__(self) -> int:
        """Returns the number of responses with an unsent part."""
        return len(self._unsent)

    @property
    def left(self) -> LeftBytes:
        """The bytes of all responses that the other daemon has not got."""
        unsent = sum(_measure(parts) for parts in self._unsent.values())
        return LeftBytes(unsent, self.flight.size)

    @property
    def is_ready(self) -> bool:
        """Whether a slice waits and the stream accepts it."""
        return bool(self._unsent) and self._stream.is_writable

    def start(self, reply: ReplyStart, request: Headers = ()) -> None:
        """Sends a response that fits in a slice, and queues a longer one.

        `request` are the headers of the request.
        """
        is_short = len(reply.body) <= self._queues.window.slice_bytes
        if not is_short or not reply.last:
            self._begun.begin(reply.call, request, self._queues.now())
        if is_short:
            self._send(reply)
            if not reply.last:
                self._record(reply)
            return
        self._add(reply)

    def add(self, chunk: ReplyChunk) -> None:
        """Queues more of a response."""
        self._add(chunk)

    def acknowledge(self, call: int) -> None:
        """Records that the other daemon has received a slice."""
        now = self._queues.now()
        arrived = self.flight.acknowledge(call, now)
        if arrived is not None:
            self._begun.acknowledge(call, call in self.flight)
            self._queues.window.adapt(arrived, self.flight.shortest_s, now)
            self._queues.update_flying(self)
            self._queues.flush()

    def cancel(
        self,
        call: int,
        cause: DropCause = DropCause.CANCELLED,
    ) -> None:
        """Drops the unsent part of a response."""
        self._drop(call, cause)
        self._unsent.pop(call, None)
        self.flight.cancel(call)
        self._queues.update_flying(self)

    def report_drops(self, cause: DropCause) -> None:
        """Tells of the responses that are not sent whole any more."""
        for call in self._begun:
            self._drop(call, cause)

    def close(self) -> None:
        """Drops everything, as the stream has ended."""
        self.report_drops(DropCause.STREAM_ENDED)
        self._unsent.clear()
        self._queues.close(self)

    def flush(self) -> None:
        """Sends what may be sent, as the stream is writable again."""
        self._queues.flush()

    def send_slice(self, size: int) -> None:
        """Sends `size` bytes of the response whose turn it is."""
        call, unsent = next(iter(self._unsent.items()))
        self._unsent.pop(call)
        message, rest = cut_slice(unsent.popleft(), size)
        if rest is not None:
            unsent.appendleft(rest)
        if unsent:
            self._unsent[call] = unsent
        self._record(message)
        self._send(message)
        if message.last:
            self._begun.end(call)

    def _drop(self, call: int, cause: DropCause) -> None:
        unsent = _measure(self._unsent.get(call, ()))
        left = LeftBytes(unsent, self.flight.measure_call(call))
        self._begun.drop(call, cause, left, self._queues.now())

    def _add(self, message: ReplyMessage) -> None:
        self._unsent.setdefault(message.call, deque()).append(message)
        self._queues.add_waiting(self)

    def _record(self, message: ReplyMessage) -> None:
        size = len(message.body)
        self.flight.send(message.call, size, self._queues.now())
        self._queues.update_flying(self)

    def _send(self, message: ReplyMessage) -> None:
        if self._stream.is_open:
            self._stream.send(message)


def _measure(messages: Iterable[ReplyMessage]) -> int:
    """Returns the bytes of the bodies of messages."""
    return sum(len(message.body) for message in messages)
