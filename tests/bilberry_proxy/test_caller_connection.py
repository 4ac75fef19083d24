"""Callers that send slowly, or nothing."""

from testtools import TestCase

from bilberry_proxy.caller_connection import MAX_IDLE_S, CallerConnection


class FakeTransport:
    """A socket that tells whether it was closed."""

    def __init__(self) -> None:
        """Starts open."""
        self.is_closed = False

    def close(self) -> None:
        """Ends the connection."""
        self.is_closed = True


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
