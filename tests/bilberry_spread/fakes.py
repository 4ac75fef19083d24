"""A fake clock and a fake network for controllers, on one event heap.

Messages of one stream arrive in order, as TCP delivers them, or the stream
ends; different streams cross each other freely.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

from bilberry_core.error import StreamClosedError
from bilberry_core.messages.registry import decode_message, encode_message

#: Time after which dialing a node that can't be reached fails, in seconds.
DIAL_TIMEOUT_S = 3.0


def ignore(*_arguments) -> None:
    """Does nothing."""


class FakeTime:
    """A clock and scheduler that moves only when told to."""

    def __init__(self) -> None:
        """Starts at 100 seconds."""
        self._now = 100.0
        self._heap: list = []
        self._order = count()

    def now(self) -> float:
        """Returns monotonic time."""
        return self._now

    def wall_ms(self) -> int:
        """Returns wall clock time."""
        return int(self._now * 1000)

    def call_later(self, delay, callback) -> None:
        """Calls back after `delay` seconds."""
        entry = (self._now + max(0, delay), next(self._order), callback)
        heappush(self._heap, entry)

    def run(self, seconds: float, check=None) -> None:
        """Lets time pass; calls `check` after each event."""
        end = self._now + seconds
        while self._heap and self._heap[0][0] <= end:
            due = heappop(self._heap)
            self._now = due[0]
            due[-1]()
            if check is not None:
                check()
        self._now = end


class FakeLink:
    """One end of a stream."""

    def __init__(self, network, mine: str, other: str) -> None:
        """Starts open."""
        self.receiver = ignore
        self.on_close = ignore
        self.is_open = True
        self.is_writable = True
        self.bytes_sent = 0
        self.sent: list = []
        self.mine = mine
        self.other = other
        self.end: FakeLink | None = None
        self._arrived: list[bytes] = []
        self._network = network
        self._last = 0

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
        self._last = self._network.carry(self, self._last, encoded)

    def deliver(self, encoded: bytes) -> None:
        """Hands over a message that has arrived here, unless frozen."""
        self._arrived.append(encoded)
        self.read()

    def read(self) -> None:
        """Hands over what has arrived, in order."""
        while self._arrived and self.mine not in self._network.frozen:
            encoded = self._arrived.pop(0)
            if self.is_open and encoded:
                self.receiver(decode_message(encoded))
            elif self.is_open:
                self.drop()

    def close(self) -> None:
        """Ends the stream; the other side learns of it later."""
        if self.is_open:
            self.drop()
            self._network.carry_close(self, self._last)

    def drop(self) -> None:
        """Ends this side only."""
        if self.is_open:
            self.is_open = False
            self._network.time.call_later(0, self.on_close)


class FakeNetwork:
    """Carries streams between nodes, with faults.

    `loss` and `duplication` are chances for each message: a lost one ends
    its stream, as TCP does.
    """

    def __init__(self, time: FakeTime, random: Random) -> None:
        """Starts without faults."""
        self.time = time
        self.random = random
        self.accepting: dict = {}
        self.cut: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.delay_s = 0.001
        self.jitter_s = 0
        self.loss = 0
        self.duplication = 0
        self.links: list[FakeLink] = []
        self.sent: list = []

    def is_cut(self, one: str, other: str) -> bool:
        """Tells whether no message passes between two nodes."""
        return frozenset((one, other)) in self.cut

    def isolate(self, node: str, others) -> None:
        """Cuts a node off from others, unnoticed."""
        self.cut |= {frozenset((node, other)) for other in others}

    def heal(self) -> None:
        """Ends all partitions; streams that lost bytes end too."""
        cut = self.cut
        self.cut = set()
        for link in self.links:
            if frozenset((link.mine, link.other)) in cut:
                link.drop()

    def thaw(self) -> None:
        """Lets frozen nodes go on, and read what has arrived."""
        self.frozen.clear()
        for link in tuple(self.links):
            link.read()

    def kill(self, node: str) -> None:
        """Ends all streams of a node; it accepts none."""
        self.accepting.pop(node, None)
        for link in tuple(self.links):
            if link.mine == node:
                link.close()

    def carry(self, link: FakeLink, last: float, encoded: bytes) -> float:
        """Carries a message; returns when it arrives."""
        if self.is_cut(link.mine, link.other):
            return last
        if self.random.random() < self.loss:
            link.close()
            return last
        arrival = max(last, self.time.now() + self._draw_delay())
        copies = 2 if self.random.random() < self.duplication else 1
        for _copy in range(copies):
            self.time.call_later(
                arrival - self.time.now(),
                lambda: link.end.deliver(encoded),
            )
        return arrival

    def carry_close(self, link: FakeLink, last: float) -> None:
        """Tells the other side of an end, unless it is cut off."""
        if not self.is_cut(link.mine, link.other):
            delay = max(0, last - self.time.now()) + self._draw_delay()
            self.time.call_later(delay, lambda: link.end.deliver(b''))

    def make_dialer(self, node: str) -> 'FakeDialer':
        """Returns the dialer of a node."""
        return FakeDialer(self, node)

    def connect(self, node: str, peer: str, on_open, on_failure) -> None:
        """Opens a stream, or fails."""
        if self.is_cut(node, peer) or peer in self.frozen:
            self.time.call_later(DIAL_TIMEOUT_S, on_failure)
            return
        accept = self.accepting.get(peer)
        if accept is None:
            self.time.call_later(self._draw_delay(), on_failure)
            return
        mine = FakeLink(self, node, peer)
        other = FakeLink(self, peer, node)
        mine.end = other
        other.end = mine
        self.links = [link for link in self.links if link.is_open]
        self.links += [mine, other]

        def open_both() -> None:
            accept(other)
            on_open(mine)

        self.time.call_later(2 * self._draw_delay(), open_both)

    def _draw_delay(self) -> float:
        return self.delay_s + self.random.uniform(0, self.jitter_s)


class FakeDialer:
    """Opens streams of one node."""

    def __init__(self, network: FakeNetwork, node: str) -> None:
        """Dials as `node`."""
        self._network = network
        self._node = node

    def dial(self, peer, on_open, on_failure) -> None:
        """Opens a stream to a peer."""
        self._network.connect(self._node, peer.instance, on_open, on_failure)

    def close(self) -> None:
        """Gives up nothing: dials end by themselves."""
