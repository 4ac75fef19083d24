"""Tests where the bytes are that a caller has not got of its responses."""

from unittest.mock import patch

from bilberry_core.metric import NullMetrics
from bilberry_core.scrape import ScrapedMetrics
from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy.answer import Answer
from bilberry_proxy.caller_connection import CallerConnection
from bilberry_proxy.response_track import CutCause, ResponseTrack
from testtools import TestCase

from tests.bilberry_proxy.test_caller_connection import (
    FakeTransport,
    ManualExchange,
)

MODULE = 'bilberry_proxy.response_track'
LENGTH = ((b'content-length', b'9'),)
BROKEN = Failure(Verdict.RAN, FailureCode.UPSTREAM_CLOSED, 'closed')
RESET = ConnectionResetError()


class SlowTransport(FakeTransport):
    """A transport whose peer reads nothing while `is_slow` is set."""

    is_slow = False

    def write(self, raw: bytes) -> None:
        """Records what is written."""
        super().write(raw)
        if self.is_slow:
            self.unsent += len(raw)


class CutResponseTest(TestCase):
    """Responses to requests that a caller has sent ahead.

    They are too long to be held back until they are whole.
    """

    def setUp(self):
        """Opens a connection with three requests at work."""
        super().setUp()
        held = patch('bilberry_proxy.send_buffer.MAX_HELD_BYTES', 0)
        held.start()
        self.addCleanup(held.stop)
        ManualExchange.opened = []
        self.now = 10.0
        self.metrics = ScrapedMetrics(NullMetrics())
        self.transport = SlowTransport()
        self.connection = CallerConnection(
            ManualExchange, set(), lambda _start: True
        )
        self.connection.connection_made(self.transport)
        self.connection.data_received(
            b''.join(
                b'GET /%d HTTP/1.1\r\nhost: a\r\n\r\n' % number
                for number in range(3)
            )
        )
        self.answers = [
            self.build_answer(str(number), exchange.request)
            for number, exchange in enumerate(ManualExchange.opened)
        ]

    def build_answer(self, request_id: str, request) -> Answer:
        """Returns the response to one request."""
        track = ResponseTrack(self.metrics, lambda: self.now)
        track.request_id = request_id
        track.started_at = self.now - 1
        return Answer(request, track=track)

    def read_lines(self, action) -> list[tuple]:
        """Returns what is told of each cut response during an action.

        These are the request, the cause and the bytes that are missing, unread
        and pending.
        """
        with self.assertLogs(MODULE, 'WARNING') as logs:
            action()
        self.records = logs.records
        for record in logs.records:
            self.assertEqual('response_cut', record.getMessage())
            known = (record.missing_bytes or 0) + record.unread_bytes
            self.assertEqual(known + record.pending_bytes, record.left_bytes)
        return [
            (
                record.request,
                record.cause,
                record.missing_bytes,
                record.unread_bytes,
                record.pending_bytes,
            )
            for record in logs.records
        ]

    def test_response_that_breaks_off_is_not_told(self):
        """Nor how much of it was passed on, and when it began."""
        first = self.answers[0]
        first.start(200, LENGTH, b'part', last=False)
        self.now += 0.5
        first.send_body(b'..', last=False)
        self.transport.unsent = 2
        lines = self.read_lines(lambda: first.fail(BROKEN))
        self.assertEqual([('0', 'broken_off', 3, 2, 0)], lines)
        (record,) = self.records
        self.assertEqual(
            (6, 1500.0, 500.0, 'upstream_closed', 'ran'),
            (
                record.passed_bytes,
                record.age_ms,
                record.answering_ms,
                record.code,
                record.verdict,
            ),
        )
        self.assertIn(
            'bilberry_response_cut_total{kind="broken_off"} 1.0',
            self.metrics.render().decode(),
        )

    def test_response_without_a_length_misses_a_number_of_bytes(self):
        """Nobody knows how long it would have been."""
        first = self.answers[0]
        first.start(200, (), b'part', last=False)
        lines = self.read_lines(lambda: first.fail(BROKEN))
        self.assertEqual([('0', 'broken_off', None, 0, 0)], lines)

    def test_deadline_is_told_as_a_fault_of_the_upstream(self):
        """It has a cause of its own."""
        first = self.answers[0]
        first.start(200, LENGTH, b'part', last=False)
        late = BROKEN._replace(code=FailureCode.DEADLINE)
        lines = self.read_lines(lambda: first.fail(late))
        self.assertEqual([('0', 'deadline', 5, 0, 0)], lines)

    def test_response_behind_an_earlier_one_counts_as_passed_on(self):
        """No byte of it was sent; its caller gets a failure instead."""
        second = self.answers[1]
        second.start(200, LENGTH, b'part', last=False)
        lines = self.read_lines(lambda: second.fail(BROKEN))
        pending = lines[0][-1]
        self.assertEqual([('1', 'broken_off', 5, 0, pending)], lines)
        self.assertLess(len(b'part'), pending)
        self.assertEqual(0, self.records[0].passed_bytes)
        self.assertFalse(self.transport.is_closed)

    def test_responses_that_end_with_another_one_are_not_told(self):
        """A complete one in the send buffer, and one that is pending."""
        first, second, third = self.answers
        self.transport.is_slow = True
        first.start(200, (), b'first', last=True)
        second.start(200, LENGTH, b'part', last=False)
        third.start(200, (), b'third', last=True)
        head = self.transport.written.index(b'first') + len(b'first')
        lines = self.read_lines(lambda: second.fail(BROKEN))
        pending = lines[-1][-1]
        self.assertEqual(
            [
                ('1', 'broken_off', 5, self.transport.unsent - head, 0),
                ('0', 'connection', 0, head, 0),
                ('2', 'connection', 0, 0, pending),
            ],
            lines,
        )
        self.assertLess(0, pending)

    def test_stop_drops_complete_responses_without_a_line(self):
        """Each of them has its own share of the send buffer."""
        self.transport.is_slow = True
        for answer in self.answers:
            answer.start(200, (), b'whole', last=True)
        size = len(self.transport.written) // 3
        self.transport.unsent = size + 1
        lines = self.read_lines(lambda: self.connection.abort(CutCause.STOP))
        self.assertEqual(
            [('1', 'proxy_stop', 0, 1, 0), ('2', 'proxy_stop', 0, size, 0)],
            lines,
        )

    def test_caller_that_resets_drops_a_complete_response_without_a_line(self):
        """The transport no longer says how much it held."""
        first = self.answers[0]
        first.start(200, LENGTH, b'part', last=False)
        self.transport.is_slow = True
        first.send_body(b'.....', last=True)
        self.transport.unsent = 0
        lines = self.read_lines(lambda: self.connection.connection_lost(RESET))
        self.assertEqual([('0', 'caller_gone', 0, 5, 0)], lines)

    def test_caller_that_goes_cuts_a_response_without_a_line(self):
        """It was under way; one that has not begun is not cut."""
        self.answers[0].start(200, LENGTH, b'part', last=False)
        lines = self.read_lines(lambda: self.connection.connection_lost(None))
        self.assertEqual([('0', 'caller_gone', 5, 0, 0)], lines)

    def test_response_that_a_caller_has_read_is_told_as_cut(self):
        """It waited in the send buffer for a while."""
        self.transport.is_slow = True
        for answer in self.answers:
            answer.start(200, (), b'whole', last=True)
        self.transport.unsent = 0
        self.connection.expire_idle(0)
        with self.assertNoLogs(MODULE):
            self.connection.connection_lost(RESET)

    def test_response_of_a_connection_that_closes_is_told_as_cut(self):
        """Its transport sends everything before it ends without an error."""
        self.transport.is_slow = True
        for answer in self.answers:
            answer.start(200, (), b'whole', last=True)
        with self.assertNoLogs(MODULE):
            self.connection.connection_lost(None)
            self.connection.abort(CutCause.STOP)

    def test_failure_without_a_response_is_told_as_a_cut(self):
        """Its caller gets the failure as a whole."""
        with self.assertNoLogs(MODULE):
            self.answers[0].fail(BROKEN)

    def test_odd_length_raises_an_error_on_the_stream_that_brought_it(self):
        """It is longer than any number that Python reads."""
        odd = ((b'content-length', b'9' * 5000),)
        lines = self.read_lines(
            lambda: self.answers[0].start(200, odd, b'part', last=False)
        )
        self.assertEqual([('0', 'broken_off', None, 0, 0)], lines)

    def test_malformed_response_is_not_told(self):
        """More of it comes than its head says."""
        first = self.answers[0]
        first.start(200, LENGTH, b'part', last=False)
        lines = self.read_lines(lambda: first.send_body(b'too much', last=True))
        self.assertEqual([('0', 'broken_off', 0, 0, 0)], lines)
