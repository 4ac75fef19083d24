"""Each broken rule is caught by its schedule or scenario."""

from bilberry_core.error import BilberryError
from testtools import TestCase

from tests.bilberry_replica.scenarios import (
    check_earlier_term,
    check_leader_out_of_reach,
    check_leader_stays,
    check_old_start,
    check_one_vote,
    check_single_steps,
)
from tests.bilberry_replica.variants import VARIANTS, break_rule


class VariantTest(TestCase):
    """Replicas with one rule broken each."""

    def test_every_broken_rule_is_caught(self):
        """No variant passes its check."""
        passed = [name for name in VARIANTS if not self._is_caught(name)]
        self.assertEqual([], passed)

    def test_scenarios_pass_without_a_broken_rule(self):
        """The scenarios pass when every rule holds."""
        check_one_vote()
        check_leader_stays()
        check_single_steps()
        check_earlier_term()
        check_leader_out_of_reach()
        check_old_start()

    def _is_caught(self, name: str) -> bool:
        variant = VARIANTS[name]
        try:
            with break_rule(variant):
                variant.check()
        except (AssertionError, BilberryError):
            return True
        return False
