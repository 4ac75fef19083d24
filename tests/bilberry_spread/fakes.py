"""A fake clock and a fake network for controllers, on one event heap.

As with TCP, messages of one stream arrive in order or the stream ends;
messages of different streams may overtake each other.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

from bilberry_core.error import StreamClosedError
from bilberry_core.handshake import HANDSHAKE_TRIPS
from bilberry_core.messages.registry import decode_message, encode_message
from bilberry_spread.runtime import DIAL_TIMEOUT_S


def ignore(*_arguments) -> None:
    """Does nothing, whatever the arguments."""


class FakeTime:
    """A clock and scheduler that advances only in `run`."""

    def __init__(self) -> None:
        """Starts at 100 seconds."""
        self._now = 100.0
        self._heap: list = []
        self._order = count()

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return self._now

    def wall_ms(self) -> int:
        """Returns wall clock time in milliseconds."""
        return int(self._now * 1000)

    def call_later(self, delay, callback) -> None:
        """Schedules `callback` after `delay` seconds."""
        entry = (self._now + max(0, delay), next(self._order), callback)
        heappush(self._heap, entry)

    def run(self, seconds: float, check=None) -> None:
        """Advances time and runs due callbacks; calls `check` after each."""
        end = self._now + seconds
        while self._heap and self._heap[0][0] <= end:
            due = heappop(self._heap)
            self._now = due[0]
            due[-1]()
            if check is not None:
                check()
        self._now = end


class FakeLink:
    """One end of a stream, at `node`; the other end is at `other`."""

    def __init__(self, network, node: str, other: str) -> None:
        """Starts open."""
        self.receiver = ignore
        self.on_close = ignore
        self.is_open = True
        self.is_writable = True
        self.bytes_sent = 0
        self.sent: list = []
        self.node = node
        self.other = other
        self.other_end: FakeLink | None = None
        self._arrived: list[bytes] = []
        self._network = network
        self._last_arrival = 0

    def send(self, sent) -> None:
        """Sends a message."""
        self.send_encoded(encode_message(sent))

    def send_encoded(self, encoded: bytes) -> None:
        """Sends an encoded message."""
        if not self.is_open:
            raise StreamClosedError('closed')
        self.bytes_sent += len(encoded) + 4
        self.sent.append(decode_message(encoded))
        self._network.sent.append(self.sent[-1])
        self._last_arrival = self._network.transmit(
            self, self._last_arrival, encoded
        )

    def deliver(self, encoded: bytes) -> None:
        """Queues an arrived message and reads the queue."""
        self._arrived.append(encoded)
        self.read()

    def read(self) -> None:
        """Passes arrived messages to the receiver, unless frozen.

        An empty message is the end of the stream.
        """
        while self._arrived and self.node not in self._network.frozen:
            encoded = self._arrived.pop(0)
            if self.is_open and encoded:
                self.receiver(decode_message(encoded))
            elif self.is_open:
                self.drop()

    def close(self) -> None:
        """Closes this end; the other end is notified later."""
        if self.is_open:
            self.drop()
            self._network.transmit_close(self, self._last_arrival)

    def drop(self) -> None:
        """Closes only this end."""
        if self.is_open:
            self.is_open = False
            self._network.time.call_later(0, self.on_close)


class FakeNetwork:
    """Streams between nodes, with injected faults.

    `loss` and `duplication` are probabilities for each message. A lost
    message ends its stream, as with TCP. Nodes in `muted` receive, but what
    they send is lost. `uplink_s` is the additional delay of everything that a
    node sends, in seconds.
    """

    def __init__(self, time: FakeTime, random: Random) -> None:
        """Starts without faults."""
        self.time = time
        self.random = random
        self.accepting: dict = {}
        self.cut: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.muted: set[str] = set()
        self.uplink_s: dict[str, float] = {}
        self.delay_s = 0.001
        self.jitter_s = 0
        self.loss = 0
        self.duplication = 0
        self.links: list[FakeLink] = []
        self.sent: list = []

    def is_cut(self, one: str, other: str) -> bool:
        """Returns whether the connection between two nodes is cut."""
        return frozenset((one, other)) in self.cut

    def isolate(self, node: str, others) -> None:
        """Cuts a node off from others; streams stay open and lose bytes."""
        self.cut |= {frozenset((node, other)) for other in others}

    def heal(self) -> None:
        """Ends all partitions and closes the streams that were cut."""
        cut = self.cut
        self.cut = set()
        for link in self.links:
            if frozenset((link.node, link.other)) in cut:
                link.drop()

    def thaw(self) -> None:
        """Resumes frozen nodes; they read the messages that arrived."""
        self.frozen.clear()
        for link in tuple(self.links):
            link.read()

    def kill(self, node: str) -> None:
        """Closes all streams of a node, which accepts no new ones."""
        self.accepting.pop(node, None)
        for link in tuple(self.links):
            if link.node == node:
                link.close()

    def transmit(self, link: FakeLink, last: float, encoded: bytes) -> float:
        """Transmits a message; returns its time of arrival.

        It arrives no earlier than `last`, the arrival of the one before it.
        """
        if self._loses(link):
            return last
        if self.random.random() < self.loss:
            link.close()
            return last
        arrival = max(last, self.time.now() + self._draw_delay(link.node))
        copies = 2 if self.random.random() < self.duplication else 1
        for _copy in range(copies):
            self.time.call_later(
                arrival - self.time.now(),
                lambda: link.other_end.deliver(encoded),
            )
        return arrival

    def transmit_close(self, link: FakeLink, last: float) -> None:
        """Notifies the other end of a close, unless it is cut off."""
        if not self._loses(link):
            delay = max(0, last - self.time.now()) + self._draw_delay(link.node)
            self.time.call_later(delay, lambda: link.other_end.deliver(b''))

    def make_dialer(self, node: str) -> 'FakeDialer':
        """Returns a dialer for a node."""
        return FakeDialer(self, node)

    def connect(self, node: str, peer: str, on_open, on_failure) -> None:
        """Opens a stream, or calls `on_failure` if that is impossible."""
        uplinks_s = self.uplink_s.get(node, 0) + self.uplink_s.get(peer, 0)
        loaded_s = HANDSHAKE_TRIPS * uplinks_s
        if loaded_s > DIAL_TIMEOUT_S or self._is_silent(node, peer):
            self.time.call_later(DIAL_TIMEOUT_S, on_failure)
            return
        accept = self.accepting.get(peer)
        if accept is None:
            self.time.call_later(self._draw_delay(node), on_failure)
            return
        mine = FakeLink(self, node, peer)
        other = FakeLink(self, peer, node)
        mine.other_end = other
        other.other_end = mine
        self.links = [link for link in self.links if link.is_open]
        self.links += [mine, other]

        def open_both() -> None:
            accept(other)
            on_open(mine)

        handshake_s = loaded_s + 2 * self._draw_delay(node='')
        self.time.call_later(handshake_s, open_both)

    def _is_silent(self, node: str, peer: str) -> bool:
        return (
            self.is_cut(node, peer)
            or peer in self.frozen
            or not self.muted.isdisjoint((node, peer))
        )

    def _loses(self, link: FakeLink) -> bool:
        return self.is_cut(link.node, link.other) or link.node in self.muted

    def _draw_delay(self, node: str) -> float:
        jitter_s = self.random.uniform(0, self.jitter_s)
        return self.delay_s + jitter_s + self.uplink_s.get(node, 0)


class FakeDialer:
    """A dialer for one node."""

    def __init__(self, network: FakeNetwork, node: str) -> None:
        """Dials as `node`."""
        self._network = network
        self._node = node

    def dial(self, peer, on_open, on_failure) -> None:
        """Opens a stream to a peer."""
        self._network.connect(self._node, peer.instance, on_open, on_failure)

    def close(self) -> None:
        """Does nothing: pending dials end by themselves."""
