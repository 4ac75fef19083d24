"""Tests that journals return synced records and detect damage."""

from asyncio import create_task, gather, run, wait
from contextlib import suppress
from errno import EIO

from bilberry_core.error import JournalError
from bilberry_core.journal import RETRY_S, Journal
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


def read_synced(disk: FakeDisk) -> list[bytes]:
    """Returns the records that would survive a crash."""
    survivor = FakeDisk()
    stored = disk.files.get(NAME, bytearray())
    survivor.files[NAME] = stored[: disk.synced.get(NAME, 0)]
    return read(survivor)


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

    def test_refused_writes_are_tried_again_in_order(self):
        """Nothing is durable before the disk works again; then all is."""

        async def scenario() -> list[bool]:
            disk = FakeDisk()
            journal, _ = Journal.open(disk, NAME)
            journal.append(b'1')
            await journal.sync()
            disk.before_sync = fail
            journal.append(b'2')
            syncing = create_task(journal.sync())
            await wait([syncing], timeout=2 * RETRY_S)
            states = [syncing.done(), journal.is_failing]
            journal.append(b'3')
            disk.before_sync = len
            await gather(syncing, journal.sync())
            self.assertEqual([b'1', b'2', b'3'], read(disk))
            self.assertEqual(len(disk.files[NAME]), journal.size)
            return [*states, journal.is_failing, journal.has_unsynced]

        self.assertEqual([False, True, False, False], run(scenario()))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('append', 'replace', 'reopen')),
                RECORDS,
                st.none() | st.integers(0, 60),
                st.booleans(),
            ),
            max_size=12,
        )
    )
    def test_disk_that_is_full_now_and_then(self, steps):
        """After a crash, all that was synced or replaces it is there."""
        disk = FakeDisk()
        journal = write(disk, [b'first'])
        synced = [b'first']
        replaced = synced
        queued = [b'first']
        for step, records, room, fails in steps:
            disk.room = room
            disk.before_sync = fail if fails else len
            if step == 'append':
                queued = [*queued, *records]
                for record in records:
                    journal.append(record)
            elif step == 'replace':
                queued = list(records)
                replaced = queued
                journal.replace(records)
            if step == 'reopen':
                disk.crash(room or 0)
                journal, found = Journal.open(disk, NAME)
                kept = (found[: len(synced)], found[: len(replaced)])
                self.assertTrue(synced == kept[0] or replaced == kept[1])
                synced = replaced = queued = found
            with suppress(OSError):
                journal.sync_now()
                synced = replaced = queued
                self.assertEqual(synced, read_synced(disk))
        disk.room = None
        disk.before_sync = len
        journal.append(b'last')
        journal.sync_now()
        self.assertEqual([*queued, b'last'], read_synced(disk))

    def test_start_on_a_full_disk_drops_a_torn_tail(self):
        """The tail is cut off before the next record is written."""
        disk = FakeDisk()
        write(disk, [b'kept'])
        write(disk, [b'torn'])
        del disk.files[NAME][-3:]
        disk.room = 0
        disk.before_sync = fail
        journal, records = Journal.open(disk, NAME)
        self.assertEqual([b'kept'], records)
        journal.append(b'later')
        self.assertRaises(OSError, journal.sync_now)
        self.assertEqual([b'kept'], Journal.open(disk, NAME)[1])
        disk.room = None
        disk.before_sync = len
        journal.sync_now()
        self.assertEqual([b'kept', b'later'], read(disk))

    def test_what_was_read_is_synced_before_it_counts(self):
        """A killed process may have written more than it synced."""
        disk = FakeDisk()
        write(disk, [b'written'])
        disk.synced[NAME] = 0
        journal, records = Journal.open(disk, NAME)
        self.assertTrue(journal.has_unsynced)
        journal.sync_now()
        disk.crash()
        self.assertEqual(records, read(disk))

    def test_lost_synced_bytes_stop_the_journal(self):
        """A file that is shorter than what was synced is not continued."""
        disk = FakeDisk()
        journal = write(disk, [b'1', b'2'])
        synced = disk.synced[NAME]
        disk.before_sync = fail
        journal.append(b'3')
        self.assertRaises(OSError, journal.sync_now)
        disk.before_sync = len
        del disk.files[NAME][synced - 1 :]
        self.assertRaises(JournalError, journal.sync_now)

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
