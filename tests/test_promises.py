"""Checks that docs/PROMISES.md names existing tests."""

from pathlib import Path
from re import findall

from testtools import TestCase

_ROOT = Path(__file__).parent.parent
_NAMED = r'`(tests/[\w/]+\.py)::(\w+)`'


class PromisesTest(TestCase):
    """The tests that docs/PROMISES.md refers to."""

    def test_every_named_test_exists(self):
        """Each test in the table is defined in the file that it names."""
        page = (_ROOT / 'docs' / 'PROMISES.md').read_text()
        named = findall(_NAMED, page)
        self.assertTrue(named)
        missing = [
            f'{path}::{name}'
            for path, name in named
            if f'def {name}(' not in (_ROOT / path).read_text()
        ]
        self.assertEqual([], missing)
