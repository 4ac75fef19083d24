"""Computes what each role uses at the planned size of the fleet.

The figures are extrapolated from recorded measurements.
"""

from json import loads
from pathlib import Path
from statistics import linear_regression
from typing import Any, NamedTuple

MEASUREMENTS = Path(__file__).parents[1] / 'docs' / 'measurements'
_SECONDS_PER_DAY = 86_400
_US_PER_S = 1_000_000
_MIB = 1 << 20
#: Number of services of the fleets that lines over fleet size are fitted to.
_FITTED_SERVICES = 100


class PlannedSize(NamedTuple):
    """The size of the fleet that the design has to support.

    `relays`, `holders`
        Instances that are reserved for these roles.
    `records_per_restart`
        Endpoint records of one restart: draining, gone, starting, ready.
    `services_per_proxy`
        Services whose endpoints one proxy subscribes to.
    `return_jitter_s`
        Longest backoff of a proxy before it reconnects.
    """

    nodes: int = 17_000
    services: int = 970
    calls_per_s: float = 6_300_000
    changes_per_day: int = 14_000
    failures_per_day: int = 44
    restarts_per_day: int = 970
    domains: int = 13
    relays: int = 50
    holders: int = 5
    records_per_restart: int = 4
    services_per_proxy: int = 20
    return_jitter_s: float = 10


class Budget(NamedTuple):
    """The limits of what the control plane may use on one node."""

    core_percent: float = 4.5
    memory_mb: float = 64
    bytes_per_s: float = 2048
    instances: int = 56


class FittedLine(NamedTuple):
    """A fitted line; `spread` is the largest deviation of a point from it."""

    slope: float
    intercept: float
    spread: float

    def at(self, size: float) -> float:
        """Returns the line's value at a size."""
        return self.intercept + self.slope * size


class TableRow(NamedTuple):
    """A row of a table: a quantity, its upper bound and its derivation."""

    name: str
    value: float
    unit: str
    bound: float | None
    source: str

    @property
    def fits(self) -> str:
        """'yes' or 'no': whether the value is within the bound.

        Empty if there is no bound.
        """
        if self.bound is None:
            return ''
        return 'yes' if self.value <= self.bound else 'no'


class Measurements(NamedTuple):
    """The recorded measurements, as their benches wrote them."""

    spread: dict[str, Any]
    state: dict[str, Any]
    claim: dict[str, Any]
    call: dict[str, Any]
    daemons: dict[str, Any]

    @classmethod
    def from_folder(cls, folder: Path = MEASUREMENTS) -> 'Measurements':
        """Reads the JSON files of a folder."""
        names = ('spread', 'spread_state', 'claim', 'call', 'spread_daemons')
        return cls(*(_read(folder, name) for name in names))


def fit_line(points: list[tuple[float, float]]) -> FittedLine:
    """Returns the least squares line through (size, value) points.

    The line is constant if all points have one size.
    """
    sizes, values = zip(*points, strict=True)
    if len(set(sizes)) == 1:
        return FittedLine(0, values[0], 0)
    slope, intercept = linear_regression(sizes, values)
    line = FittedLine(slope, intercept, 0)
    spread = max(abs(line.at(size) - observed) for size, observed in points)
    return line._replace(spread=spread)


def fit_role(
    measured: Measurements,
    phase: str,
    role: str,
    quantity: str,
) -> FittedLine:
    """Fits a quantity of a role as a line over the number of proxies."""
    return fit_line(
        [
            (fleet['proxies'], fleet[phase][role][quantity])
            for fleet in _list_tree_fleets(measured)
            if role in fleet[phase]
        ],
    )


def get_records_per_s(size: PlannedSize) -> float:
    """Returns the mean rate of endpoint records, in records a second."""
    restarts = size.restarts_per_day + size.failures_per_day
    return restarts * size.records_per_restart / _SECONDS_PER_DAY


def get_bytes_per_change(
    measured: Measurements,
    role: str,
    direction: str,
) -> float:
    """Returns the bytes that a role sends or receives for each change.

    Uses the largest fleet; subtracts the bytes of an idle process.
    """
    fleet = _get_largest(measured)
    changing = fleet['changing'][role][f'{direction}_bytes']
    idle = fleet['idle'][role][f'{direction}_bytes_per_s']
    seconds = fleet['changing'][role]['seconds']
    return max(changing - idle * seconds, 0) / fleet['changes']


