"""Tests what is told of bytes behind the last response of a connection."""

from contextlib import contextmanager

from bilberry_core.metric import NullMetrics
from bilberry_core.scrape import ScrapedMetrics
from bilberry_proxy.answer import Answer
from bilberry_proxy.caller_connection import CallerConnection
from bilberry_proxy.response_track import ResponseTrack
from testtools import TestCase

from tests.bilberry_proxy.test_caller_connection import (
    FakeTransport,
    ManualExchange,
)

MODULE = 'bilberry_proxy.dropped_input'
REQUEST = b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n'


class DroppedInputTest(TestCase):
    """A connection that closes after its next response."""

    def setUp(self):
        """Opens a connection with one request at work."""
        super().setUp()
        ManualExchange.opened = []
        self.metrics = ScrapedMetrics(NullMetrics())
        self.connection = CallerConnection(
            ManualExchange, set(), metrics=self.metrics
        )
        self.connection.connection_made(FakeTransport())
        self.connection.data_received(REQUEST)
        self.connection.is_draining = True

    def answer(self) -> None:
        """Completes the response of the newest request."""
        track = ResponseTrack()
        track.request_id = 'abc'
        answer = Answer(ManualExchange.opened[-1].request, track=track)
        answer.start(200, (), b'body', last=True)

    @contextmanager
    def expect(self, size: int):
        """Checks the line and the count of the connection."""
        with self.assertLogs(MODULE, 'INFO') as logs:
            yield
        (record,) = logs.records
        self.assertEqual(
            ('caller_bytes_dropped', 'abc', size),
            (record.getMessage(), record.request, record.dropped_bytes),
        )
        self.assertIn(
            'bilberry_caller_bytes_dropped_total{kind=""} 1.0',
            self.metrics.render().decode(),
        )

    def test_request_behind_the_last_response_is_dropped_without_a_line(self):
        """One line tells of all that follows."""
        self.answer()
        with self.expect(len(REQUEST)):
            self.connection.data_received(REQUEST)
            self.connection.data_received(REQUEST)

    def test_request_before_the_last_response_is_dropped_without_a_line(self):
        """It had arrived, and waited for its turn."""
        self.connection.is_draining = False
        self.connection.data_received(
            REQUEST.replace(b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n')
        )
        self.connection.data_received(REQUEST)
        self.answer()
        with self.expect(len(REQUEST)):
            self.answer()

    def test_connection_without_further_bytes_is_told(self):
        """It closes as its caller expects."""
        with self.assertNoLogs(MODULE):
            self.answer()
            self.connection.connection_lost(None)
        self.assertNotIn(b'bytes_dropped', self.metrics.render())
