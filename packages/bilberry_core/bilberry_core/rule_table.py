"""Finds the routing rule of a request among the many rules of a host."""

from typing import NamedTuple

from bilberry_core.configuration import RoutingRule


class RuleTable(NamedTuple):
    """The routing rules of one host, by path prefix.

    `prefix_lengths` are the different lengths of the prefixes, longest first:
    a lookup takes as many steps, however many rules there are.
    """

    rules: dict[str, RoutingRule]
    prefix_lengths: tuple[int, ...]

    @classmethod
    def from_rules(cls, rules: list[RoutingRule]) -> 'RuleTable':
        """Builds the table; of equal prefixes, the first name wins."""
        by_prefix: dict[str, RoutingRule] = {}
        for rule in sorted(rules, key=_get_name):
            by_prefix.setdefault(rule.path_prefix, rule)
        lengths = {len(prefix) for prefix in by_prefix}
        return cls(by_prefix, tuple(sorted(lengths, reverse=True)))

    def find(self, path: str) -> RoutingRule | None:
        """Returns the rule with the longest prefix of `path`, if any."""
        for length in self.prefix_lengths:
            rule = self.rules.get(path[:length])
            if rule is not None:
                return rule
        return None


def _get_name(rule: RoutingRule) -> str:
    return rule.name
