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


class EchoExchange:
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

    def on_caller_disconnected(self) -> None:
        """The caller hung up."""


REQUEST = b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc'


class HostileBytesTest(TestCase):
    """Any bytes from a caller: an answer or an end, never an error."""

    def feed(self, *parts: bytes) -> FakeTransport:
        """Feeds bytes to a connection as they would arrive."""
        transport = FakeTransport()
        connection = CallerConnection(EchoExchange, set())
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


class ManualExchange:
    """Answers when it is told to."""

    opened: list['ManualExchange'] = []

    def __init__(self, request) -> None:
        """Keeps the request."""
        self.request = request
        self.target = b''
        self.is_disconnected = False
        self.opened.append(self)

    def begin(self, start) -> None:
        """Takes the start."""
        self.target = start.target

    def feed(self, _body: bytes, last: bool) -> None:
        """Takes the end."""

    def answer(self) -> None:
        """Answers with the target."""
        self.request.start_answer(200, (), self.target, last=True)

    def on_caller_disconnected(self) -> None:
        """The caller hung up."""
        self.is_disconnected = True


class AheadTest(TestCase):
    """Requests that a caller sends before the first is answered."""

    def setUp(self):
        """Opens a connection on which GET may overtake."""
        super().setUp()
        ManualExchange.opened = []
        self.transport = FakeTransport()
        self.connection = CallerConnection(
            ManualExchange,
            set(),
            lambda start: start.method == b'GET',
        )
        self.connection.connection_made(self.transport)

    def send(self, *targets: bytes, method: bytes = b'GET') -> None:
        """Sends requests in one piece."""
        self.connection.data_received(
            b''.join(
                b'%b %b HTTP/1.1\r\nhost: a\r\n\r\n' % (method, target)
                for target in targets
            ),
        )

    def find(self, target: bytes) -> ManualExchange:
        """Returns the exchange of a target."""
        return next(
            one for one in ManualExchange.opened if one.target == target
        )

    def test_answers_keep_the_order_of_requests(self):
        """All begin at once; what is ready early waits for its turn."""
        self.send(b'/1', b'/2', b'/3')
        self.assertEqual(3, len(ManualExchange.opened))
        self.find(b'/3').answer()
        self.find(b'/2').answer()
        self.assertEqual(b'', self.transport.written)
        self.find(b'/1').answer()
        bodies = self.transport.written.split(b'HTTP/1.1 200')[1:]
        self.assertEqual([b'/1', b'/2', b'/3'], [one[-2:] for one in bodies])
        self.send(b'/4')
        self.find(b'/4').answer()
        self.assertTrue(self.transport.written.endswith(b'/4'))

    def test_unsafe_request_waits_for_its_turn(self):
        """It begins only when the answers ahead are complete."""
        self.send(b'/1')
        self.send(b'/2', method=b'POST')
        self.send(b'/3')
        self.assertEqual(1, len(ManualExchange.opened))
        self.find(b'/1').answer()
        self.assertEqual(3, len(ManualExchange.opened))

    def test_leaving_proxy_closes_behind_the_last_request(self):
        """What has begun is answered before the connection ends."""
        self.send(b'/1', b'/2')
        self.connection.is_draining = True
        self.find(b'/1').answer()
        self.assertFalse(self.transport.is_closed)
        self.assertNotIn(b'close', self.transport.written)
        self.find(b'/2').answer()
        self.assertTrue(self.transport.is_closed)
        self.assertIn(b'close', self.transport.written.lower())

    def test_caller_that_hangs_up_cancels_all(self):
        """Nobody is left to receive any of the answers."""
        self.send(b'/1', b'/2')
        self.connection.connection_lost(None)
        self.assertTrue(
            all(one.is_disconnected for one in ManualExchange.opened)
        )
