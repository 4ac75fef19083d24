"""Tests that no stop waits for a disk that hangs."""

from asyncio import create_task, run, sleep, to_thread
from subprocess import run as run_process
from sys import executable
from threading import Event, get_ident
from unittest.mock import patch

from bilberry_core.disk_thread import IDLE_S, DiskThread
from bilberry_core.journal import Journal
from testtools import TestCase

from tests.bilberry_core.fake_disk import FakeDisk

#: Longest time for a process to start and to stop, in seconds.
STOP_S = 60


class HangingStopTest(TestCase):
    """A stop says what it leaves behind."""

    def test_exit_waits_for_the_thread_that_syncs(self):
        """The process ends, and names the journal."""
        ended = run_process(
            [executable, '-m', 'tests.bilberry_core.hanging_stop'],
            capture_output=True,
            check=False,
            timeout=STOP_S,
        )
        self.assertEqual(0, ended.returncode, ended.stderr)
        self.assertIn(b'journal_left_unsynced', ended.stderr)

    def test_stop_gives_up_a_slow_sync(self):
        """What is durable before the wait is over is not left behind."""
        disk = FakeDisk()
        begun = Event()
        ended = Event()

        def sync(_name: str) -> None:
            begun.set()
            ended.wait()

        async def scenario() -> None:
            disk.before_sync = sync
            journal, _records = Journal.open(disk, 'log')
            journal.append(b'acknowledged')
            syncing = create_task(journal.sync())
            await to_thread(begun.wait)
            finishing = create_task(journal.finish())
            ended.set()
            await finishing
            await syncing
            self.assertFalse(journal.has_unsynced)

        with self.assertNoLogs('bilberry_core', 'WARNING'):
            run(scenario())
        self.assertEqual([b'acknowledged'], Journal.open(disk, 'log')[1])

    def test_error_of_a_disk_is_lost_in_its_thread(self):
        """It is raised where the call is awaited."""

        async def scenario() -> None:
            def fail() -> None:
                raise OSError('disk')

            await DiskThread().run(fail)

        self.assertRaises(OSError, run, scenario())

    def test_call_after_a_pause_waits_for_an_ended_thread(self):
        """A thread that had nothing to do ends, and another one begins."""

        async def scenario() -> list[int]:
            thread = DiskThread()
            with patch('bilberry_core.disk_thread.IDLE_S', IDLE_S / 1000):
                first = await thread.run(get_ident)
                while thread._is_running:
                    await sleep(IDLE_S / 1000)
                return [first, await thread.run(get_ident)]

        self.assertEqual(2, len(run(scenario())))
