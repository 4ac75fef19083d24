"""Tests of following a request through several log files."""

from asyncio import run
from pathlib import Path
from tempfile import TemporaryDirectory

from bilberryctl.exit_code import ExitCode
from bilberryctl.follow import follow_request
from bilberryctl.main import run_command
from testtools import TestCase

SENDER = (
    'noise before 9c41 that is no line\n'
    '{"time":"2026-01-01 00:00:02","event":"request_routed","instance":"a",'
    '"request":"9c41","status":503,"tried":["b","c"],"code":"overloaded"}\n'
    '{"time":"2026-01-01 00:00:01","event":"request_routed","instance":"a",'
    '"request":"7777","status":200}\n'
)
RECEIVER = (
    ' 1.25 node-b {"time":"2026-01-01 00:00:01","event":"call_failed",'
    '"instance":"b","request":"9c41","code":"no_free_slot","queued":7}\n'
)


class FollowTest(TestCase):
    """Tests of the command `follow`."""

    def follow(self, request):
        """Follows a request in two files."""
        with TemporaryDirectory() as folder:
            paths = []
            for name, text in (('a', SENDER), ('b', RECEIVER)):
                path = Path(folder, name)
                path.write_text(text)
                paths.append(str(path))
            return run(follow_request(request, tuple(paths)))

    def test_lines_are_in_order_of_time(self):
        """Lines of all files are sorted by time, not by file."""
        outcome = self.follow('9c41')
        events = [line['event'] for line in outcome.document['lines']]
        self.assertEqual(['call_failed', 'request_routed'], events)
        self.assertIn('tried: b -> c', outcome.text)
        self.assertIn('queued: 7', outcome.text)

    def test_unknown_request_is_reported(self):
        """A line with an ID that only begins with the given one is no match."""
        self.assertEqual(ExitCode.REFUSED, self.follow('9c4').code)

    def test_unreadable_file_is_reported(self):
        """The command accepts several files and fails on an unreadable one."""
        code = run_command(['follow', '9c41', '/no/such', '/file'])
        self.assertEqual(ExitCode.REFUSED, code)
