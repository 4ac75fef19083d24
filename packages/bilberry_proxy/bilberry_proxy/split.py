"""Spreads the requests of a route over its services by weight.

Smooth weighted round robin: each service's share is kept over any run of
requests, not only on average.
"""

from bilberry_core.configuration import RoutingRule


class WeightedSplit:
    """The turn of each target of each routing rule, for one proxy."""

    def __init__(self) -> None:
        """Starts with no turn taken."""
        self._turns: dict[str, tuple[RoutingRule, dict[str, int]]] = {}

    def pick(self, rule: RoutingRule) -> str:
        """Returns the service of the next request of a rule."""
        targets = rule.targets
        if len(targets) == 1:
            return targets[0].service
        known = self._turns.get(rule.name)
        if known is None or known[0].targets != targets:
            known = (rule, {target.service: 0 for target in targets})
            self._turns[rule.name] = known
        turns = known[1]
        for service, weight in targets:
            turns[service] += weight
        chosen = max(turns, key=turns.__getitem__)
        turns[chosen] -= sum(target.weight for target in targets)
        return chosen
