"""Computes the most that callers of a fleet can get in time, second by second.

    python -m bench.bound fleet.json

The fleet's services have slots of certain speeds; requests hold a slot while
they work and while they wait for their calls to other services. In each second
the credit of requests that end in time is maximized under the slots and links
that the troubles leave. The result is a bound: it assumes that every slot is
always in use where there is work, that work goes to upstreams in proportion to
their speed, and that nothing runs in vain.

The bound is that of the dual problem: for any prices of slots and links, the
value of all slots at these prices plus what each kind of request is worth
beyond them is at least the most that can be earned.
"""

from argparse import ArgumentParser
from collections.abc import Iterable, Sequence
from math import pi, sin
from pathlib import Path
from typing import NamedTuple

from msgspec import Struct
from msgspec.json import decode

#: Steps in which the prices are improved, and the factors tried in each.
_ROUNDS = 60
_NO_SLOTS = 1e-9
_FACTORS = (0, 0.25, 0.5, 0.8, 0.95, 1.05, 1.25, 2, 4)


class Service(Struct, frozen=True):
    """The upstreams of a service.

    `link_bytes` is what the link of one upstream carries in a second, 0 if that
    limits nothing.
    """

    name: str
    slots: int
    speeds: tuple[float, ...]
    link_bytes: float = 0


class Call(Struct, frozen=True):
    """Calls that a share of the requests makes together and waits for."""

    service: str
    times: int
    work_s: float
    share: float = 1


class Kind(Struct, frozen=True):
    """A kind of request: its rate, its work at speed 1 and its worth."""

    name: str
    service: str
    per_s: float
    work_s: float
    worth: float = 1
    response_bytes: float = 0
    calls: tuple[Call, ...] = ()


class Trouble(Struct, frozen=True):
    """Capacity or load that differs from `start` to `end`, in seconds.

    `left` is the share of the service's upstreams that is left (all services if
    the name is empty), `slowness` the factor by which work takes longer, and
    `load` the factor of the requests.
    """

    start: float
    end: float
    service: str = ''
    left: float = 1
    slowness: float = 1
    load: float = 1


class Fleet(Struct, frozen=True):
    """A fleet, its load and its troubles.

    The load swings by the share `swing` in a period of `period_s`.
    """

    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    troubles: tuple[Trouble, ...] = ()
    seconds: int = 30
    swing: float = 0
    period_s: float = 11


class Demand(NamedTuple):
    """What all requests of a kind need of each resource, and their credit."""

    credit: float
    needs: dict[str, float]


def compute_bound(demands: Sequence[Demand]) -> float:
    """Returns the largest share of the credit that can be earned.

    `needs` are shares of what a resource has.
    """
    owed = sum(demand.credit for demand in demands)
    if not owed:
        return 1
    resources = sorted({name for demand in demands for name in demand.needs})
    prices = dict.fromkeys(resources, owed / max(len(resources), 1))
    best = _price(demands, prices)
    for _ in range(_ROUNDS):
        for resource in resources:
            tried = [
                {**prices, resource: prices[resource] * factor + extra}
                for factor in _FACTORS
                for extra in (0, owed / 1000)
            ]
            prices = min(tried, key=lambda one: _price(demands, one))
            best = min(best, _price(demands, prices))
    return min(best / owed, 1)


def list_demands(fleet: Fleet, second: float) -> list[Demand]:
    """Returns what each kind of request needs in one second."""
    services = {service.name: service for service in fleet.services}
    troubles = [
        trouble
        for trouble in fleet.troubles
        if trouble.start <= second < trouble.end
    ]
    load = 1 + fleet.swing * sin(2 * pi * second / fleet.period_s)
    for trouble in troubles:
        load *= trouble.load
    return [
        Demand(
            kind.per_s * load * kind.worth,
            _list_needs(kind, kind.per_s * load, services, troubles),
        )
        for kind in fleet.kinds
    ]


def _price(demands: Iterable[Demand], prices: dict[str, float]) -> float:
    surplus = (
        demand.credit
        - sum(prices[name] * need for name, need in demand.needs.items())
        for demand in demands
    )
    return sum(prices.values()) + sum(max(one, 0) for one in surplus)


def _list_needs(
    kind: Kind,
    per_s: float,
    services: dict[str, Service],
    troubles: Sequence[Trouble],
) -> dict[str, float]:
    needs: dict[str, float] = {}
    own = services[kind.service]
    waiting_s: float = 0
    for call in kind.calls:
        called = services[call.service]
        waiting_s = max(waiting_s, call.work_s / _mean_speed(called))
        needs[called.name] = (
            per_s * call.share * call.times * call.work_s
        ) / _count_work(called, troubles)
        waiting_s *= call.share
    needs[own.name] = needs.get(own.name, 0) + (
        per_s * kind.work_s / _count_work(own, troubles)
        + per_s * waiting_s / _count_slots(own, troubles)
    )
    if own.link_bytes:
        upstreams = len(own.speeds) * _find_left(own, troubles)
        capacity = own.link_bytes * max(upstreams, 1)
        needs[f'link of {own.name}'] = per_s * kind.response_bytes / capacity
    return needs


def _mean_speed(service: Service) -> float:
    return sum(service.speeds) / len(service.speeds)


def _find_left(service: Service, troubles: Iterable[Trouble]) -> float:
    left = 1.0
    for trouble in troubles:
        if trouble.service in {'', service.name}:
            left *= trouble.left
    return left


def _count_slots(service: Service, troubles: Sequence[Trouble]) -> float:
    """Returns the slots in use at most, at least a small number."""
    slots = service.slots * len(service.speeds)
    return max(slots * _find_left(service, troubles), _NO_SLOTS)


def _count_work(service: Service, troubles: Sequence[Trouble]) -> float:
    """Returns the work that all slots do in a second, at speed 1."""
    work = _count_slots(service, troubles) * _mean_speed(service)
    for trouble in troubles:
        if trouble.service in {'', service.name}:
            work /= trouble.slowness
    return work


def compute_bounds(fleet: Fleet) -> list[float]:
    """Returns the bound of each second."""
    return [
        compute_bound(list_demands(fleet, second + 0.5))
        for second in range(fleet.seconds)
    ]


def main(path: str) -> None:
    """Prints the bounds of the fleet in a file, and their mean."""
    fleet = decode(Path(path).read_bytes(), type=Fleet)
    bounds = compute_bounds(fleet)
    print(' '.join(f'{bound:.2f}' for bound in bounds))
    print(f'mean {sum(bounds) / len(bounds):.3f}, least {min(bounds):.3f}')


if __name__ == '__main__':
    parser = ArgumentParser(description='Computes what can be earned at most.')
    parser.add_argument('fleet')
    main(parser.parse_args().fleet)
