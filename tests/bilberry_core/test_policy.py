"""Tests that policy options match the balancers and defaults."""

from bilberry_core.policy import CallPolicy, LoadPolicy, PolicyChange
from bilberry_proxy.balancers import DEFAULT_BALANCER, get_balancer_names
from testtools import TestCase


class PolicyTest(TestCase):
    """Tests of names that are defined in two modules."""

    def test_load_policies_are_balancers(self):
        """A configuration can name exactly the existing balancers."""
        self.assertEqual(set(get_balancer_names()), set(LoadPolicy))
        self.assertEqual(DEFAULT_BALANCER, CallPolicy().load_policy)

    def test_every_option_can_be_changed(self):
        """An exception can change each option of the defaults."""
        self.assertEqual(CallPolicy._fields, PolicyChange._fields)
