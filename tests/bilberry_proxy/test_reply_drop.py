"""Tests what is told of long responses that are not sent whole."""

from contextlib import contextmanager
from unittest.mock import patch

from bilberry_core.messages.call import (
    CallCancel,
    CallFailed,
    CallStart,
    Load,
    ReplyChunk,
    ReplyStart,
    SliceReceived,
)
from bilberry_core.metric import NullMetrics
from bilberry_core.policy import Priority
from bilberry_core.scrape import ScrapedMetrics
from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy.call_server import CallServer
from bilberry_proxy.dialect import OWN_DIALECT
from bilberry_proxy.reply_drop import ReplyDropLog
from bilberry_proxy.reply_slices import MIN_SLICE_BYTES
from testtools import TestCase

from tests.bilberry_proxy.test_reply_queue import (
    LARGE,
    SMALL,
    FakeStream,
    build_reply,
)

DIALECT = OWN_DIALECT._replace(request_id=b'x-id')
AGE_S = 1.5
MODULE = 'bilberry_proxy.reply_drop'


class DaemonStream(FakeStream):
    """A stream that also takes messages other than responses."""

    def send(self, sent) -> None:
        """Records a part of a response, and drops anything else."""
        if isinstance(sent, ReplyStart | ReplyChunk):
            super().send(sent)


class HeldTarget:
    """An upstream whose responses the test sends."""

    def __init__(self) -> None:
        """Has no call."""
        self.answers = None
        self.is_cancelled = False

    def open(self, _start: CallStart, answers) -> 'HeldTarget':
        """Keeps the receiver of the response."""
        self.answers = answers
        return self

    def cancel(self) -> None:
        """Records the end of the call."""
        self.is_cancelled = True


class ReplyDropTest(TestCase):
    """The long response to one call of another daemon."""

    def setUp(self):
        """Opens the call."""
        super().setUp()
        self.now = 10.0
        self.metrics = ScrapedMetrics(NullMetrics())
        self.target = HeldTarget()
        self.stream = DaemonStream()
        self.server = CallServer(
            self.target,
            lambda: self.now,
            ReplyDropLog(self.metrics, DIALECT),
        )
        self.server.accept(self.stream)
        self.stream.receiver(
            CallStart(
                1,
                'callouts',
                b'GET',
                b'/',
                ((DIALECT.request_id, b'abc'),),
                b'',
                last=True,
                deadline_ms=1000,
                priority=Priority.NORMAL,
            )
        )

    @contextmanager
    def expect(self, cause: str):
        """Checks the line and the count of a large response's end."""
        self.target.answers.start_reply(build_reply(1, LARGE))
        left = self.server.left_bytes
        self.assertEqual(len(LARGE), left.unsent + left.on_way)
        self.assertLess(0, left.on_way)
        self.now += AGE_S
        with self.assertLogs(MODULE, 'INFO') as logs:
            yield
        (record,) = logs.records
        self.assertEqual(
            ('reply_dropped', 'abc', cause, left.unsent, left.on_way, 1500.0),
            (
                record.getMessage(),
                record.request,
                record.cause,
                record.unsent_bytes,
                record.on_way_bytes,
                record.age_ms,
            ),
        )
        self.assertIn(
            f'bilberry_response_dropped_total{{kind="{cause}"}} 1.0',
            self.metrics.render().decode(),
        )
        self.assertEqual((0, 0), self.server.left_bytes)

    @contextmanager
    def expect_nothing(self):
        """Checks that no line is written."""
        with self.assertNoLogs(MODULE):
            yield
        self.assertNotIn(b'response_dropped', self.metrics.render())

    def test_stream_that_ends_drops_a_response_without_a_line(self):
        """Its daemon has ended, or is cut off."""
        with self.expect('stream_ended'):
            self.stream.on_close()

    def test_daemon_that_cancels_drops_a_response_without_a_line(self):
        """Its caller has gone, or gave up waiting."""
        with self.expect('cancelled'):
            self.stream.receiver(CallCancel(1))

    def test_upstream_that_breaks_off_drops_a_response_without_a_line(self):
        """What it sent before is not sent on."""
        failure = Failure(Verdict.RAN, FailureCode.UPSTREAM_CLOSED, 'closed')
        failed = CallFailed(1, failure, Load(0, 0, 0, 0))
        with self.expect('failed'):
            self.target.answers.fail(failed)

    def test_stop_drops_a_response_without_a_line(self):
        """It is told once, and its bytes wait until the process ends."""
        self.target.answers.start_reply(build_reply(1, LARGE))
        left = self.server.left_bytes
        with self.assertLogs(MODULE, 'INFO') as logs:
            self.server.report_stop()
            self.stream.on_close()
        (record,) = logs.records
        self.assertEqual(
            ('proxy_stop', left.unsent), (record.cause, record.unsent_bytes)
        )

    def test_response_that_was_on_its_way_is_lost_without_a_line(self):
        """Its stream ends after it was sent, before it was received."""
        body = bytes(MIN_SLICE_BYTES)
        self.target.answers.start_reply(build_reply(1, body, last=False))
        self.target.answers.continue_reply(ReplyChunk(1, b'', last=True))
        with self.assertLogs(MODULE, 'INFO') as logs:
            self.stream.on_close()
        (record,) = logs.records
        self.assertEqual(
            (0, MIN_SLICE_BYTES), (record.unsent_bytes, record.on_way_bytes)
        )

    def test_response_that_arrived_whole_is_called_dropped(self):
        """Its slices were acknowledged before the stream ended."""
        with self.expect_nothing():
            self.target.answers.start_reply(build_reply(1, LARGE))
            while self.server.unsent_responses or self.server.left_bytes.on_way:
                self.stream.waiting = 0
                self.stream.receiver(SliceReceived(1))
            self.stream.receiver(CallCancel(1))
            self.stream.on_close()

    def test_short_response_is_called_dropped(self):
        """It was sent at once."""
        with self.expect_nothing():
            self.target.answers.start_reply(build_reply(1, SMALL))
            self.stream.on_close()

    def test_call_without_a_response_is_called_dropped(self):
        """The end of its stream cancels it."""
        with self.expect_nothing():
            self.stream.on_close()
        self.assertTrue(self.target.is_cancelled)

    def test_stream_that_closes_takes_slices_without_a_line(self):
        """They are neither sent nor acknowledged."""
        self.stream.is_open = False
        with patch.object(self.stream, 'sent', []) as sent:
            self.target.answers.start_reply(build_reply(1, LARGE))
            self.assertEqual([], sent)
        left = self.server.left_bytes
        with self.assertLogs(MODULE, 'INFO') as logs:
            self.stream.on_close()
        self.assertEqual(left.unsent, logs.records[0].unsent_bytes)
        self.assertEqual(left.on_way, logs.records[0].on_way_bytes)
