"""Balancers, looked up by the name in a policy.

A balancer picks one of several eligible endpoints. Each balancer has a module
of its own and is listed in the table below.
"""

from bilberry_proxy.balancers.base import Balancer
from bilberry_proxy.balancers.least_work import LeastWorkBalancer
from bilberry_proxy.balancers.random_choice import RandomBalancer
from bilberry_proxy.balancers.round_robin import RoundRobinBalancer

DEFAULT_BALANCER = LeastWorkBalancer.name

_BALANCERS: dict[str, type[Balancer]] = {
    balancer.name: balancer
    for balancer in (LeastWorkBalancer, RandomBalancer, RoundRobinBalancer)
}


def get_balancer_names() -> tuple[str, ...]:
    """Returns the names of all balancers."""
    return tuple(_BALANCERS)


def build_balancer(name: str) -> Balancer:
    """Returns a new balancer; the default one if the name is unknown."""
    balancer = _BALANCERS.get(name, _BALANCERS[DEFAULT_BALANCER])
    return balancer()
