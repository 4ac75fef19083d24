"""Memberships: quorums, single changes and the resulting claim holders."""

from bilberry_core.messages.replica import Member, ProbeReply
from bilberry_replica.founding import decide_founding
from bilberry_replica.member import (
    add_learner,
    build_epoch,
    build_first_membership,
    end_handover,
    has_quorum,
    promote,
    remove_member,
)
from bilberry_replica.removal import find_surplus_member
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_replica.checker import is_quorum

NAMES = st.sets(st.sampled_from('abcdefg'), min_size=1)


def build_member(name: str, domain: str = '', store: int = 1) -> Member:
    """Returns a member; its failure domain is its name unless given."""
    return Member(name, '127.0.0.1', 1, domain or name, store)


class MemberTest(TestCase):
    """Memberships without a minimum quorum."""

    @given(NAMES, NAMES, st.integers(1, 3))
    def test_quorum_matches_the_naive_one(self, names, agreeing, domains):
        """A quorum is a majority in two failure domains, in any membership."""
        members = [
            build_member(name, str(ord(name) % domains)) for name in names
        ]
        membership = build_first_membership(members)
        self.assertEqual(
            is_quorum(membership, agreeing),
            has_quorum(membership, agreeing),
        )

    @given(NAMES, st.sampled_from('abcdefg'), NAMES, NAMES)
    def test_quorums_before_and_after_a_change_overlap(
        self,
        names,
        one,
        deciding,
        later,
    ):
        """Quorums before and after a membership change share a replica."""
        before = build_first_membership([build_member(name) for name in names])
        learning = add_learner(before, build_member(one, store=2))
        for after in (
            learning,
            promote(learning, one),
            remove_member(before, one),
        ):
            if after is None:
                continue
            if has_quorum(before, deciding) and has_quorum(after, later):
                self.assertNotEqual(set(), deciding & later)

    def test_lost_disk_is_handed_over_from_the_first_holders(self):
        """Until a handover ends, the previous holders are those of epoch 1."""
        first = build_first_membership([build_member(name) for name in 'abc'])
        second = add_learner(first, build_member('c', store=2))
        third = promote(second, 'c')
        self.assertEqual(
            ('a', 'b', 'c'), _list_names(build_epoch(third).previous)
        )
        self.assertEqual(('a', 'b'), _list_names(build_epoch(second).holders))
        self.assertEqual(3, third.epoch)
        self.assertEqual((), end_handover(third, 3).previous)
        self.assertIsNone(end_handover(third, 2))

    def test_last_voter_is_not_removed(self):
        """Neither the only voter nor an unknown replica can be removed."""
        membership = build_first_membership([build_member('a')])
        self.assertIsNone(remove_member(membership, 'a'))
        self.assertIsNone(remove_member(membership, 'b'))
        self.assertIsNone(add_learner(membership, build_member('a')))

    def test_only_the_first_of_empty_replicas_founds(self):
        """All replicas must reply, all without a log."""
        own_member = build_member('a')
        empty = {
            name: ProbeReply(build_member(name), empty=True) for name in 'bc'
        }
        founded = decide_founding(own_member, ('b', 'c'), empty)
        self.assertEqual(3, len(founded.members))
        self.assertIsNone(decide_founding(own_member, ('b', 'c', 'd'), empty))
        settled = {**empty, 'c': empty['c']._replace(empty=False)}
        self.assertIsNone(decide_founding(own_member, ('b', 'c'), settled))
        other = build_member('d')
        self.assertIsNone(decide_founding(other, ('b', 'c'), empty))


def _list_names(holders: tuple) -> tuple[str, ...]:
    return tuple(holder.instance for holder in holders)


class MinQuorumTest(TestCase):
    """Memberships with a minimum quorum."""

    def test_quorum_is_never_below_the_minimum(self):
        """An accepted change is on one disk more than may be lost."""
        membership = build_first_membership(
            [build_member(name) for name in 'abc'], 3
        )
        self.assertFalse(has_quorum(membership, {'a', 'b'}))
        self.assertTrue(has_quorum(membership, {'a', 'b', 'c'}))

    def test_silent_replica_is_removed_only_if_enough_remain(self):
        """A successor must vote before a voter is removed."""
        five = build_first_membership(
            [build_member(name) for name in 'abcde'], 3
        )
        self.assertEqual('', find_surplus_member(five, {'a': 3.0}))
        learning = add_learner(five, build_member('f'))
        self.assertEqual('', find_surplus_member(learning, {'a': 3.0}))
        self.assertEqual('f', find_surplus_member(learning, {'f': 3.0}))
        six = promote(learning, 'f')
        self.assertEqual('a', find_surplus_member(six, {'a': 3.0}))
        self.assertEqual('', find_surplus_member(six, {}))

    def test_first_silent_replica_by_name_is_removed(self):
        """One that is restarted is silent for less than the one that left."""
        six = build_first_membership(
            [build_member(name) for name in 'abcdef'], 3
        )
        self.assertEqual('e', find_surplus_member(six, {'e': 4.0, 'a': 3.0}))
        self.assertEqual('e', find_surplus_member(six, {'e': 2.1}))
        seven = build_first_membership(
            [build_member(name) for name in 'abcdefg'], 3
        )
        self.assertEqual('e', find_surplus_member(seven, {'e': 3.0, 'a': 2.5}))

    def test_operators_decide_without_a_minimum_quorum(self):
        """Without a minimum quorum, only operators remove a replica."""
        four = build_first_membership([build_member(name) for name in 'abcd'])
        self.assertEqual('', find_surplus_member(four, {'a': 3.0}))
