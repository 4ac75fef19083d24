"""Replicas with real streams: acceptance, failures, removal and growth."""

from asyncio import gather, run
from errno import EIO
from threading import Event

from bilberry_core.acceptance import (
    Accepted,
    ChangeIdReused,
    Conflict,
    NotAccepted,
    OutcomeUnknown,
)
from bilberry_core.error import JournalError
from bilberry_replica.limits import Limits
from returns.result import Failure, Success
from testtools import TestCase

from tests.bilberry_core.fake_disk import FakeDisk
from tests.bilberry_replica.fleet import TIMEOUT_S, Fleet, build_change
from tests.virtual_time import VirtualClock, run_virtually


def fail_sync(_name: str) -> None:
    """Raises the I/O error of a failed sync."""
    raise OSError(EIO, 'input/output error')


class ControllerTest(TestCase):
    """Replicas in one process, connected by streams."""

    def test_single_replica_accepts(self):
        """A change that a single replica accepted survives its restart."""

        async def scenario():
            fleet = Fleet('a')
            await fleet.start('a')
            first = await fleet.submit('a', build_change('1', 0))
            await fleet.kill('a')
            await fleet.start('a')
            again = await fleet.submit('a', build_change('1', 0))
            await fleet.kill('a')
            return first, again

        first, again = run(scenario())
        self.assertEqual(Success(Accepted(1)), first)
        self.assertEqual(Success(Accepted(1, resent=True)), again)

    def test_three_replicas_decide_alike(self):
        """Each replica accepts changes; all publish the accepted version."""

        async def scenario():
            fleet = Fleet('abc')
            await fleet.start('abc')
            outcomes = [
                await fleet.submit('a', build_change('1', 0)),
                await fleet.submit('b', build_change('2', 1)),
                await fleet.submit('c', build_change('3', 2)),
                await fleet.submit('a', build_change('3', 2)),
                await fleet.submit('b', build_change('3', 2, 'stock')),
                await fleet.submit('c', build_change('4', 2)),
                await fleet.submit('c', build_change('5', 3, ' ')),
            ]
            await fleet.wait_version(3)
            currents = [
                await member.controller.read_current(TIMEOUT_S)
                for member in fleet.members.values()
            ]
            beacons = [
                await member.board.beacon.wait_for(
                    lambda beacon: beacon is not None and beacon.version == 3,
                )
                for member in fleet.members.values()
            ]
            epochs = {
                member.board.claim_epoch.value
                for member in fleet.members.values()
            }
            await fleet.kill('abc')
            return outcomes, currents, beacons, epochs

        outcomes, currents, beacons, epochs = run(scenario())
        self.assertEqual(
            [Success(Accepted(1)), Success(Accepted(2)), Success(Accepted(3))],
            outcomes[:3],
        )
        self.assertEqual(Success(Accepted(3, resent=True)), outcomes[3])
        self.assertEqual(Failure(ChangeIdReused('3', 3)), outcomes[4])
        conflict = outcomes[5].failure()
        self.assertIsInstance(conflict, Conflict)
        self.assertEqual([3], [entry.version for entry in conflict.newer])
        self.assertIsInstance(outcomes[6].failure(), NotAccepted)
        self.assertEqual(
            {3}, {current.unwrap().version for current in currents}
        )
        self.assertEqual(1, len({beacon.term for beacon in beacons}))
        (epoch,) = epochs
        self.assertEqual(
            ['a', 'b', 'c'],
            [holder.instance for holder in epoch.holders],
        )

    def test_leader_loss_keeps_what_was_accepted(self):
        """A new leader knows the change that the lost one accepted."""

        async def scenario():
            fleet = Fleet('abc', clock=VirtualClock())
            await fleet.start('abc')
            leader = await fleet.find_leader()
            first = await fleet.submit(leader, build_change('1', 0))
            await fleet.kill(leader)
            remaining = 'abc'.replace(leader, '')
            again = await fleet.submit(remaining[0], build_change('1', 0))
            second = await fleet.submit(remaining[1], build_change('2', 1))
            await fleet.start(leader)
            await fleet.wait_version(2)
            await fleet.kill('abc')
            return first, again, second

        first, again, second = run_virtually(scenario())
        self.assertEqual(Success(Accepted(1)), first)
        self.assertEqual(Success(Accepted(1, resent=True)), again)
        self.assertEqual(Success(Accepted(2)), second)

    def test_without_quorum_nothing_is_accepted(self):
        """The last of three replicas accepts nothing and confirms no read."""

        async def scenario():
            fleet = Fleet('abc', clock=VirtualClock())
            await fleet.start('abc')
            leader = await fleet.find_leader()
            await fleet.submit(leader, build_change('1', 0))
            lost = 'abc'.replace(leader, '')
            await fleet.kill(lost)
            controller = fleet.members[leader].controller
            unknown = await controller.submit(build_change('2', 1), 0.3)
            refused = await controller.submit(build_change('3', 1), 0.3)
            read = await controller.read_current(0.3)
            await fleet.start(lost)
            resent = await fleet.submit(leader, build_change('2', 1))
            await fleet.kill('abc')
            return unknown, refused, read, resent

        unknown, refused, read, resent = run_virtually(scenario())
        self.assertIsInstance(unknown.failure(), OutcomeUnknown)
        self.assertIsInstance(refused.failure(), NotAccepted)
        self.assertIsInstance(read.failure(), NotAccepted)
        self.assertEqual(2, resent.unwrap().version)

    def test_leader_with_a_failing_disk_stands_back(self):
        """The others accept without it, and with it once its disk works."""

        async def scenario():
            fleet = Fleet('abc')
            await fleet.start('abc')
            leader = await fleet.find_leader()
            await fleet.submit(leader, build_change('1', 0))
            await fleet.wait_version(1)
            member = fleet.members[leader]
            member.disk.before_sync = fail_sync
            remaining = 'abc'.replace(leader, '')
            outcomes = [await fleet.submit(leader, build_change('2', 1))]
            await fleet.find_leader(remaining)
            outcomes += [
                await fleet.submit(leader, build_change('3', 2)),
                await fleet.submit(remaining[0], build_change('4', 3)),
            ]
            stalled = await member.board.replica.wait_for(
                lambda status: status.disk_stalled,
            )
            shown = member.board.accepted.value
            member.disk.before_sync = len
            await fleet.wait_version(4)
            is_running = not member.task.done()
            await fleet.kill('abc')
            await fleet.start(leader)
            restored = fleet.members[leader].controller.read_history(9)
            await fleet.kill(leader)
            return outcomes, stalled, shown, is_running, restored

        outcomes, stalled, shown, is_running, restored = run(scenario())
        self.assertEqual(
            [2, 3, 4], [outcome.unwrap().version for outcome in outcomes]
        )
        self.assertNotEqual('leader', stalled.role)
        self.assertEqual(1, shown.version)
        self.assertTrue(is_running)
        self.assertEqual(4, restored[0].version)

    def test_nothing_is_accepted_while_all_disks_fail(self):
        """Once they work again, what was sent again is accepted once."""

        async def scenario():
            fleet = Fleet('abc')
            await fleet.start('abc')
            leader = await fleet.find_leader()
            await fleet.submit(leader, build_change('1', 0))
            await fleet.wait_version(1)
            for member in fleet.members.values():
                member.disk.before_sync = fail_sync
            controller = fleet.members[leader].controller
            change = await controller.submit(build_change('2', 1), 0.5)
            read = await controller.read_current(0.5)
            terms = [
                member.board.replica.value.term
                for member in fleet.members.values()
            ]
            for member in fleet.members.values():
                member.disk.before_sync = len
            resent = await fleet.submit(leader, build_change('2', 1))
            await fleet.kill('abc')
            return change, read, terms, resent

        change, read, terms, resent = run(scenario())
        self.assertIsInstance(change.failure(), OutcomeUnknown)
        self.assertIsInstance(read.failure(), NotAccepted)
        self.assertLessEqual(max(terms), min(terms) + 1)
        self.assertEqual(2, resent.unwrap().version)

    def test_replica_that_starts_on_a_failing_disk_follows(self):
        """It reads its state and follows, and serves again with room."""

        async def scenario():
            fleet = Fleet('abc')
            await fleet.start('abc')
            await fleet.submit('a', build_change('1', 0))
            await fleet.wait_version(1)
            await fleet.kill('c')
            disk = fleet.members['c'].disk
            disk.files['replica.journal'].extend(b'torn')
            disk.before_sync = fail_sync
            await fleet.start('c')
            second = await fleet.submit('c', build_change('2', 1))
            member = fleet.members['c']
            await member.board.replica.wait_for(
                lambda status: status.disk_stalled and bool(status.leader),
            )
            shown = member.board.accepted.value
            disk.before_sync = len
            await fleet.wait_version(2)
            await fleet.kill('abc')
            return second, shown

        second, shown = run(scenario())
        self.assertEqual(2, second.unwrap().version)
        self.assertEqual(1, shown.version)

    def test_stop_waits_for_a_disk_that_hangs(self):
        """It ends and names the journal; what was accepted is there."""

        async def scenario():
            fleet = Fleet('abc')
            await fleet.start('abc')
            await fleet.submit('a', build_change('1', 0))
            await fleet.wait_version(1)
            member = fleet.members['c']
            is_free = Event()
            member.disk.before_sync = lambda _name: is_free.wait()
            await fleet.submit('a', build_change('2', 1))
            await member.board.replica.wait_for(
                lambda status: status.disk_stalled,
            )
            await member.controller.stop()
            await member.task
            await fleet.kill('abc')
            member.disk.before_sync = len
            await fleet.start('abc')
            await fleet.wait_version(2)
            await fleet.kill('abc')
            is_free.set()

        with self.assertLogs('bilberry_core', 'CRITICAL') as logs:
            run(scenario())
        events = {record.getMessage() for record in logs.records}
        self.assertIn('journal_left_unsynced', events)

    def test_damaged_journal_stops_one_replica(self):
        """A replica with a flipped bit refuses to start and names a remedy."""

        async def scenario():
            fleet = Fleet('abc')
            await fleet.start('abc')
            await fleet.submit('a', build_change('1', 0))
            await fleet.wait_version(1)
            await fleet.kill('c')
            fleet.members['c'].disk.flip_bit('replica.journal', 999)
            refused = await gather(fleet.start('c'), return_exceptions=True)
            after = await fleet.submit('a', build_change('2', 1))
            await fleet.kill('ab')
            return refused, after

        refused, after = run(scenario())
        self.assertIsInstance(refused[0], JournalError)
        self.assertIn('empty it', str(refused[0]))
        self.assertEqual(Success(Accepted(2)), after)

    def test_removed_replica_no_longer_counts(self):
        """After one of three is removed, the other two accept on their own."""

        async def scenario():
            fleet = Fleet('abc')
            await fleet.start('abc')
            leader = await fleet.find_leader()
            removed, other = 'abc'.replace(leader, '')
            controller = fleet.members[other].controller
            done = await controller.remove_replica(removed, TIMEOUT_S)
            await fleet.members[leader].board.claim_epoch.wait_for(
                lambda epoch: epoch is not None and len(epoch.holders) == 2,
            )
            await fleet.kill(removed)
            after = await fleet.submit(other, build_change('1', 0))
            await fleet.kill(leader + other)
            return done, after

        self.assertEqual((True, Success(Accepted(1))), run(scenario()))

    def test_replica_with_a_new_disk_votes_again(self):
        """A replica with a new disk votes again once it has caught up."""

        async def scenario():
            fleet = Fleet('abc', limits=Limits(log_entries=8, kept_entries=2))
            await fleet.start('abc')
            leader = await fleet.find_leader()
            for version in range(20):
                await fleet.submit(leader, build_change(str(version), version))
            lost, other = 'abc'.replace(leader, '')
            await fleet.kill(lost)
            await fleet.start(lost, FakeDisk())
            await fleet.wait_version(20)
            board = fleet.members[lost].board
            epoch = await board.claim_epoch.wait_for(
                lambda epoch: epoch is not None and epoch.epoch == 3,
            )
            await fleet.kill(other)
            after = await fleet.submit(lost, build_change('20', 20))
            await fleet.kill(leader + lost)
            return epoch, after

        epoch, after = run(scenario())
        self.assertEqual(3, len(epoch.holders))
        self.assertEqual(Success(Accepted(21)), after)

    def test_growth_from_three_to_five(self):
        """New replicas are admitted one by one; two of five may be lost."""

        async def scenario():
            fleet = Fleet('abc')
            await fleet.start('abc')
            await fleet.submit('a', build_change('1', 0))
            fleet.extend('de')
            await fleet.start('de')
            for name in 'abcde':
                await fleet.members[name].board.claim_epoch.wait_for(
                    lambda epoch: epoch is not None and len(epoch.holders) == 5,
                )
            await fleet.kill('ab')
            after = await fleet.submit('e', build_change('2', 1))
            await fleet.kill('cde')
            return after

        self.assertEqual(Success(Accepted(2)), run(scenario()))
