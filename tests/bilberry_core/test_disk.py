"""Tests of data folders: locking, fleet check and atomic replacement."""

from collections.abc import Iterator
from contextlib import contextmanager
from os import fsync, readlink
from pathlib import Path
from resource import RLIMIT_FSIZE, getrlimit, setrlimit
from tempfile import TemporaryDirectory
from unittest.mock import patch

from bilberry_core.disk import SystemDisk
from bilberry_core.error import JournalError
from testtools import TestCase


@contextmanager
def limit_file_size(size: int) -> Iterator[None]:
    """Makes writes of this process beyond this size of a file fail."""
    soft, hard = getrlimit(RLIMIT_FSIZE)
    setrlimit(RLIMIT_FSIZE, (size, hard))
    try:
        yield
    finally:
        setrlimit(RLIMIT_FSIZE, (soft, hard))


@contextmanager
def record_syncs() -> Iterator[list[str]]:
    """Records the paths of everything that is synced."""
    synced: list[str] = []

    def sync(descriptor: int) -> None:
        synced.append(readlink(f'/proc/self/fd/{descriptor}'))
        fsync(descriptor)

    with patch('bilberry_core.disk.fsync', sync):
        yield synced


class SystemDiskTest(TestCase):
    """Tests of a data folder in the file system."""

    def setUp(self):
        """Creates a temporary folder."""
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = str(Path(folder.name) / 'data')

    def open_disk(self, fleet: str = 'one') -> SystemDisk:
        """Opens the folder and closes it after the test."""
        disk = SystemDisk.open(self.folder, fleet)
        self.addCleanup(disk.close)
        return disk

    def test_folder_opens_once(self):
        """A folder in use can't be opened until it is closed."""
        disk = SystemDisk.open(self.folder, 'one')
        self.assertRaises(JournalError, SystemDisk.open, self.folder, 'one')
        disk.close()
        self.open_disk()

    def test_other_fleet_is_refused(self):
        """A folder can only be opened for the fleet that first used it."""
        SystemDisk.open(self.folder, 'one').close()
        error = self.assertRaises(
            JournalError,
            SystemDisk.open,
            self.folder,
            'two',
        )
        self.assertIn('fleet "one"', str(error))
        self.open_disk()

    def test_files_without_a_marker_are_refused(self):
        """A folder that contains files but no fleet name is rejected."""
        Path(self.folder).mkdir()
        (Path(self.folder) / 'stray').write_bytes(b'1')
        self.assertRaises(JournalError, SystemDisk.open, self.folder, 'one')

    def test_appended_and_replaced_bytes_are_read(self):
        """Appended bytes go to the file that the last replacement created."""
        disk = self.open_disk()
        disk.append('log', b'old')
        disk.replace('log', b'a')
        disk.append('log', b'b')
        disk.sync('log')
        self.assertEqual(b'ab', disk.read('log'))
        self.assertEqual(('log',), disk.list())
        disk.remove('log')
        self.assertEqual(b'', disk.read('log'))

    def test_file_is_cut_back_to_what_was_synced(self):
        """Later bytes are gone, and appended ones follow the kept ones."""
        disk = self.open_disk()
        disk.append('log', b'kept')
        disk.sync('log')
        disk.append('log', b'torn')
        disk.truncate('log', 4)
        disk.append('log', b'+')
        disk.sync('log')
        self.assertEqual(b'kept+', disk.read('log'))
        self.assertRaises(JournalError, disk.truncate, 'log', 6)

    def test_full_disk_keeps_the_file_that_it_can_not_replace(self):
        """No part of the replacement is left, and appending goes on."""
        disk = self.open_disk()
        disk.replace('log', b'old')
        with limit_file_size(2):
            self.assertRaises(OSError, disk.replace, 'log', b'newer')
        self.assertEqual(b'old', disk.read('log'))
        self.assertEqual([], list(Path(self.folder).glob('*.new')))
        disk.append('log', b'+')
        self.assertEqual(b'old+', disk.read('log'))

    def test_new_folder_on_a_full_disk_is_marked_later(self):
        """The first write that succeeds records the fleet."""
        with limit_file_size(0):
            disk = SystemDisk.open(self.folder, 'one')
            self.assertRaises(OSError, disk.replace, 'log', b'1')
        disk.replace('log', b'1')
        disk.close()
        self.assertRaises(JournalError, SystemDisk.open, self.folder, 'two')
        self.assertEqual(b'1', self.open_disk().read('log'))

    def test_half_written_replacement_is_dropped(self):
        """A partial replacement left by a crash is removed on opening."""
        disk = SystemDisk.open(self.folder, 'one')
        disk.replace('log', b'whole')
        disk.append('log.new', b'ha')
        disk.close()
        disk = self.open_disk()
        self.assertEqual(('log',), disk.list())
        self.assertEqual(b'whole', disk.read('log'))

    def test_loss_of_power_takes_a_new_data_folder(self):
        """Folders above it are synced before anything in it counts."""
        self.folder = str(Path(self.folder) / 'below')
        with record_syncs() as synced:
            disk = self.open_disk()
            disk.append('log', b'1')
            disk.sync('log')
        above = Path(self.folder).resolve().parents
        self.assertIn(str(above[0]), synced)
        self.assertIn(str(above[1]), synced)

    def test_loss_of_power_undoes_a_replacement_of_a_killed_process(self):
        """It may not have synced the new name of what is read now."""
        disk = SystemDisk.open(self.folder, 'one')
        disk.replace('log', b'new')
        disk.close()
        for write in (
            lambda disk: disk.truncate('log', 3),
            lambda disk: disk.append('log', b''),
        ):
            disk = SystemDisk.open(self.folder, 'one')
            self.assertEqual(b'new', disk.read('log'))
            with record_syncs() as synced:
                write(disk)
            disk.close()
            self.assertIn(str(Path(self.folder).resolve()), synced)

    def test_loss_of_power_leaves_files_without_their_fleet(self):
        """The mark of a killed process is synced before another file."""
        SystemDisk.open(self.folder, 'one').close()
        disk = self.open_disk()
        folder = str(Path(self.folder).resolve())
        with record_syncs() as synced:
            disk.replace('log', b'1')
        self.assertEqual(folder, synced[0])
