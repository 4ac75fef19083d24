"""Tests how responses share the stream to another daemon."""

from heapq import heappop, heappush

from bilberry_core.messages.call import (
    CallCancel,
    CallStart,
    Load,
    ReplyChunk,
    ReplyStart,
    SliceReceived,
    SlotOffer,
    SlotRequest,
)
from bilberry_core.policy import Priority
from bilberry_proxy.bulk_window import MAX_QUEUE_DELAY_S, MAX_WINDOW_BYTES
from bilberry_proxy.call_server import CallServer
from bilberry_proxy.link_flight import STALLED_S
from bilberry_proxy.reply_queue import ReplyQueue, ReplyQueues
from bilberry_proxy.reply_slices import MAX_SLICE_BYTES, MIN_SLICE_BYTES
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

#: A link on which a large response takes as long as many small ones.
BYTES_PER_S = 500_000
LARGE = bytes(range(256)) * 1024
SMALL = b'small'
LARGE_CALLS = 50
#: Time that the link takes for the slice that it is sending, in seconds.
SLICE_S = MIN_SLICE_BYTES / BYTES_PER_S
#: Time between two acknowledgements of a slow receiver, in seconds.
ROUND_S = 0.1


def build_reply(call: int, body: bytes, last: bool = True) -> ReplyStart:
    """Returns the start of a response."""
    return ReplyStart(call, 200, (), body, last, Load(0, 0, 0, 0))


class FakeStream:
    """A stream that is writable until its buffer is full."""

    def __init__(self, room: int = MAX_SLICE_BYTES) -> None:
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
    """The link of a daemon, which sends in the order of arrival.

    Its streams have room in their own buffers; acknowledgements return after
    `delay_s`.
    """

    def __init__(
        self,
        bytes_per_s: float = BYTES_PER_S,
        delay_s: float = 0.001,
        streams: int = 1,
    ) -> None:
        """Starts at time 0 with idle streams."""
        self.now: float = 0
        self._bytes_per_s = bytes_per_s
        self._delay_s = delay_s
        self._free_at: float = 0
        self._acknowledgements: list[tuple[float, int, ReplyQueue, int]] = []
        self.completed: list[tuple[float, int]] = []
        self._count = 0
        queues = ReplyQueues(lambda: self.now)
        self.queues = []
        for _ in range(streams):
            stream = LinkStream(self)
            stream.queue = queues.open(stream)
            self.queues.append(stream.queue)

    @property
    def backlog_s(self) -> float:
        """The time for which a message that is sent now waits."""
        return max(self._free_at - self.now, 0)

    def carry(self, stream: 'LinkStream', message) -> None:
        """Puts a message behind all others."""
        size = len(message.body) + 50
        self._free_at = max(self._free_at, self.now) + size / self._bytes_per_s
        arrival = self._free_at + self._delay_s
        self._count += 1
        entry = (arrival + self._delay_s, self._count, stream.queue)
        heappush(self._acknowledgements, (*entry, message.call))
        if message.last:
            self.completed.append((arrival, message.call))

    def advance(self, seconds: float) -> None:
        """Delivers the acknowledgements of the next seconds."""
        end = self.now + seconds
        while self._acknowledgements and self._acknowledgements[0][0] <= end:
            at, _count, queue, call = heappop(self._acknowledgements)
            self.now = at
            queue.acknowledge(call)
        self.now = end


class LinkStream:
    """One stream over a link."""

    is_open = True
    is_writable = True

    def __init__(self, link: Link) -> None:
        """Sends on `link`."""
        self.queue: ReplyQueue | None = None
        self._link = link

    def send(self, sent) -> None:
        """Puts a message on the link."""
        self._link.carry(self, sent)


