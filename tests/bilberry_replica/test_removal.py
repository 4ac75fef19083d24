"""Removals of replicas, refused while another replica is a learner."""

from bilberry_core.messages.replica import Member
from bilberry_replica.member import (
    add_learner,
    build_first_membership,
    remove_member,
)
from testtools import TestCase

from tests.bilberry_replica.events import run_schedule


def make_member(instance: str, store: int = 1) -> Member:
    """Returns a replica in the failure domain of its first letter."""
    return Member(instance, '127.0.0.1', 1, instance[0], store, False)


class RemovalTest(TestCase):
    """Removals that an operator requests."""

    def setUp(self):
        """Founds a fleet of five replicas in three failure domains."""
        super().setUp()
        names = ('a1', 'a2', 'b1', 'b2', 'c1')
        self.membership = build_first_membership(
            [make_member(name) for name in names]
        )

    def test_healthy_fleet_allows_a_removal(self):
        """A replica is removed if all others vote."""
        remaining = remove_member(self.membership, 'c1')
        self.assertEqual(4, len(remaining.members))

    def test_no_removal_beside_a_learner(self):
        """While one replica catches up, no other one is removed."""
        filling = add_learner(self.membership, make_member('a2', store=2))
        self.assertIsNone(remove_member(filling, 'c1'))

    def test_learner_can_be_removed(self):
        """A learner that will never catch up can be removed."""
        filling = add_learner(self.membership, make_member('a2', store=2))
        self.assertEqual(4, len(remove_member(filling, 'a2').members))

    def test_schedule_that_ended_without_a_quorum(self):
        """A removal beside a learner and then a lost disk left no quorum."""
        run_schedule(957578235, 'aabbc', 196, 'membership')
