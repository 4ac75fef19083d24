"""Tests of the lookup of routing rules."""

from bilberry_core.configuration import RoutingRule, Target
from bilberry_core.rule_table import RuleTable
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

paths = st.text('/ab', max_size=6)


def make_rule(name: str, prefix: str) -> RoutingRule:
    """Returns a rule of one host."""
    return RoutingRule(name, 'one.example', prefix, (Target('callouts'),))


class RuleTableTest(TestCase):
    """Tests of the table of one host."""

    @given(st.lists(paths, max_size=8), paths)
    def test_finds_what_a_scan_of_all_rules_finds(self, prefixes, path):
        """The longest prefix wins, then the first name."""
        rules = [
            make_rule(f'r{index}', prefix)
            for index, prefix in enumerate(prefixes)
        ]
        matching = [rule for rule in rules if path.startswith(rule.path_prefix)]
        expected = min(
            matching,
            key=lambda rule: (-len(rule.path_prefix), rule.name),
            default=None,
        )
        self.assertEqual(expected, RuleTable.from_rules(rules).find(path))
