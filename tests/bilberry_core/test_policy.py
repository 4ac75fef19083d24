"""Policies: what a configuration may name is what a proxy has."""

from bilberry_core.policy import CallPolicy, LoadPolicy, PolicyChange
from bilberry_proxy.balancers import DEFAULT_BALANCER, get_balancer_names
from testtools import TestCase


class PolicyTest(TestCase):
    """Names that stand in two places."""

    def test_load_policies_are_balancers(self):
        """Every balancer can be named, and nothing else."""
        self.assertEqual(set(get_balancer_names()), set(LoadPolicy))
        self.assertEqual(DEFAULT_BALANCER, CallPolicy().load_policy)

    def test_every_option_can_be_changed(self):
        """An exception can change each option of the defaults."""
        self.assertEqual(CallPolicy._fields, PolicyChange._fields)
