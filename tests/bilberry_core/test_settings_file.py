"""Tests that settings files are loaded or all their problems reported."""

from pathlib import Path
from tempfile import TemporaryDirectory

from bilberry_core.endpoint import Address
from bilberry_core.settings import Role, TimingSettings
from bilberry_core.settings_file import load_settings, parse_settings
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Result
from testtools import TestCase

SECRET = 'bilberry-secret-0123456789'
TOKEN = 'operators-token-0123456789'

GOOD = """
fleet: coldline
instance: van-1
failure_domain: a
region: west
roles: [proxy, relay, replica]
listen:
  streams: 127.0.0.1:7000
  callers: 127.0.0.1:7001
  upstream: 127.0.0.1:7002
  operators: 127.0.0.1:7003
secret_file: secret
token_file: token
data_folder: data
replicas:
- {instance: van-1, address: '127.0.0.1:7000', failure_domain: a}
relays:
- {instance: van-1, address: '127.0.0.1:7000', failure_domain: a}
statsd: 127.0.0.1:8125
log: {file: van.log, level: DEBUG}
timing: {heartbeat: 100ms, lease: 7s}
"""


class SettingsFileTest(TestCase):
    """Tests of loading settings."""

    def setUp(self):
        """Creates a folder with a secret and a token."""
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / 'secret').write_text(f'{SECRET}\n')
        (self.folder / 'token').write_text(f'{TOKEN}\n')
        self.path = self.folder / 'settings.yaml'

    def load(self, text: str) -> Result:
        """Loads `text` as a settings file."""
        self.path.write_text(text)
        return load_settings(str(self.path))

    def get_problems(self, text: str) -> dict[str, str]:
        """Returns the problems of `text` by key; all name the file."""
        problems = self.load(text).failure()
        self.assertEqual({str(self.path)}, {each.file for each in problems})
        return {problem.key: problem.detail for problem in problems}

    def test_good_settings_are_typed(self):
        """Every section of the file is stored in its field."""
        loaded = self.load(GOOD).unwrap()
        self.assertEqual(frozenset(Role), loaded.roles)
        self.assertEqual(Address('127.0.0.1', 7003), loaded.listen.operators)
        self.assertEqual(SECRET.encode(), loaded.secret)
        self.assertEqual(TOKEN, loaded.token)
        self.assertEqual(str(self.folder / 'data'), loaded.data_folder)
        self.assertEqual('van-1', loaded.replicas[0].instance)
        self.assertEqual('DEBUG', loaded.log_level)
        self.assertEqual(
            TimingSettings(heartbeat_ms=100, lease_ms=7000),
            loaded.timing,
        )

    def test_all_problems_are_reported_at_once(self):
        """Unknown keys, types, ports and units are reported together."""
        problems = self.get_problems(
            GOOD.replace('region: west', 'regoin: west')
            .replace('127.0.0.1:7001', '127.0.0.1:70010')
            .replace('lease: 7s', 'lease: 7')
            .replace('level: DEBUG', 'level: LOUD')
            .replace('fleet: coldline', 'fleet: [coldline]'),
        )
        self.assertEqual(
            {
                'region',
                'regoin',
                'listen.callers',
                'timing.lease',
                'log.level',
                'fleet',
            },
            set(problems),
        )
        self.assertIn('a duration such as 250ms', problems['timing.lease'])

    def test_role_needs_its_settings(self):
        """Rules that relate keys are reported together with unknown keys."""
        problems = self.get_problems(
            GOOD.replace('data_folder: data', 'data_foldre: data')
            .replace('  callers: 127.0.0.1:7001\n', '')
            .replace('  upstream: 127.0.0.1:7002\n', '')
            .replace('failure_domain: a}', 'failure_domain: b}')
            .replace('lease: 7s', 'lease: 1s'),
        )
        self.assertEqual(
            {
                'data_folder',
                'data_foldre',
                'listen.callers',
                'listen.upstream',
                'replicas',
                'relays',
                'timing.lease',
            },
            set(problems),
        )

    def test_duplicate_key_is_refused(self):
        """A duplicate key is reported for the whole file."""
        problems = self.get_problems(f'{GOOD}\nfleet: other\n')
        self.assertIn('duplicate key "fleet"', problems[''])

    def test_missing_and_short_secrets_are_refused(self):
        """Unreadable and short secret files are reported for their keys."""
        (self.folder / 'token').write_text('short')
        problems = self.get_problems(
            GOOD.replace('secret_file: s', 'secret_file: ')
        )
        self.assertEqual({'secret_file', 'token_file'}, set(problems))
        self.assertNotIn('short', problems['token_file'])

    @given(st.text(max_size=60))
    def test_garbage_is_reported(self, garbage):
        """Any text gives problems, never a traceback."""
        parsed = parse_settings(garbage, 'settings.yaml')
        self.assertTrue(parsed.failure())
