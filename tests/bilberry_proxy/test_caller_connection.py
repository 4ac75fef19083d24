"""Callers that send slowly, or nothing."""

from bilberry_proxy.caller_connection import MAX_IDLE_S, CallerConnection
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase


class FakeTransport:
    """A socket that tells whether it was closed."""

    def __init__(self) -> None:
        """Starts open."""
        self.is_closed = False
        self.written = b''

    def close(self) -> None:
        """Ends the connection."""
        self.is_closed = True

    abort = close

    def write(self, raw: bytes) -> None:
        """Keeps what is written."""
        self.written += raw

    def pause_reading(self) -> None:
        """Reads nothing more."""

    def resume_reading(self) -> None:
        """Reads again."""


class RefusingExchange:
    """Answers each request with its own target, once it is whole."""

    def __init__(self, connection: CallerConnection) -> None:
        """Keeps the connection."""
        self._connection = connection
        self._target = b''

    def begin(self, start) -> None:
        """Takes the start."""
        self._target = start.target

    def feed(self, _body: bytes, last: bool) -> None:
        """Answers at the end."""
        if last:
            self._connection.start_answer(200, (), self._target, last=True)

    def caller_gone(self) -> None:
        """The caller hung up."""


REQUEST = b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc'


class HostileBytesTest(TestCase):
    """Any bytes from a caller: an answer or an end, never an error."""

    def feed(self, *parts: bytes) -> FakeTransport:
        """Feeds bytes to a connection as they would arrive."""
        transport = FakeTransport()
        connection = CallerConnection(RefusingExchange, set())
        connection.connection_made(transport)
        for part in parts:
            if part and not transport.is_closed:
                connection.data_received(part)
        connection.connection_lost(None)
        return transport

    @given(st.lists(st.binary(max_size=60), max_size=6))
    def test_garbage_ends_the_connection_at_most(self, parts):
        """Bytes that are no HTTP raise nothing."""
        self.feed(*parts)

    @given(
        st.integers(0, len(REQUEST) - 1),
        st.binary(min_size=1, max_size=4),
    )
    def test_damaged_request_raises_nothing(self, at, damage):
        """A request with some bytes replaced is served or refused."""
        self.feed(REQUEST[:at] + damage + REQUEST[at + len(damage) :])

    @given(st.integers(1, len(REQUEST) * 3), st.integers(1, 3))
    def test_requests_in_any_pieces(self, step, count):
        """Each whole request gets one answer, however it is cut."""
        raw = REQUEST * count
        parts = [raw[at : at + step] for at in range(0, len(raw), step)]
        written = self.feed(*parts).written
        self.assertEqual(count, written.count(b'HTTP/1.1 200'))


class IdleTest(TestCase):
    """Connections without a whole request head."""

    def setUp(self):
        """Opens a connection whose requests are never served."""
        super().setUp()
        self.transport = FakeTransport()
        self.connections = set()
        self.connection = CallerConnection(lambda _: None, self.connections)
        self.connection.connection_made(self.transport)

    def test_idle_connection_ends(self):
        """A caller that sends nothing for long is let go."""
        self.connection.expire_idle(0)
        self.connection.expire_idle(MAX_IDLE_S)
        self.assertFalse(self.transport.is_closed)
        self.connection.expire_idle(MAX_IDLE_S + 1)
        self.assertTrue(self.transport.is_closed)

    def test_head_sent_byte_by_byte_does_not_hold_on(self):
        """A head that never ends is no request."""
        self.connection.expire_idle(0)
        self.connection.data_received(b'GET / HT')
        self.connection.expire_idle(MAX_IDLE_S + 1)
        self.assertTrue(self.transport.is_closed)

    def test_ended_connection_is_forgotten(self):
        """The end of a connection frees its place."""
        self.assertEqual(1, len(self.connections))
        self.connection.connection_lost(None)
        self.assertEqual(0, len(self.connections))
