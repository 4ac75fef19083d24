"""Tests that a replica which was removed while it was away comes back."""

from asyncio import run, sleep, wait_for

from bilberry_core.board import ReplicaStatus
from bilberry_core.settings import FoundingSettings
from testtools import TestCase

from tests.bilberry_replica.fleet import TIMEOUT_S, Fleet, build_change


async def wait_members(fleet: Fleet, names: str) -> ReplicaStatus:
    """Waits until these replicas are the voters; returns the leader's view."""

    def is_reached(status: ReplicaStatus | None) -> bool:
        return (
            status is not None
            and status.members == tuple(names)
            and status.voters == len(names)
        )

    for name in names:
        board = fleet.members[name].board
        await wait_for(board.replica.wait_for(is_reached), TIMEOUT_S)
    leader = await fleet.find_leader(names)
    return fleet.members[leader].board.replica.value


async def wait_removed(fleet: Fleet, name: str) -> ReplicaStatus:
    """Waits until a replica is no member; returns the status of another."""

    def is_reached(status: ReplicaStatus | None) -> bool:
        return status is not None and name not in status.members

    board = fleet.members['f'].board
    await wait_for(
        board.replica.wait_for(
            lambda status: is_reached(status) and 'f' in status.members
        ),
        TIMEOUT_S,
    )
    return board.replica.value


class ReadmissionTest(TestCase):
    """Five replicas of which two may be lost."""

    def test_replica_that_was_away_stays_removed(self):
        """It was removed in the place of one that is gone."""

        async def scenario():
            fleet = Fleet('abcde', founding=FoundingSettings(min_quorum=3))
            await fleet.start('abcde')
            await fleet.submit('b', build_change('1', 0))
            # The one that is away has been silent for longer.
            await fleet.kill('a')
            await sleep(0.3)
            await fleet.kill('e')
            fleet.extend('f')
            await fleet.start('f')
            removed = await wait_removed(fleet, 'a')
            await fleet.start('a')
            back = await wait_members(fleet, 'abcdf')
            accepted = await fleet.submit('a', build_change('2', 1))
            await fleet.kill('abcdf')
            return removed, back, accepted

        removed, back, accepted = run(scenario())
        self.assertEqual(('b', 'c', 'd', 'e', 'f'), removed.members)
        self.assertEqual(('a', 'b', 'c', 'd', 'f'), back.members)
        self.assertEqual(2, back.spare_losses)
        self.assertEqual(2, accepted.unwrap().version)

    def test_replica_that_an_operator_removed_comes_back(self):
        """It runs on, and asks; the operator's decision stands."""

        async def scenario():
            fleet = Fleet('abcd')
            await fleet.start('abcd')
            leader = await fleet.find_leader()
            removed = 'd' if leader != 'd' else 'a'
            left = 'abcd'.replace(removed, '')
            controller = fleet.members[leader].controller
            await controller.remove_replica(removed, TIMEOUT_S)
            await wait_members(fleet, left)
            # Longer than an election timeout, after which it asks.
            await sleep(0.5)
            members = fleet.members[leader].board.replica.value.members
            await fleet.kill('abcd')
            return left, members

        left, members = run(scenario())
        self.assertEqual(tuple(left), members)
