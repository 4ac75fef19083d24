"""Simulates schedules of faults and compares them with a naive table.

Other tests break one rule on purpose: the checks that the real holders and
proxies pass must then report a violation.
"""

from contextlib import ExitStack
from unittest.mock import patch

from bilberry_claims.broadcast import TokenUpdate
from bilberry_claims.catch_up import CatchUp
from bilberry_claims.holder_core import HolderCore
from bilberry_claims.membership import Membership
from bilberry_claims.process import ClaimProcess
from bilberry_claims.quorum import get_epoch_number
from bilberry_core.claim import Granted
from bilberry_core.messages.claim import HolderPhase
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_claims.world import Node, Violation, World

_SEEDS = st.integers(0, 2**64 - 1)
_STEPS = 400
#: Most schedules to run until a broken rule is detected.
_MAX_SCHEDULES = 3000
_OFTEN_CHANGED = {
    'change': 8,
    'finish': 20,
    'send_epoch_to_node': 40,
    'send_epoch_to_proxy': 1,
    'crash': 8,
    'restart': 20,
}


class WorldTest(TestCase):
    """Holders and proxies behave as one table under random faults."""

    @settings(max_examples=400)
    @given(_SEEDS)
    def test_three_holders(self, seed):
        World(seed, 3).run(_STEPS)

    @settings(max_examples=200)
    @given(_SEEDS)
    def test_five_holders(self, seed):
        World(seed, 5).run(_STEPS)

    @settings(max_examples=300)
    @given(_SEEDS)
    def test_holders_that_change_often(self, seed):
        World(seed, 3, **_OFTEN_CHANGED).run(_STEPS)

    @settings(max_examples=100)
    @given(_SEEDS)
    def test_pages_of_one_claim(self, seed):
        with patch(f'{_CLAIMS}.holder_core._PAGE_CLAIMS', 1):
            World(seed, 3, **_OFTEN_CHANGED).run(_STEPS)

    @settings(max_examples=200)
    @given(_SEEDS)
    def test_holders_that_never_change(self, seed):
        World(seed, 3, change=0).run(_STEPS)


def _sync_nothing(node):
    """Sends replies before their records are durable."""
    sends = node.queued
    node.queued = []
    if len(node.unsynced) > 3:
        node.durable.extend(node.unsynced)
        node.unsynced = []
    return sends


def _count_any(holders, confirmed):
    return bool(set(confirmed) & {one.instance for one in holders})


def _fill_at_start(node):
    _original_start(node)
    if node.wiped:
        node.core.membership = Membership(
            epoch=3,
            phase=HolderPhase.FULL,
            store=1,
        )


def _fill_at_once(catch_up):
    core = catch_up._core
    return core.update_membership(core.membership.fill(catch_up._epoch))


def _release_after_run(world, proxy):
    """Runs the request, then releases the claim as not run."""
    if not isinstance(proxy.process.outcome, Granted) or proxy.broadcast:
        return
    world.naive.run(proxy.key, proxy.name)
    world.naive.release(proxy.key, proxy.name)
    update = TokenUpdate(proxy.attempt, (proxy.process.token,))
    world.send(proxy.name, proxy.start_broadcast(update))


def _keep_own(own, other):
    return own if own.votes or own.is_settled else other


def _adopt_any(core, epoch):
    """Adopts any epoch, also one older than the current one."""
    core.epoch = epoch
    return core.update_membership(
        core.membership._replace(epoch=get_epoch_number(epoch))
    )


def _vote_with_one_token(process):
    """Gives every round the same request number and thus the same token."""
    process._dependencies = process._dependencies._replace(
        next_request=lambda: 1
    )
    return _original_vote(process)


_original_start = Node.start
_original_vote = ClaimProcess._vote
_CLAIMS = 'bilberry_claims'


class BrokenRuleTest(TestCase):
    """Without one of the rules, the checks report a violation."""

    def _assert_found(self, *patches, **weights):
        with ExitStack() as stack:
            for one in patches:
                stack.enter_context(one)
            for seed in range(_MAX_SCHEDULES):
                try:
                    World(seed, 3, **weights).run(_STEPS)
                except Violation:
                    return seed
        return self.fail(
            f'no violation of the rule in {_MAX_SCHEDULES} schedules'
        )

    def test_reply_before_sync(self):
        self._assert_found(patch.object(Node, 'sync', _sync_nothing))

    def test_quorum_of_one(self):
        self._assert_found(patch(f'{_CLAIMS}.quorum.is_quorum', _count_any))

    def test_one_token_for_all_rounds(self):
        self._assert_found(
            patch.object(ClaimProcess, '_vote', _vote_with_one_token),
        )

    def test_empty_replacement_counted(self):
        self._assert_found(
            patch.object(Node, 'start', _fill_at_start),
            change=0,
        )

    def test_no_handover(self):
        self._assert_found(patch.object(CatchUp, '_finish', _fill_at_once))

    def test_release_after_run(self):
        self._assert_found(
            patch.object(World, 'run_or_release', _release_after_run)
        )


