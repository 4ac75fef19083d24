"""Tests that log lines are JSON, keep their fields and aren't lost."""

from json import loads
from logging import INFO, LogRecord, getLogger
from pathlib import Path
from queue import SimpleQueue
from sys import exc_info
from tempfile import TemporaryDirectory

from bilberry_core.logs import (
    MAX_QUEUED_LINES,
    RecordQueueHandler,
    start_logs,
)
from bilberry_core.verdict import Verdict
from testtools import TestCase


class LogsTest(TestCase):
    """Tests of the log lines of one process."""

    def setUp(self):
        """Restores the handlers of the test runner after the test."""
        super().setUp()
        root = getLogger()
        self.addCleanup(setattr, root, 'handlers', root.handlers)
        self.addCleanup(root.setLevel, root.level)

    def write(self, *lines) -> list[dict]:
        """Logs (event, arguments) pairs and returns the parsed lines."""
        with TemporaryDirectory() as folder:
            path = Path(folder, 'log')
            listener = start_logs('node-1', 'INFO', str(path))
            for event, arguments in lines:
                getLogger('bilberry_core.test').info(event, **arguments)
            listener.stop()
            return [loads(line) for line in path.read_text().splitlines()]

    def test_line_has_its_fields(self):
        """A line contains the event, the instance and the extra fields."""
        extra = {'status': 200, 'verdict': Verdict.RAN, 'tried': ['a']}
        (line,) = self.write(('request_routed', {'extra': extra}))
        time = line.pop('time')
        self.assertRegex(time, r'^\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}$')
        self.assertEqual(
            {
                'level': 'INFO',
                'module': 'bilberry_core.test',
                'event': 'request_routed',
                'instance': 'node-1',
                'status': 200,
                'verdict': 'ran',
                'tried': ['a'],
            },
            line,
        )

    def test_no_line_is_lost_at_the_end(self):
        """Queued lines are written when the listener stops."""
        lines = self.write(
            *(('event', {'extra': {'at': at}}) for at in range(99))
        )
        self.assertEqual(list(range(99)), [line['at'] for line in lines])

    def test_error_carries_its_traceback(self):
        """An exception has its traceback; other objects become strings."""
        try:
            raise ValueError('why')
        except ValueError:
            details = {'exc_info': exc_info(), 'extra': {'odd': object}}
        (line,) = self.write(('failed', details))
        self.assertIn('ValueError: why', line['exc_info'])
        self.assertIn('object', line['odd'])

    def test_lines_are_json_from_the_level_on(self):
        """Lines below the level are dropped; a second stop does nothing."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'van.log'
            listener = start_logs('van-1', 'WARNING', str(path))
            log = getLogger('tests.logs')
            log.info('not_shown')
            log.warning('route_chosen', extra={'endpoint': 'van-2'})
            listener.stop()
            listener.stop()
            lines = [loads(line) for line in path.read_text().splitlines()]
        self.assertEqual(1, len(lines))
        self.assertEqual(
            ('WARNING', 'route_chosen', 'van-2', 'van-1'),
            tuple(
                lines[0][name]
                for name in ('level', 'event', 'endpoint', 'instance')
            ),
        )
        self.assertIn('time', lines[0])


class BlockedOutputTest(TestCase):
    """Tests of output that is blocked."""

    def test_lines_beyond_the_bound_are_left_out(self):
        """Logging does not block; lines over the limit are dropped."""
        queue = SimpleQueue()
        handler = RecordQueueHandler(queue)
        record = LogRecord('module', INFO, '', 0, 'event', None, None)
        for _ in range(MAX_QUEUED_LINES + 9):
            handler.handle(record)
        self.assertEqual(MAX_QUEUED_LINES, queue.qsize())
