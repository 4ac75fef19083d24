"""Tests the size of the platform folder and its effect on imports."""

from pathlib import Path
from subprocess import run
from sys import executable

from testtools import TestCase

ROOT = Path(__file__).resolve().parents[2]
MAX_LINES = 1500


class FolderTest(TestCase):
    """The folder of the platform adapter."""

    def test_folder_is_small(self):
        """The adapter only translates, so it needs little code."""
        lines = sum(
            len(path.read_text().splitlines())
            for path in (ROOT / 'platform').rglob('*.py')
        )
        self.assertLess(lines, MAX_LINES)

    def test_standard_platform_module_is_not_shadowed(self):
        """Libraries import the standard module `platform`.

        The folder of the same name must not be imported instead.
        """
        code = (
            'import platform; platform.python_version();'
            'import bilberry_platform.main'
        )
        done = run([executable, '-c', code], cwd=ROOT, check=False)
        self.assertEqual(0, done.returncode)
