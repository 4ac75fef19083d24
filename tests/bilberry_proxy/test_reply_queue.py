"""Tests how responses share the stream to another daemon."""

from bilberry_core.messages.call import (
    CallStart,
    Load,
    ReplyChunk,
    ReplyStart,
)
from bilberry_core.policy import Priority
from bilberry_proxy.call_server import CallServer
from bilberry_proxy.reply_queue import SLICE_BYTES, ReplyQueue
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

#: A link on which a large response takes as long as many small ones.
BYTES_PER_S = 500_000
LARGE = bytes(range(256)) * 1024
SMALL = b'small'
LARGE_CALLS = 50


def build_reply(call: int, body: bytes, last: bool = True) -> ReplyStart:
    """Returns the start of a response."""
    return ReplyStart(call, 200, (), body, last, Load(0, 0, 0, 0))


class FakeStream:
    """A stream that is writable until its buffer is full."""

    def __init__(self, room: int = SLICE_BYTES) -> None:
        """Accepts messages until over `room` bytes wait."""
        self.sent: list[ReplyStart | ReplyChunk] = []
        self.waiting = 0
        self.is_open = True
        self._room = room

    def limit_buffer(self, size: int) -> None:
        """Sets the size of the buffer."""
        self._room = size

    @property
    def is_writable(self) -> bool:
        """Whether the buffer has room."""
        return self.waiting <= self._room

    def send(self, sent: ReplyStart | ReplyChunk) -> None:
        """Records a message."""
        self.sent.append(sent)
        self.waiting += len(sent.body)

    def read_bodies(self) -> dict[int, bytes]:
        """Returns the bodies that were sent."""
        bodies: dict[int, bytes] = {}
        for message in self.sent:
            bodies[message.call] = bodies.get(message.call, b'') + message.body
        return bodies

    def list_complete(self) -> list[int]:
        """Returns the calls whose last part was sent, in that order."""
        return [message.call for message in self.sent if message.last]


class Link:
    """Takes bytes off a stream's buffer, in their order, on a virtual clock."""

    def __init__(self) -> None:
        """Starts at time 0 with an empty stream."""
        self.now: float = 0
        self.stream = FakeStream()
        self.queue = ReplyQueue(self.stream)

    def advance(self, seconds: float) -> None:
        """Transmits for a time, in steps of a hundredth of a second."""
        for _ in range(round(seconds * 100)):
            self.now += 0.01
            self.stream.waiting = max(
                0, self.stream.waiting - BYTES_PER_S // 100
            )
            self.queue.flush()


class ReplyQueueTest(TestCase):
    """Long and short responses on one stream."""

    def test_small_response_is_not_stuck_behind_large_ones(self):
        """It waits for the slice under way and the one in the buffer."""
        link = Link()
        for call in range(LARGE_CALLS):
            link.queue.start(build_reply(call, LARGE))
        for call in range(LARGE_CALLS, 2 * LARGE_CALLS):
            link.queue.start(build_reply(call, SMALL))
            self.assertEqual(call, link.stream.sent[-1].call)
            self.assertLessEqual(link.stream.waiting, 2 * SLICE_BYTES + 1000)
            link.advance(0.1)

    def test_large_responses_share_the_link(self):
        """One that starts later does not wait for all earlier ones."""
        link = Link()
        for call in range(8):
            link.queue.start(build_reply(call, LARGE))
        link.queue.start(build_reply(8, LARGE[: 3 * SLICE_BYTES]))
        link.advance(10)
        self.assertEqual(8, link.stream.list_complete()[0])
        self.assertEqual(9, len(link.stream.list_complete()))

    def test_cancelled_response_sends_nothing_more(self):
        """Its bytes would delay responses that are still wanted."""
        link = Link()
        link.queue.start(build_reply(1, LARGE))
        sent = len(link.stream.sent)
        link.queue.cancel(1)
        link.advance(10)
        self.assertEqual((sent, 0), (len(link.stream.sent), len(link.queue)))

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.integers(0, 3 * SLICE_BYTES),
                st.integers(0, 4 * SLICE_BYTES),
            ),
            max_size=12,
        )
    )
    def test_every_body_arrives_whole_and_in_order(self, steps):
        """Whatever is sent and taken off meanwhile."""
        stream = FakeStream()
        queue = ReplyQueue(stream)
        expected: dict[int, bytes] = {}
        for step, (call, size, taken) in enumerate(steps):
            body = bytes([step]) * size
            if call in expected:
                queue.add(ReplyChunk(call, body, last=False))
            else:
                queue.start(build_reply(call, body, last=False))
            expected[call] = expected.get(call, b'') + body
            stream.waiting = max(0, stream.waiting - taken)
            queue.flush()
        for call in expected:
            queue.add(ReplyChunk(call, b'', last=True))
        while len(queue):
            stream.waiting = 0
            queue.flush()
        self.assertEqual(expected, stream.read_bodies())
        self.assertEqual(sorted(expected), sorted(stream.list_complete()))
        self.assertTrue(
            all(len(message.body) <= SLICE_BYTES for message in stream.sent)
        )


class EchoTarget:
    """An upstream that responds at once with the body of each request."""

    def open(self, start: CallStart, answers) -> None:
        """Sends the response."""
        answers.start_reply(build_reply(start.call, start.body))


class CallServerTest(TestCase):
    """Calls of another daemon, whose stream takes nothing for a while."""

    def test_small_response_passes_a_large_one_on_a_blocked_stream(self):
        """The large one goes on when the stream is writable again."""
        stream = FakeStream()
        CallServer(EchoTarget()).accept(stream)
        for call, body in enumerate((LARGE, SMALL), start=1):
            stream.receiver(
                CallStart(
                    call,
                    'callouts',
                    b'GET',
                    b'/',
                    (),
                    body,
                    last=True,
                    deadline_ms=1000,
                    priority=Priority.URGENT,
                )
            )
        self.assertEqual([2], stream.list_complete())
        while len(stream.list_complete()) < 2:
            stream.waiting = 0
            stream.on_writable()
        self.assertEqual({1: LARGE, 2: SMALL}, stream.read_bodies())
