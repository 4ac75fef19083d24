"""Log lines as the settings ask for them."""

from json import loads
from logging import getLogger, root
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from bilberry_core.logs import start_logs


class LogsTest(TestCase):
    """JSON lines in a file."""

    def setUp(self):
        """Keeps the handlers of the root logger."""
        super().setUp()
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(setattr, root, 'handlers', root.handlers)

    def test_lines_are_json_from_the_level_on(self):
        """Each line has stable fields; stopping twice, as at exit, is fine."""
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
