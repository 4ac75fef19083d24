"""The folder stays small and hides nothing of the standard library."""

from pathlib import Path
from subprocess import run
from sys import executable

from testtools import TestCase

ROOT = Path(__file__).resolve().parents[2]
MAX_LINES = 1500


class FolderTest(TestCase):
    """The adapter's place in the project."""

    def test_folder_is_small(self):
        """It only translates."""
        lines = sum(
            len(path.read_text().splitlines())
            for path in (ROOT / 'platform').rglob('*.py')
        )
        self.assertLess(lines, MAX_LINES)

    def test_standard_platform_module_is_not_shadowed(self):
        """Libraries import the standard module of the folder's name."""
        code = (
            'import platform; platform.python_version();'
            'import bilberry_platform.main'
        )
        done = run([executable, '-c', code], cwd=ROOT, check=False)
        self.assertEqual(0, done.returncode)
