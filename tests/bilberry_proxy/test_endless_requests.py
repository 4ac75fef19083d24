"""Tests of callers that send bytes without end in place of a request."""

from asyncio import run, sleep

from bilberry_proxy.answer import Answer
from bilberry_proxy.caller_connection import CallerConnection
from bilberry_proxy.request_intake import MAX_READ_AHEAD_BYTES
from bilberry_proxy.send_buffer import MAX_PENDING_BYTES
from testtools import TestCase

from tests.bilberry_proxy.test_caller_connection import (
    FakeTransport,
    ManualExchange,
)

#: Size of a read of the event loop, in bytes.
READ_BYTES = 256 << 10
#: What a connection may take of bytes that are no request.
MOST_BYTES = 1 << 20
_CHUNKED = b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
#: The begin of a request, and the piece that follows without end.
FORMS = {
    'request_line': (b'GET /', b'a' * 1024),
    'header': (b'GET / HTTP/1.1\r\na: ', b'b' * 1024),
    'header_lines': (b'GET / HTTP/1.1\r\n', b'a:b\r\n' * 200),
    'chunk_size': (_CHUNKED, b'0' * 1024),
    'chunk_extension': (b'%b1;' % _CHUNKED, b'a' * 1024),
    'chunk_extensions': (_CHUNKED, b'1;%b\r\nx\r\n' % (b'a' * 8000)),
    'small_chunks': (_CHUNKED, b'1\r\nx\r\n' * 200),
    'trailers': (b'%b0\r\n' % _CHUNKED, b'a:b\r\n' * 200),
}


class ReadTransport(FakeTransport):
    """A transport that records whether it reads."""

    def __init__(self) -> None:
        """Creates a transport that reads."""
        super().__init__()
        self.is_reading = True

    def pause_reading(self) -> None:
        """Stops reading."""
        self.is_reading = False

    def resume_reading(self) -> None:
        """Continues reading."""
        self.is_reading = True


class RefusingExchange(ManualExchange):
    """Responds to each request at once."""

    def begin(self, start) -> None:
        """Responds with the target."""
        super().begin(start)
        self.answer()


class EndlessRequestTest(TestCase):
    """One connection of a caller."""

    def setUp(self):
        """Opens a connection on which each request may overtake others."""
        super().setUp()
        self.open()

    def open(self) -> None:
        """Opens another connection."""
        ManualExchange.opened = []
        self.transport = ReadTransport()
        self.connection = CallerConnection(
            ManualExchange, set(), lambda _start: True
        )
        self.connection.connection_made(self.transport)

    @property
    def is_ended(self) -> bool:
        """Whether the connection is closed, or closes."""
        return self.transport.is_closed or self.transport.is_half_closed

    def flood(self, begin: bytes, piece: bytes) -> int:
        """Returns the bytes that the connection has taken."""

        async def scenario():
            self.connection.data_received(begin)
            read = piece * (READ_BYTES // len(piece))
            taken = 0
            while not self.is_ended and taken < 2 * MOST_BYTES:
                if self.transport.is_reading:
                    self.connection.data_received(read)
                    taken += len(read)
                await sleep(0)
            return taken

        return run(scenario())

    def test_bytes_that_are_no_request_are_read_without_end(self):
        """In a head, and as the framing of a body."""
        for name, (begin, piece) in FORMS.items():
            self.open()
            self.assertLessEqual(self.flood(begin, piece), MOST_BYTES, name)
            self.assertTrue(self.is_ended, name)

    def test_full_reads_of_a_body_follow_each_other_in_one_turn(self):
        """The event loop reads on at once while its buffer is filled."""
        head = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'

        async def scenario():
            self.connection.data_received(head % (2 * READ_BYTES))
            found = [self.transport.is_reading]
            self.connection.data_received(b'x' * READ_BYTES)
            found.append(self.transport.is_reading)
            while not self.transport.is_reading:
                await sleep(0)
            self.connection.data_received(b'x' * READ_BYTES)
            while not ManualExchange.opened[0].request.is_read:
                await sleep(0)
            return found

        self.assertEqual([True, False], run(scenario()))

    def test_sound_request_meets_a_limit(self):
        """One of small chunks, and one of as many headers as fit."""
        chunks = b'1\r\nx\r\n' * 8000 + b'0\r\n\r\n'
        lines = b'a:b\r\n' * 3000

        async def scenario():
            self.connection.data_received(_CHUNKED + chunks)
            while not ManualExchange.opened[0].request.is_read:
                await sleep(0)
            self.connection.data_received(
                b'GET / HTTP/1.1\r\nhost: a\r\n%b\r\n' % lines
            )

        run(scenario())
        self.assertEqual(2, len(ManualExchange.opened))
        self.assertFalse(self.is_ended)

    def test_requests_sent_ahead_hold_the_event_loop(self):
        """Others have their turn before all of one read are begun."""
        turns = []

        async def scenario():
            transport = ReadTransport()
            connection = CallerConnection(RefusingExchange, set())
            connection.connection_made(transport)
            request = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
            count = READ_BYTES // len(request)
            connection.data_received(request * count)
            while len(RefusingExchange.opened) < count:
                turns.append(len(RefusingExchange.opened))
                await sleep(0)
            self.assertEqual(count, transport.written.count(b'HTTP/1.1 200'))

        run(scenario())
        self.assertGreater(len(turns), 100)

    def test_requests_sent_ahead_are_kept_without_end(self):
        """Reading pauses while the first one is unanswered."""
        request = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'

        async def scenario():
            taken = 0
            for _ in range(100):
                if self.transport.is_reading:
                    self.connection.data_received(request * 100)
                    taken += len(request) * 100
                await sleep(0)
            return taken

        self.assertLess(run(scenario()), 2 * MAX_READ_AHEAD_BYTES)

    def test_response_behind_an_unanswered_request_grows_without_end(self):
        """No more of it is asked for until the first one is answered."""
        self.connection.data_received(
            b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n'
            b'GET /2 HTTP/1.1\r\nhost: a\r\n\r\n',
        )
        first, second = ManualExchange.opened
        behind = Answer(second.request)
        behind.start(200, (), b'x', last=False)
        taken = 0
        while taken < MOST_BYTES:
            behind.send_body(b'x' * MAX_PENDING_BYTES, last=False)
            taken += MAX_PENDING_BYTES
            if not behind.pop_credit():
                break
        self.assertLess(taken, 2 * MAX_PENDING_BYTES)
        resumed = []
        second.resume_answer = lambda: resumed.append(behind.pop_credit())
        first.answer()
        self.assertEqual([taken + 1], resumed)
