"""Tests that the example settings and configuration are valid."""

from pathlib import Path
from shutil import copytree
from tempfile import TemporaryDirectory

from bilberry_core.configuration_file import parse_configuration
from bilberry_core.settings import Role
from bilberry_core.settings_file import load_settings
from testtools import TestCase

EXAMPLES = Path(__file__).parents[2] / 'examples'
ROLES = {
    'proxy.yaml': {Role.PROXY},
    'relay.yaml': {Role.RELAY},
    'replica-1.yaml': set(Role),
    'replica-2.yaml': set(Role),
    'replica-3.yaml': set(Role),
}


class ExamplesTest(TestCase):
    """Tests of the files that an operator starts from."""

    def test_settings_of_each_role_load(self):
        """Every example loads once a secret and a token are added."""
        with TemporaryDirectory() as name:
            folder = Path(name, 'examples')
            copytree(EXAMPLES, folder)
            for secret in ('secret', 'token'):
                folder.joinpath(secret).write_text('0123456789abcdef\n')
            for file_name, roles in ROLES.items():
                loaded = load_settings(str(folder / file_name))
                self.assertEqual(roles, set(loaded.unwrap().roles), file_name)

    def test_configuration_is_valid(self):
        """The example configuration is valid without changes."""
        text = EXAMPLES.joinpath('fleet.yaml').read_text()
        parsed = parse_configuration(text, 'fleet.yaml').unwrap()
        self.assertEqual(2, len(parsed.exceptions))

    def test_every_example_is_tested(self):
        """Every example file is covered by a test."""
        names = {path.name for path in EXAMPLES.glob('*.yaml')}
        self.assertEqual({*ROLES, 'fleet.yaml'}, names)
