"""Tests of journals after losses of power that tear unsynced writes."""

from contextlib import suppress
from struct import pack
from zlib import crc32

from bilberry_core.error import JournalError
from bilberry_core.journal import Journal
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_core.power_loss import (
    LOSSES,
    SECTOR_BYTES,
    Fate,
    Loss,
    PowerLossDisk,
)

NAME = 'log'
#: Records of a few bytes, and of some sectors.
RECORD = st.binary(max_size=20) | st.builds(
    lambda fill, size: bytes((fill,)) * size,
    st.integers(0, 255),
    st.integers(0, 1500),
)
RECORDS = st.lists(RECORD, min_size=1, max_size=4)
STEP = st.tuples(
    st.sampled_from(('append', 'append', 'replace', 'sync', 'kill')),
    RECORDS,
    st.booleans(),
)


def encode_format_1(records: list[bytes]) -> bytes:
    """Returns a file as versions before batches wrote it."""
    content = [b'BILBERRY-JOURNAL-1\n']
    for record in records:
        sizes = pack('>II', len(record), crc32(record))
        content.append(sizes + pack('>I', crc32(sizes)) + record + b'\xa5')
    return b''.join(content)


class Writer:
    """Writes a journal, and knows what was acknowledged and what may be there.

    `acknowledged`
        What was durable at the last sync that ended.
    `replaced`
        What the last replacement held that was queued since.
    """

    def __init__(self, disk: PowerLossDisk) -> None:
        """Opens the journal of a disk."""
        self.disk = disk
        opened = Journal.open(disk, NAME)
        self.journal = opened[0]
        self.queued = opened[1]
        self.acknowledged: list[bytes] = []
        self.replaced: list[bytes] | None = None

    def append(self, records: list[bytes]) -> None:
        """Queues records."""
        self.queued = [*self.queued, *records]
        for record in records:
            self.journal.append(record)

    def replace(self, records: list[bytes]) -> None:
        """Queues a replacement."""
        self.queued = list(records)
        self.replaced = self.queued
        self.journal.replace(records)

    def sync(self) -> None:
        """Syncs; nothing is acknowledged if the disk refuses."""
        with suppress(OSError):
            self.journal.sync_now()
            self.acknowledged = self.queued
            self.replaced = None

    def restart(self) -> list[bytes]:
        """Opens the journal again, and returns its records."""
        opened = Journal.open(self.disk, NAME)
        self.journal = opened[0]
        self.queued = opened[1]
        return self.queued


class PowerLossTest(TestCase):
    """The start never fails, and everything acknowledged is there."""

    def write(self, *batches: list[bytes]) -> PowerLossDisk:
        """Returns a disk with these batches, the last of which is unsynced."""
        disk = PowerLossDisk()
        writer = Writer(disk)
        writer.sync()
        for records in batches[:-1]:
            writer.append(records)
            writer.sync()
        disk.refuses_syncs = True
        writer.append(batches[-1])
        writer.sync()
        return disk

    def check(self, writer: Writer) -> None:
        """Requires what was acknowledged, and nothing that was never queued."""
        queued = writer.queued
        found = writer.restart()
        count = len(writer.acknowledged)
        is_kept = writer.acknowledged == found[:count]
        if writer.replaced is None:
            self.assertTrue(is_kept)
        else:
            was_replaced = writer.replaced == found[: len(writer.replaced)]
            self.assertTrue(is_kept or was_replaced)
        if is_kept and writer.replaced is None:
            self.assertEqual(queued[: len(found)], found)

    @settings(max_examples=400)
    @given(
        st.none() | RECORDS,
        st.lists(st.tuples(st.lists(STEP, max_size=6), LOSSES), max_size=4),
        st.none() | st.integers(SECTOR_BYTES, 4000),
    )
    def test_unsynced_writes_are_present_missing_or_torn(
        self, old, rounds, write_bytes
    ):
        """Each on its own, or all gone, after kills and failed syncs."""
        disk = PowerLossDisk()
        if old is not None:
            disk.replace(NAME, encode_format_1(old))
        writer = Writer(disk)
        writer.acknowledged = old or []
        disk.write_bytes = write_bytes
        for steps, loss in rounds:
            for step, records, refuses in steps:
                disk.refuses_syncs = refuses
                if step == 'append':
                    writer.append(records)
                elif step == 'replace':
                    writer.replace(records)
                elif step == 'kill':
                    self.check(writer)
                if step != 'kill':
                    writer.sync()
            disk.lose_power(loss)
            self.check(writer)
        disk.refuses_syncs = False
        writer.append([b'last'])
        writer.sync()
        disk.lose_power(Loss(()))
        self.assertEqual(writer.acknowledged, writer.restart())

    def test_hole_before_a_whole_record_stops_the_start(self):
        """The first of two records is partly zeros, the second is whole."""
        disk = self.write([b'kept'], [b'\xff' * 2000, b'whole'])
        disk.lose_power(Loss((Fate(lost_sectors=0b10),)))
        with self.assertLogs('bilberry_core', 'WARNING') as logs:
            records = Journal.open(disk, NAME)[1]
        self.assertEqual([b'kept'], records)
        (record,) = logs.records
        self.assertEqual('journal_tail_dropped', record.getMessage())

    @given(st.integers(0, 7), st.integers(0, 7))
    def test_hole_in_what_was_synced_is_cut_off(self, first, count):
        """Batches written after a sync prove that earlier ones were synced."""
        disk = self.write([b'\xff' * 1500], [b'\xee' * 1500], [b'later'])
        stored = disk.files[NAME]
        start = first * SECTOR_BYTES
        end = min((first + count + 1) * SECTOR_BYTES, disk.synced[NAME])
        zeros = bytes(max(0, end - start))
        disk.files[NAME] = stored[:start] + zeros + stored[start + len(zeros) :]
        if zeros:
            self.assertRaises(JournalError, Journal.open, disk, NAME)

    @given(st.integers(1))
    def test_hole_in_a_replacement_is_cut_off(self, position):
        """It was synced before it had its name."""
        disk = PowerLossDisk()
        writer = Writer(disk)
        writer.replace([b'\xff' * 2000])
        writer.sync()
        stored = disk.files[NAME]
        start = position % len(stored)
        disk.files[NAME] = stored[:start] + bytes(len(stored) - start)
        self.assertRaises(JournalError, Journal.open, disk, NAME)

    def test_journal_of_format_1_can_not_be_read(self):
        """Its records are kept, and written in batches from then on."""
        disk = PowerLossDisk()
        disk.replace(NAME, encode_format_1([b'one', b'two']))
        writer = Writer(disk)
        self.assertEqual([b'one', b'two'], writer.queued)
        writer.append([b'three'])
        writer.sync()
        self.assertEqual([b'one', b'two', b'three'], writer.restart())
        self.assertEqual(len(disk.files[NAME]), writer.journal.size)
        disk.flip_bit(NAME, 8 * 60)
        self.assertRaises(JournalError, writer.restart)

    @given(st.lists(st.binary(max_size=20), max_size=4), st.integers(0))
    def test_flipped_bit_in_format_1_is_taken_over(self, records, bit):
        """Damage that shows in the old format is refused as before."""
        disk = PowerLossDisk()
        disk.replace(NAME, encode_format_1(records))
        disk.flip_bit(NAME, bit % (len(disk.files[NAME]) * 8))
        self.assertRaises(JournalError, Journal.open, disk, NAME)