class ReplyQueueTest(TestCase):
    """Long and short responses on the streams of one link."""

    def test_small_response_is_not_stuck_behind_large_ones(self):
        """Neither on its own stream nor on the link."""
        link = Link(streams=LARGE_CALLS)
        for call, queue in enumerate(link.queues):
            queue.start(build_reply(call, LARGE))
        for call in range(LARGE_CALLS):
            link.advance(0.1)
            self.assertLess(link.backlog_s, 2 * MAX_QUEUE_DELAY_S + SLICE_S)
            link.queues[call].start(build_reply(LARGE_CALLS + call, SMALL))
        small = {call for _at, call in link.completed if call >= LARGE_CALLS}
        self.assertEqual(LARGE_CALLS, len(small))

    def test_large_responses_share_the_link(self):
        """One that starts later does not wait for all earlier ones."""
        link = Link(streams=9)
        for call, queue in enumerate(link.queues[:-1]):
            queue.start(build_reply(call, LARGE))
        link.queues[-1].start(build_reply(8, LARGE[: 3 * MAX_SLICE_BYTES]))
        link.advance(10)
        self.assertEqual(8, link.completed[0][1])
        self.assertEqual(9, len(link.completed))

    def test_slow_link_is_used_in_full(self):
        """The window leaves no gaps while large responses wait."""
        link = Link(streams=4)
        for call, queue in enumerate(link.queues):
            queue.start(build_reply(call, LARGE))
        link.advance(10)
        shortest_s = 4 * len(LARGE) / BYTES_PER_S
        self.assertLess(max(link.completed)[0], shortest_s * 1.1)

    def test_fast_link_to_a_far_region_is_used(self):
        """The window grows while nothing is delayed on the way."""
        link = Link(bytes_per_s=100_000_000, delay_s=0.05)
        link.queues[0].start(build_reply(1, LARGE * 40))
        link.advance(30)
        self.assertLess(link.completed[0][0], 1.5)

    def test_receiver_that_stands_still_holds_back_nobody(self):
        """What it doesn't acknowledge stops counting."""
        now: list[float] = [0]
        queues = ReplyQueues(lambda: now[0])
        still, other = FakeStream(1 << 30), FakeStream(1 << 30)
        queues.open(still).start(build_reply(1, LARGE))
        moving = queues.open(other)
        moving.start(build_reply(2, LARGE))
        self.assertEqual([], other.list_complete())
        slices = len(LARGE) // MIN_SLICE_BYTES
        for _ in range(slices + int(STALLED_S / ROUND_S) + 1):
            now[0] += ROUND_S
            moving.acknowledge(2)
            queues.flush()
        self.assertEqual([2], other.list_complete())

    def test_backlog_of_a_receiver_that_stands_still_counts(self):
        """Calls of others would be refused for it."""
        now: list[float] = [0]
        queues = ReplyQueues(lambda: now[0])
        queue = queues.open(FakeStream(1 << 30))
        queue.start(build_reply(1, LARGE))
        self.assertEqual(len(LARGE), queues.backlog)
        now[0] = 2 * STALLED_S
        self.assertEqual(0, queues.backlog)
        queue.acknowledge(1)
        queue.acknowledge(1)
        self.assertNotEqual(0, queues.backlog)

    def test_cancelled_response_is_kept_while_others_wait(self):
        """Its turn comes only when all shorter ones are sent."""
        queues = ReplyQueues(int)
        queue = queues.open(FakeStream())
        queue.start(build_reply(1, LARGE))
        queue.start(build_reply(2, LARGE))
        kept = [turn.reply for turn in queues.schedule._turns]
        queue.cancel(1)
        queue.cancel(2)
        self.assertNotEqual([], kept)
        self.assertEqual(0, sum(reply.unsent for reply in kept))

    def test_response_that_fits_in_a_grown_slice_awaits_no_receipt(self):
        """Its receiver acknowledges only parts of a response."""
        stream = FakeStream(1 << 30)
        queues = ReplyQueues(int)
        queue = queues.open(stream)
        queue.start(build_reply(1, LARGE))
        queue.start(build_reply(2, LARGE[: MIN_SLICE_BYTES + 1]))
        queues.window.size = MAX_WINDOW_BYTES
        queues.flush()
        whole = [sent for sent in stream.sent if sent.call == 2]
        self.assertEqual([LARGE[: MIN_SLICE_BYTES + 1]], [whole[0].body])
        for sent in stream.sent:
            if sent not in whole:
                queue.acknowledge(sent.call)
        self.assertEqual(0, queue.left.on_way)

    def test_daemon_that_stops_waits_for_the_share_of_its_stream(self):
        """It acknowledges slowly, and others have much to send."""
        queues = ReplyQueues(float)
        stopping, going = FakeStream(1 << 30), FakeStream(1 << 30)
        queue, other = queues.open(stopping), queues.open(going)
        queue.start(build_reply(1, LARGE))
        other.start(build_reply(2, LARGE))
        queue.precede_others(1)
        queue.acknowledge(1)
        self.assertEqual([], going.sent)

    def test_cancelled_response_sends_nothing_more(self):
        """Its bytes would delay responses that are still wanted."""
        stream = FakeStream()
        queues = ReplyQueues(int)
        queue = queues.open(stream)
        queue.start(build_reply(1, LARGE))
        sent = len(stream.sent)
        queue.cancel(1)
        stream.waiting = 0
        queues.flush()
        self.assertEqual((sent, 0), (len(stream.sent), len(queue)))
        self.assertTrue(queues.has_room())

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.integers(0, 3 * MAX_SLICE_BYTES),
                st.integers(0, 4 * MAX_SLICE_BYTES),
            ),
            max_size=12,
        )
    )
    def test_every_body_arrives_whole_and_in_order(self, steps):
        """Whatever is sent and taken off meanwhile."""
        stream = FakeStream()
        queue = ReplyQueues(int).open(stream)
        expected: dict[int, bytes] = {}
        for step, (call, size, taken) in enumerate(steps):
            body = bytes([step]) * size
            if call in expected:
                queue.add(ReplyChunk(call, body, last=False))
            else:
                queue.start(build_reply(call, body, last=False))
            expected[call] = expected.get(call, b'') + body
            stream.waiting = max(0, stream.waiting - taken)
            queue.acknowledge(call)
            queue.flush()
        for call in expected:
            queue.add(ReplyChunk(call, b'', last=True))
        while len(queue):
            stream.waiting = 0
            for call in expected:
                queue.acknowledge(call)
            queue.flush()
        self.assertEqual(expected, stream.read_bodies())
        self.assertEqual(sorted(expected), sorted(stream.list_complete()))
        self.assertTrue(
            all(len(message.body) <= MAX_SLICE_BYTES for message in stream.sent)
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
        server = CallServer(EchoTarget())
        server.accept(stream)
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
        # A planned stop waits for open calls.
        self.assertEqual(1, server.open_calls)
        while len(stream.list_complete()) < 2:
            stream.waiting = 0
            stream.receiver(SliceReceived(1))
            stream.on_writable()
        self.assertEqual({1: LARGE, 2: SMALL}, stream.read_bodies())
        self.assertEqual(0, server.open_calls)


class OfferingTarget:
    """An upstream with a slot for everyone."""

    def __init__(self) -> None:
        """Has no reservation."""
        self.reservation: OfferedSlot | None = None

    def reserve(self, request: SlotRequest, receiver) -> 'OfferedSlot':
        """Offers a slot at once."""
        self.reservation = OfferedSlot()
        receiver.offer_slot()
        return self.reservation


class OfferedSlot:
    """A slot that was offered on a stream."""

    def __init__(self) -> None:
        """Is kept."""
        self.is_cancelled = False

    def take(self, start: CallStart, answers) -> None:
        """Responds with the body of the request."""
        answers.start_reply(build_reply(start.call, start.body))

    def cancel(self) -> None:
        """Gives up the slot."""
        self.is_cancelled = True


class OfferTest(TestCase):
    """Slots that other daemons request on their streams."""

    def setUp(self):
        """Requests a slot."""
        super().setUp()
        self.stream = FakeStream()
        self.target = OfferingTarget()
        self.server = CallServer(self.target)
        self.server.accept(self.stream)
        self.sent: list = []
        self.stream.send = self.sent.append
        self.stream.receiver(
            SlotRequest(1, 'callouts', Priority.NORMAL, 100),
        )

    def test_free_slot_is_offered_once(self):
        """Also if it was free before the reservation was recorded."""
        self.assertEqual([SlotOffer(1)], self.sent)

    def test_request_takes_its_slot(self):
        """By the number of its reservation."""
        self.stream.receiver(
            CallStart(
                1,
                'callouts',
                b'GET',
                b'/',
                (),
                SMALL,
                last=True,
                deadline_ms=1000,
                priority=Priority.NORMAL,
            )
        )
        self.assertEqual(SMALL, self.sent[-1].body)
        self.stream.on_close()
        self.assertFalse(self.target.reservation.is_cancelled)

    def test_slot_is_given_up_with_its_stream(self):
        """Its sender has ended."""
        self.stream.on_close()
        self.assertTrue(self.target.reservation.is_cancelled)

    def test_slot_is_given_up_by_its_sender(self):
        """It found one elsewhere."""
        self.stream.receiver(CallCancel(1))
        self.assertTrue(self.target.reservation.is_cancelled)


class LinkWaitTest(TestCase):
    """The wait of a response for the link."""

    def test_wait_for_the_link_counts_as_the_work_of_the_upstream(self):
        """Then requests would seem to miss their target latency."""
        now: list[float] = [0]
        queues = ReplyQueues(lambda: now[0])
        stream = FakeStream(1 << 30)
        queue = queues.open(stream)
        queue.start(build_reply(1, LARGE))
        queue.start(build_reply(2, LARGE))
        now[0] = 2
        queues.flush()
        while len(stream.list_complete()) < 2:
            for call in (1, 2):
                queue.acknowledge(call)
        starts = [one for one in stream.sent if isinstance(one, ReplyStart)]
        waits = [one.load.waited_us for one in starts]
        self.assertEqual([0, 2_000_000], waits)