def compute_proxy(
    measured: Measurements,
    size: PlannedSize,
    budget: Budget,
) -> list[TableRow]:
    """Returns what the control plane uses on a node that is only a proxy."""
    idle = measured.daemons['fleets'][-1]['idle']['proxy']
    idle_bytes = idle['sent_bytes_per_s'] + idle['received_bytes_per_s']
    changes = size.changes_per_day / _SECONDS_PER_DAY
    change_bytes = changes * get_bytes_per_change(measured, 'proxy', 'received')
    record_bytes = measured.state['sizes'][-1]['record_bytes']
    share = size.services_per_proxy / size.services
    endpoint_bytes = get_records_per_s(size) * share * record_bytes
    subscribed_endpoints = size.nodes * share
    rss = idle['rss_mb']
    endpoint_mib = subscribed_endpoints * _get_rss_per_endpoint(measured) / _MIB
    core = max(
        fleet['idle']['proxy']['core_percent']
        for fleet in measured.daemons['fleets']
    )
    return [
        TableRow(
            'bytes, idle',
            idle_bytes,
            'B/s',
            None,
            'real daemons, idle: beacons, renewals',
        ),
        TableRow(
            'bytes, idle, changes and moves',
            idle_bytes + change_bytes + endpoint_bytes,
            'B/s',
            budget.bytes_per_s,
            'plus changes a second times bytes a change, plus records',
        ),
        TableRow(
            'processor, idle',
            core,
            '% of a core',
            budget.core_percent,
            'real daemons, idle, the most of three fleet sizes',
        ),
        TableRow(
            'memory',
            rss + endpoint_mib,
            'MB',
            budget.memory_mb,
            'real daemons, resident size, plus endpoints followed',
        ),
    ]


def compute_relay(
    measured: Measurements,
    size: PlannedSize,
) -> list[TableRow]:
    """Returns what a relay uses with its share of the proxies attached."""
    attached = size.nodes / size.relays
    per_relay = _get_relay_count(measured)
    sent = _fit_per_attached_proxy(
        measured, 'idle', 'sent_bytes_per_s', per_relay
    )
    core = _fit_per_attached_proxy(measured, 'idle', 'core_percent', per_relay)
    record = measured.state['sizes'][-1]
    mesh_bytes_per_s = (
        get_records_per_s(size) / size.relays * record['record_bytes']
    )
    share = size.services_per_proxy / size.services
    to_proxies = (
        get_records_per_s(size) * share * attached * record['record_bytes']
    )
    change = get_bytes_per_change(measured, 'proxy', 'received') * attached
    rss = _get_largest(measured)['idle']['relay']['rss_mb']
    return [
        TableRow('proxies attached', attached, '', None, 'nodes over relays'),
        TableRow(
            'bytes sent, idle',
            sent.at(attached),
            'B/s',
            None,
            f'slope {sent.slope:.1f} B/s a proxy, spread {sent.spread:.0f}',
        ),
        TableRow(
            'bytes sent for a change',
            change,
            'B',
            None,
            'bytes a change into a proxy times proxies attached',
        ),
        TableRow(
            'bytes sent for endpoints',
            mesh_bytes_per_s * (size.relays - 1) + to_proxies,
            'B/s',
            None,
            'records of its own proxies to the mesh, all to its proxies',
        ),
        TableRow(
            'processor, idle',
            core.at(attached),
            '% of a core',
            100,
            f'slope {core.slope:.3f} a proxy, spread {core.spread:.2f}',
        ),
        TableRow(
            'memory',
            rss + record['rss_bytes'] / _MIB,
            'MB',
            None,
            'idle resident size plus the measured 17,000 endpoints',
        ),
    ]


def compute_source(
    measured: Measurements,
    size: PlannedSize,
) -> list[TableRow]:
    """Returns what a replica uses with its share of the relays attached."""
    relays = _get_relay_count(measured)
    fleet = _get_largest(measured)
    idle = fleet['idle']['source']['sent_bytes_per_s'] / relays
    change = get_bytes_per_change(measured, 'source', 'sent') / relays
    attached = size.relays / size.holders
    changes = size.changes_per_day / _SECONDS_PER_DAY
    growth = fit_role(measured, 'changing', 'source', 'sent_bytes')
    return [
        TableRow('relays attached', attached, '', None, 'relays over replicas'),
        TableRow(
            'bytes sent, idle',
            idle * attached,
            'B/s',
            None,
            f'{idle:.1f} B/s a relay',
        ),
        TableRow(
            'bytes sent, changes',
            changes * change * attached,
            'B/s',
            None,
            f'{change:.0f} B a change and relay',
        ),
        TableRow(
            'growth with the fleet',
            growth.slope,
            'B a proxy',
            None,
            'slope over fleet size of the bytes of 20 changes',
        ),
    ]


