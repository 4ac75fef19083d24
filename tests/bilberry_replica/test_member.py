"""Membership: quorums, single steps and the claim holders they give."""

from bilberry_core.messages.replica import Member, ProbeReply
from bilberry_replica.founding import decide_founding
from bilberry_replica.member import (
    add_learner,
    build_epoch,
    build_first_membership,
    end_handover,
    find_surplus_member,
    has_quorum,
    promote,
    remove_member,
)
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_replica.checker import is_quorum

NAMES = st.sets(st.sampled_from('abcdefg'), min_size=1)


def build_member(name: str, domain: str = '', store: int = 1) -> Member:
    """Returns a member in a failure domain of its own unless one is named."""
    return Member(name, '127.0.0.1', 1, domain or name, store)


class MemberTest(TestCase):
    """Sets of replicas."""

    @given(NAMES, NAMES, st.integers(1, 3))
    def test_quorum_is_as_the_naive_one(self, names, agreeing, domains):
        """A majority in two failure domains, whatever the set."""
        members = [
            build_member(name, str(ord(name) % domains)) for name in names
        ]
        membership = build_first_membership(members)
        self.assertEqual(
            is_quorum(membership, agreeing),
            has_quorum(membership, agreeing),
        )

    @given(NAMES, st.sampled_from('abcdefg'), NAMES, NAMES)
    def test_quorums_before_and_after_a_step_meet(
        self,
        names,
        one,
        deciding,
        later,
    ):
        """No step lets two disjoint sets decide."""
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
        """Two epochs without a handover keep the holders of the first."""
        first = build_first_membership([build_member(name) for name in 'abc'])
        second = add_learner(first, build_member('c', store=2))
        third = promote(second, 'c')
        self.assertEqual(('a', 'b', 'c'), _name(build_epoch(third).previous))
        self.assertEqual(('a', 'b'), _name(build_epoch(second).holders))
        self.assertEqual(3, third.epoch)
        self.assertEqual((), end_handover(third, 3).previous)
        self.assertIsNone(end_handover(third, 2))

    def test_last_voter_stays(self):
        """The only voter can't be removed, nor one that is unknown."""
        membership = build_first_membership([build_member('a')])
        self.assertIsNone(remove_member(membership, 'a'))
        self.assertIsNone(remove_member(membership, 'b'))
        self.assertIsNone(add_learner(membership, build_member('a')))

    def test_only_the_first_of_empty_replicas_founds(self):
        """All must answer, all without a log."""
        own = build_member('a')
        empty = {
            name: ProbeReply(build_member(name), empty=True) for name in 'bc'
        }
        founded = decide_founding(own, ('b', 'c'), empty)
        self.assertEqual(3, len(founded.members))
        self.assertIsNone(decide_founding(own, ('b', 'c', 'd'), empty))
        settled = {**empty, 'c': empty['c']._replace(empty=False)}
        self.assertIsNone(decide_founding(own, ('b', 'c'), settled))
        other = build_member('d')
        self.assertIsNone(decide_founding(other, ('b', 'c'), empty))


def _name(holders: tuple) -> tuple[str, ...]:
    return tuple(holder.instance for holder in holders)


class LeastQuorumTest(TestCase):
    """Memberships that name a least quorum."""

    def test_quorum_is_never_below_the_least(self):
        """What is accepted lies on one disk more than may be lost."""
        membership = build_first_membership(
            [build_member(name) for name in 'abc'], 3
        )
        self.assertFalse(has_quorum(membership, {'a', 'b'}))
        self.assertTrue(has_quorum(membership, {'a', 'b', 'c'}))

    def test_silent_replica_goes_only_where_enough_are_left(self):
        """A successor must vote before a voter is removed."""
        five = build_first_membership(
            [build_member(name) for name in 'abcde'], 3
        )
        self.assertEqual('', find_surplus_member(five, {'a'}))
        learning = add_learner(five, build_member('f'))
        self.assertEqual('', find_surplus_member(learning, {'a'}))
        self.assertEqual('f', find_surplus_member(learning, {'f'}))
        six = promote(learning, 'f')
        self.assertEqual('a', find_surplus_member(six, {'a'}))
        self.assertEqual('', find_surplus_member(six, ()))

    def test_operators_decide_without_a_least_quorum(self):
        """Nobody else knows how many replicas are wanted."""
        four = build_first_membership([build_member(name) for name in 'abcd'])
        self.assertEqual('', find_surplus_member(four, {'a'}))
