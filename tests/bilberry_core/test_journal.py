"""Tests that journals return synced records and detect damage."""

from asyncio import gather, run
from errno import EIO

from bilberry_core.error import JournalError
from bilberry_core.journal import Journal
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_core.fake_disk import FakeDisk

NAME = 'log'
RECORDS = st.lists(st.binary(max_size=30), min_size=1, max_size=5)


def write(disk: FakeDisk, records: list[bytes]) -> Journal:
    """Appends and syncs records."""
    journal, _ = Journal.open(disk, NAME)
    for record in records:
        journal.append(record)
    journal.sync_now()
    return journal


def read(disk: FakeDisk) -> list[bytes]:
    """Returns the records that a journal reads from the disk."""
    return Journal.open(disk, NAME)[1]


def fail(_name: str) -> None:
    """Fails a sync."""
    raise OSError(EIO, 'input/output error')


class JournalTest(TestCase):
    """Tests of journals on a disk that fails."""

    @given(RECORDS, RECORDS, st.integers(0, 200))
    def test_crash_drops_only_unsynced_records(self, kept, lost, kept_bytes):
        """A crash only loses whole records, and only unsynced ones."""
        disk = FakeDisk()
        write(disk, kept)
        end = disk.synced[NAME]
        write(disk, lost)
        disk.synced[NAME] = end
        disk.crash(kept_bytes)
        records = read(disk)
        self.assertEqual(kept, records[: len(kept)])
        self.assertEqual(lost[: len(records) - len(kept)], records[len(kept) :])
        write(disk, [b'later'])
        self.assertEqual([*records, b'later'], read(disk))

    @given(RECORDS, st.integers(0))
    def test_any_flipped_bit_stops_the_journal(self, records, bit):
        """Damage to synced records raises, even in the last one."""
        disk = FakeDisk()
        write(disk, records)
        disk.flip_bit(NAME, bit % (len(disk.files[NAME]) * 8))
        error = self.assertRaises(JournalError, read, disk)
        self.assertIn('data folder', str(error))

    @given(RECORDS, st.binary(min_size=1, max_size=30), st.integers(1))
    def test_zeros_in_place_of_the_end_are_a_torn_tail(self, kept, last, cut):
        """A record is dropped if the file grew before its bytes arrived."""
        disk = FakeDisk()
        write(disk, kept)
        start = disk.synced[NAME]
        write(disk, [last])
        stored = disk.files[NAME]
        zeros = 1 + cut % (len(stored) - start)
        disk.files[NAME] = stored[:-zeros] + bytes(zeros)
        self.assertEqual(kept, read(disk))

    def test_failed_sync_is_final(self):
        """After a failed sync every call fails, even if the disk recovers."""

        async def scenario() -> None:
            disk = FakeDisk()
            journal, _ = Journal.open(disk, NAME)
            journal.append(b'1')
            disk.before_sync = fail
            with self.assertRaisesRegex(JournalError, 'repair the disk'):
                await journal.sync()
            disk.before_sync = len
            with self.assertRaises(JournalError):
                await journal.sync()
            self.assertRaises(JournalError, journal.append, b'2')
            self.assertRaises(JournalError, journal.replace, [])

        run(scenario())

    def test_waiting_callers_share_a_sync(self):
        """Concurrent callers share syncs of the disk."""

        async def scenario() -> int:
            disk = FakeDisk()
            journal, _ = Journal.open(disk, NAME)

            async def write_one(record: int) -> None:
                journal.append(b'%d' % record)
                await journal.sync()

            await gather(*map(write_one, range(100)))
            self.assertEqual(100, len(read(disk)))
            return disk.syncs

        self.assertLessEqual(run(scenario()), 2)

    @given(RECORDS, RECORDS, RECORDS)
    def test_replaced_records_are_gone(self, before, records, after):
        """A replacement removes all earlier records, synced or not."""
        disk = FakeDisk()
        journal = write(disk, before)
        journal.append(b'noted')
        journal.replace(records)
        for record in after:
            journal.append(record)
        journal.sync_now()
        self.assertEqual([*records, *after], read(disk))
        self.assertEqual(len(disk.files[NAME]), journal.size)
