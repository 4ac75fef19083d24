"""Sends responses to other daemons, long bodies in slices.

This handles large responses on a link that is slow for them: a small response
must not wait behind them. A response that fits in a slice is sent at once. A
longer one is queued, and sent slice by slice in the order of `reply_schedule`:
while its stream has little left to send, and while no more than a window of all
streams' slices is on its way.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from bilberry_core.messages.call import ReplyStart

from bilberry_proxy.bulk_window import ArrivedSlice, BulkWindow
from bilberry_proxy.http_headers import Headers
from bilberry_proxy.link_flight import STALLED_S, LinkFlight, SentSlice
from bilberry_proxy.reply_drop import (
    BegunReplies,
    DropCause,
    LeftBytes,
    ReplyDropLog,
)
from bilberry_proxy.reply_schedule import PendingReply, ReplySchedule
from bilberry_proxy.reply_slices import ReplyMessage, add_wait

#: Share of the window that a stream may use while others wait.
STREAM_SHARE = 0.5
#: The same of a stream to a daemon that stops.
STOP_SHARE = 0.75


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
    """The queues of all streams, which share one link."""

    def __init__(
        self,
        now: Callable[[], float],
        drops: ReplyDropLog = ReplyDropLog(),
    ) -> None:
        """`now` returns monotonic time, in seconds."""
        self.now = now
        self.drops = drops
        self.window = BulkWindow()
        self.flight = LinkFlight()
        self.schedule = ReplySchedule()

    @property
    def backlog(self) -> int:
        """The bytes of long responses that have not left the link."""
        return self.schedule.unsent + self.flight.measure(self.now())

    @property
    def rate(self) -> float | None:
        """The rate of the link in bytes a second; None if not known."""
        return self.window.rate.estimate(self.now())

    def open(self, stream: ReplyStream) -> 'ReplyQueue':
        """Returns the queue of a new stream."""
        return ReplyQueue(stream, self)

    def add(self, reply: PendingReply) -> None:
        """Gives a turn to a response with an unsent part."""
        self.schedule.add(reply)
        self.flush()

    def has_room(self) -> bool:
        """Whether another slice may be sent."""
        sent = self.flight.measure(self.now())
        return not sent or sent + self.window.slice_bytes <= self.window.size

    def advance(self) -> None:
        """Sends what the time allows: slices that stand still count no more."""
        self.flush()

    def flush(self) -> None:
        """Sends slices in the order of their turns while there is room."""
        self.schedule.unblock()
        while self.has_room():
            reply = self.schedule.pop()
            if reply is None:
                self.window.pause()
                return
            reply.owner.send_slice(reply, self.window.slice_bytes)
            if reply.is_waiting:
                self.schedule.add(reply)


class ReplyQueue:
    """The responses on one stream that are not completely sent."""

    def __init__(self, stream: ReplyStream, queues: ReplyQueues) -> None:
        """Sends on `stream`; `queues` are those of all streams."""
        self._stream = stream
        self._queues = queues
        self._begun = BegunReplies(queues.drops)
        self._replies: dict[int, PendingReply] = {}
        self._flying: dict[int, deque[SentSlice]] = {}
        self._unacknowledged = 0
        self._stops_at: float | None = None

    def __len__(self) -> int:
        """Returns the number of responses with an unsent part."""
        return len(self._replies)

    @property
    def left(self) -> LeftBytes:
        """The bytes of all responses that the other daemon has not got."""
        unsent = sum(reply.unsent for reply in self._replies.values())
        return LeftBytes(unsent, self._unacknowledged)

    @property
    def is_writable(self) -> bool:
        """Whether the stream accepts a slice."""
        return self._stream.is_writable

    @property
    def is_within_share(self) -> bool:
        """Whether the stream uses less than its share of the window.

        A receiver that is slow holds back the others by no more than that. One
        that stops has a greater share, as it has no other time.
        """
        queues = self._queues
        share = STREAM_SHARE
        if self._stops_at is not None and queues.now() < self._stops_at:
            share = STOP_SHARE
        return self._unacknowledged < queues.window.size * share

    @property
    def is_stalled(self) -> bool:
        """Whether nothing was acknowledged for long that was sent."""
        now = self._queues.now()
        return any(
            now - slices[0].sent_at > STALLED_S
            for slices in self._flying.values()
        )

    def precede_others(self, stops_at: float) -> None:
        """Lets all responses precede those of other streams.

        What its daemon receives after `stops_at`, in seconds, is lost.
        """
        self._stops_at = stops_at
        for reply in self._replies.values():
            self._queues.schedule.precede(reply, stops_at)
        self._queues.flush()

    def start(self, reply: ReplyStart, request: Headers = ()) -> None:
        """Sends a response that fits in a slice, and queues a longer one.

        `request` are the headers of the request.
        """
        is_short = len(reply.body) <= self._queues.window.slice_bytes
        if not is_short or not reply.last:
            self._begun.begin(reply.call, request, self._queues.now())
        if not is_short:
            self.add(reply)
            return
        self._send(reply)
        if not reply.last:
            self._record(reply)

    def add(self, message: ReplyMessage) -> None:
        """Queues a response, or more of one."""
        call = message.call
        reply = self._replies.get(call)
        if reply is None:
            reply = PendingReply(self, call, self._queues.now())
            self._replies[call] = reply
            if self._stops_at is not None:
                self._queues.schedule.precede(reply, self._stops_at)
        reply.add(message)
        self._queues.add(reply)

    def acknowledge(self, call: int) -> None:
        """Records that the other daemon has received a slice."""
        flying = self._flying.get(call)
        if flying is None:
            return
        received = flying.popleft()
        self._unacknowledged -= received.size
        if not flying:
            self._flying.pop(call)
        self._begun.acknowledge(call, call in self._flying)
        queues = self._queues
        queues.flight.acknowledge(received)
        now = queues.now()
        arrived = ArrivedSlice(now - received.sent_at, received.size)
        queues.window.adapt(arrived, now)
        queues.flush()

    def cancel(
        self,
        call: int,
        cause: DropCause = DropCause.CANCELLED,
    ) -> None:
        """Drops the unsent part of a response."""
        self._drop(call, cause)
        reply = self._replies.pop(call, None)
        if reply is not None:
            self._queues.schedule.remove(reply)
            # An outdated turn may refer to it for long.
            reply.clear()
        for sent in self._flying.pop(call, ()):
            self._unacknowledged -= sent.size
            self._queues.flight.remove(sent)

    def report_drops(self, cause: DropCause) -> None:
        """Tells of the responses that are not sent whole any more."""
        for call in self._begun:
            self._drop(call, cause)

    def close(self) -> None:
        """Drops everything, as the stream has ended."""
        self.report_drops(DropCause.STREAM_ENDED)
        for call in (*self._replies, *self._flying):
            self.cancel(call)
        self._queues.flush()

    def flush(self) -> None:
        """Sends what may be sent, as the stream is writable again."""
        self._queues.flush()

    def send_slice(self, reply: PendingReply, size: int) -> None:
        """Sends the next `size` bytes of a response at most."""
        waited_s = self._queues.now() - reply.ready_at
        message = add_wait(reply.cut(size), waited_s)
        if not reply.is_waiting:
            self._replies.pop(reply.call)
        is_whole = isinstance(message, ReplyStart) and message.last
        if not is_whole:
            self._record(message)
        self._send(message)
        if message.last:
            self._begun.end(reply.call)
        if is_whole:
            # Its receiver acknowledges only parts of a response.
            self._begun.acknowledge(reply.call, is_on_way=False)

    def _drop(self, call: int, cause: DropCause) -> None:
        reply = self._replies.get(call)
        unsent = 0 if reply is None else reply.unsent
        on_way = sum(sent.size for sent in self._flying.get(call, ()))
        left = LeftBytes(unsent, on_way)
        self._begun.drop(call, cause, left, self._queues.now())

    def _record(self, message: ReplyMessage) -> None:
        queues = self._queues
        sent = queues.flight.send(len(message.body), queues.now())
        self._flying.setdefault(message.call, deque()).append(sent)
        self._unacknowledged += sent.size

    def _send(self, message: ReplyMessage) -> None:
        if self._stream.is_open:
            self._stream.send(message)