def compute_calls(
    measured: Measurements,
    size: PlannedSize,
) -> list[TableRow]:
    """Returns what requests use on a node, and the latency added to them."""
    calls = size.calls_per_s / size.nodes
    rate = measured.call['reads']['rates'][-1]
    entry, egress = rate['cpu_us_per_call']
    return [
        TableRow('calls a node', calls, '1/s', None, 'calls over nodes'),
        TableRow(
            'processor, calls',
            calls * (entry + egress) / _US_PER_S * 100,
            '% of a core',
            100,
            f'{entry} us where a call enters, {egress} us beside its upstream',
        ),
        TableRow(
            'latency added, median',
            rate['added_ms']['proxy']['p50'],
            'ms',
            None,
            f'reads at {rate["calls_per_s"]} calls/s',
        ),
        TableRow(
            'latency added, 99th percentile',
            rate['added_ms']['proxy']['p99'],
            'ms',
            0.45,
            f'reads at {rate["calls_per_s"]} calls/s',
        ),
    ]


def compute_claims(
    measured: Measurements,
    size: PlannedSize,
) -> list[TableRow]:
    """Returns the throughput of claims, and what they use on a holder."""
    saturated = [
        one['saturation']['claims_per_s'] for one in measured.claim['holders']
    ]
    saturated_rate = saturated[-1]
    store = measured.claim['store']
    claims_per_day = _SECONDS_PER_DAY * saturated_rate / 2
    return [
        TableRow(
            'claims, saturated',
            saturated_rate,
            '1/s',
            None,
            f'{size.holders} holders of one fleet',
        ),
        TableRow(
            'share of calls that may be claimed',
            100 * saturated_rate / size.calls_per_s,
            '%',
            None,
            'saturated claims over all calls',
        ),
        TableRow(
            'memory of a day at half that rate',
            claims_per_day * store['memory_bytes_per_claim'] / _MIB,
            'MB',
            None,
            f'{store["memory_bytes_per_claim"]} B a claim, kept for a day',
        ),
        TableRow(
            'disk of a day at half that rate',
            claims_per_day * store['compacted_bytes_per_claim'] / _MIB,
            'MB',
            None,
            f'{store["compacted_bytes_per_claim"]} B a claim, compacted',
        ),
    ]


def compute_faults(
    measured: Measurements,
    size: PlannedSize,
) -> list[TableRow]:
    """Returns the load on a relay when a failure domain fails and returns."""
    record = measured.state['sizes'][-1]
    domain = size.nodes / size.domains
    update_ms = record['take_all_ms'] / size.nodes * domain
    joins = domain / (size.relays * (size.domains - 1) / size.domains)
    return [
        TableRow(
            'nodes in a failure domain',
            domain,
            '',
            None,
            'nodes over domains',
        ),
        TableRow(
            'records of its loss, time in each relay',
            update_ms,
            'ms',
            None,
            'time to take all records, by share',
        ),
        TableRow(
            'joins at each relay left',
            joins,
            '',
            None,
            'its nodes over the relays of the other domains',
        ),
        TableRow(
            'joins a second at each relay left',
            joins / size.return_jitter_s,
            '1/s',
            100,
            'over the longest backoff; relays admit 100 a second',
        ),
    ]


def _read(folder: Path, name: str) -> dict[str, Any]:
    return loads((folder / f'{name}.json').read_text())


def _get_largest(measured: Measurements) -> dict[str, Any]:
    return max(_list_tree_fleets(measured), key=_get_proxy_count)


def _list_tree_fleets(measured: Measurements) -> list[dict[str, Any]]:
    return [
        fleet
        for fleet in measured.spread['fleets']
        if fleet['kind'] == 'tree' and fleet['services'] == _FITTED_SERVICES
    ]


def _get_proxy_count(fleet: dict[str, Any]) -> int:
    return fleet['proxies']


def _get_relay_count(measured: Measurements) -> int:
    return _get_largest(measured)['relays']


def _get_rss_per_endpoint(measured: Measurements) -> float:
    return fit_line(
        [
            (one['endpoints'], one['rss_bytes'])
            for one in measured.state['sizes']
        ],
    ).slope


def _fit_per_attached_proxy(
    measured: Measurements,
    phase: str,
    quantity: str,
    relays: int,
) -> FittedLine:
    line = fit_role(measured, phase, 'relay', quantity)
    return line._replace(slope=line.slope * relays)
