"""Splits the requests of a routing rule over its services by weight.

Smooth weighted round robin keeps to the weights over any run of requests, not
only on average.
"""

from bilberry_core.configuration import RoutingRule


class WeightedSplit:
    """The smooth weighted round robin of each routing rule, for one proxy."""

    def __init__(self) -> None:
        self._current_weights: dict[
            str, tuple[RoutingRule, dict[str, int]]
        ] = {}

    def pick(self, rule: RoutingRule) -> str:
        """Returns the service for the next request of a rule."""
        targets = rule.targets
        if len(targets) == 1:
            return targets[0].service
        known = self._current_weights.get(rule.name)
        if known is None or known[0].targets != targets:
            known = (rule, {target.service: 0 for target in targets})
            self._current_weights[rule.name] = known
        current_weights = known[1]
        for service, weight in targets:
            current_weights[service] += weight
        chosen = max(current_weights, key=current_weights.__getitem__)
        current_weights[chosen] -= sum(target.weight for target in targets)
        return chosen
