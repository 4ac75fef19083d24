"""Schedules of faults against a naive table, and rules broken on purpose.

A broken variant must be found by the very checks that the real holders and
proxies pass.
"""

from contextlib import ExitStack
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from bilberry_claims.catch_up import CatchUp
from bilberry_claims.holder_core import HolderCore
from bilberry_claims.membership import Membership
from bilberry_claims.broadcast import Fact
from bilberry_core.claim import Granted
from bilberry_core.messages.claim import HolderPhase
from tests.bilberry_claims.world import Node, Violation, World

_SEEDS = st.integers(0, 2**64 - 1)
_STEPS = 400
#: Schedules within which a broken rule must be found.
_TRIES = 1500


class WorldTest(TestCase):
    """Holders and proxies behave as one table, whatever happens."""

    @settings(max_examples=700)
    @given(_SEEDS)
    def test_three_holders(self, seed):
        World(seed, 3).run(_STEPS)

    @settings(max_examples=300)
    @given(_SEEDS)
    def test_five_holders(self, seed):
        World(seed, 5).run(_STEPS)

    @settings(max_examples=300)
    @given(_SEEDS)
    def test_holders_that_never_change(self, seed):
        World(seed, 3, change=0).run(_STEPS)


def _sync_nothing(node):
    """Lets replies go before they are durable."""
    sends = node.held
    node.held = []
    if len(node.unsynced) > 3:
        node.durable.extend(node.unsynced)
        node.unsynced = []
    return sends


def _count_any(holders, confirmed):
    return bool(set(confirmed) & {one.instance for one in holders})


def _fill_at_start(node):
    _start(node)
    if node.wiped:
        node.core.membership = Membership(
            phase=HolderPhase.FULL,
            members=tuple(f'holder-{number}' for number in range(1, 4)),
            store=1,
        )


def _fill_at_once(catch_up):
    core = catch_up._core
    return core.keep(core.membership.fill(catch_up._epoch))


def _release_after_run(world, proxy):
    """Runs the request, then says that it was not run."""
    if not isinstance(proxy.process.outcome, Granted) or proxy.told:
        return
    world.naive.run(proxy.key, proxy.name)
    world.naive.release(proxy.key, proxy.name)
    fact = Fact(proxy.attempt, (proxy.process.token,))
    world.send(proxy.name, proxy.tell(fact))


def _keep_own(own, other):
    return own if own.votes or own.is_settled else other


_start = Node.start
_CLAIMS = 'bilberry_claims'


class BrokenTest(TestCase):
    """Each rule is needed: without it the checks find a violation."""

    def _assert_found(self, *patches, **weights):
        with ExitStack() as stack:
            for one in patches:
                stack.enter_context(one)
            for seed in range(_TRIES):
                try:
                    World(seed, 3, **weights).run(_STEPS)
                except Violation:
                    return seed
        return self.fail('no schedule found the broken rule')

    def test_reply_before_sync(self):
        self._assert_found(patch.object(Node, 'sync', _sync_nothing))

    def test_quorum_of_one(self):
        self._assert_found(patch(f'{_CLAIMS}.quorum.is_quorum', _count_any))

    def test_epoch_unchecked(self):
        self._assert_found(
            patch.object(HolderCore, '_acts_in', lambda *_any: True),
            change=8,
            finish=20,
            tell_node=40,
            tell_proxy=1,
        )

    def test_empty_replacement_counted(self):
        self._assert_found(
            patch.object(Node, 'start', _fill_at_start),
            change=0,
        )

    def test_no_handover(self):
        self._assert_found(patch.object(CatchUp, '_finish', _fill_at_once))

    def test_handover_from_one(self):
        self._assert_found(
            patch(f'{_CLAIMS}.catch_up.count_sources', lambda _size: 1),
        )

    def test_conflict_not_kept(self):
        self._assert_found(patch(f'{_CLAIMS}.record._choose', _keep_own))

    def test_release_after_run(self):
        self._assert_found(patch.object(World, 'go_on', _release_after_run))


class LostFolderTest(TestCase):
    """A vote counted from a folder that was lost since."""

    def _lose_a_folder_between_two_votes(self):
        """Both proxies get a majority of replies if the loss is ignored."""
        world = World(0)
        one, two, three = world.nodes
        first = world.add_proxy('a')
        world.deliver_between(first.name, one)
        world.nodes[one].wipe()
        world.nodes[one].start()
        for _ in range(4):
            world.tell_epoch_to_node(world.nodes[one])
            world.poll(world.nodes[one])
            world.deliver_between(one, two, three)
        self.assertTrue(world.is_ready(world.nodes[one]))
        world.deliver_between(first.name, two)
        second = world.add_proxy('a')
        world.deliver_between(second.name, one)
        world.deliver_between(second.name, three)
        world.quiesce()
        return [first, second]

    def test_vote_of_a_lost_folder_does_not_count(self):
        proxies = self._lose_a_folder_between_two_votes()
        granted = [isinstance(one.process.outcome, Granted) for one in proxies]
        self.assertEqual(1, sum(granted))

    def test_ignoring_the_loss_grants_twice(self):
        ignore = patch(
            f'{_CLAIMS}.decision.find_outdated',
            lambda _standings: frozenset(),
        )
        with ignore:
            self.assertRaises(
                Violation,
                self._lose_a_folder_between_two_votes,
            )