def _lose_a_folder(world, first):
    """Proxies get votes before and after a holder loses its data folder."""
    one, two, three = world.nodes
    world.deliver_between(first.name, one)
    world.nodes[one].wipe()
    world.nodes[one].start()
    for _ in range(5):
        world.send_epoch_to_node(world.nodes[one])
        world.poll(world.nodes[one])
        world.deliver_between(one, two, three)
    world.deliver_between(first.name, two)
    second = world.add_proxy('a')
    world.deliver_between(second.name, one)
    world.deliver_between(second.name, three)


def _change_holders_unseen_by_proxy(world, first, restarts=False):
    """A proxy and a removed holder still act in an old epoch."""
    one, two, three = world.nodes
    kept = tuple(world.nodes[name].holder for name in (one, two))
    world.replace_holders(kept, one, two)
    fresh = world.add_node()
    four = fresh.holder.instance
    world.replace_holders((*kept, fresh.holder), one, two, four)
    if restarts:
        world.nodes[one].crash(0)
        world.nodes[one].start()
        world.adopt_epoch(world.nodes[one], world.history[0])
    world.deliver_between(first.name, three)
    world.deliver_between(first.name, one)
    second = world.add_proxy('a')
    world.send_epoch_to_proxy(second)
    world.deliver_between(second.name, two, four)


def _restart_holder_in_old_epoch(world, first):
    """A holder restarts with a log that ends in an old epoch."""
    _change_holders_unseen_by_proxy(world, first, restarts=True)


def _hand_over_twice(world, first):
    """A holder without the vote copies the claims, then hands them over."""
    one, two, three = world.nodes
    world.deliver_between(first.name, one, two)
    kept = tuple(world.nodes[name].holder for name in (two, three))
    world.replace_holders(kept, two, three)
    fresh = world.add_node()
    four = fresh.holder.instance
    world.replace_holders((*kept, fresh.holder), three, four)
    second = world.add_proxy('a')
    world.send_epoch_to_proxy(second)
    world.deliver_between(second.name, three, four)


def _hand_over_a_conflict(world, first):
    """A holder with a conflicting vote hands over the claims it copied."""
    one, two, three = world.nodes
    second = world.add_proxy('a')
    world.deliver_between(second.name, two)
    world.deliver_between(first.name, one, three)
    kept = tuple(world.nodes[name].holder for name in (one, two))
    world.replace_holders(kept, one, two)
    fresh = world.add_node()
    four = fresh.holder.instance
    world.replace_holders((*kept, fresh.holder), two, four)
    world.send_epoch_to_proxy(second)
    world.deliver_between(second.name, two, four)


class DirectedTest(TestCase):
    """Schedules that grant a key twice if one rule is missing."""

    def _count_grants(self, schedule):
        world = World(0)
        first = world.add_proxy('a')
        schedule(world, first)
        world.quiesce()
        granted = [
            proxy
            for proxy in world.proxies.values()
            if isinstance(proxy.process.outcome, Granted)
        ]
        return len(granted)

    def _assert_needed(self, schedule, broken_rule):
        self.assertEqual(1, self._count_grants(schedule))
        with broken_rule:
            self.assertRaises(Violation, self._count_grants, schedule)

    def test_votes_of_a_lost_folder_do_not_count(self):
        self._assert_needed(
            _lose_a_folder,
            patch(
                f'{_CLAIMS}.decision.find_outdated',
                lambda _standings: frozenset(),
            ),
        )

    def test_holders_refuse_messages_of_another_epoch(self):
        self._assert_needed(
            _change_holders_unseen_by_proxy,
            patch.object(HolderCore, '_is_current_epoch', lambda *_any: True),
        )

    def test_epoch_survives_a_restart(self):
        self._assert_needed(
            _restart_holder_in_old_epoch,
            patch.object(HolderCore, 'adopt', _adopt_any),
        )

    def test_conflicting_votes_are_both_handed_over(self):
        self._assert_needed(
            _hand_over_a_conflict,
            patch(f'{_CLAIMS}.record._choose', _keep_own),
        )

    def test_enough_holders_hand_over(self):
        self._assert_needed(
            _hand_over_twice,
            patch(f'{_CLAIMS}.catch_up.count_sources', lambda _size: 1),
        )
