"""Immutable snapshots that a proxy uses for routing.

A snapshot is built from one accepted configuration and the known endpoints,
has no dangling references, and is swapped in with one assignment. A request
keeps the snapshot with which it began.
"""

from typing import NamedTuple

from bilberry_core.configuration import (
    AcceptedVersion,
    Configuration,
    RouteException,
    RoutingRule,
)
from bilberry_core.endpoint import Endpoint
from bilberry_core.organisation import Organisation
from bilberry_core.policy import CallPolicy
from bilberry_core.rule_table import RuleTable


class Route(NamedTuple):
    """The ranked exceptions and the endpoints of one service."""

    service: str
    exceptions: tuple[RouteException, ...]
    endpoints: tuple[Endpoint, ...]


class Snapshot(NamedTuple):
    """Everything a proxy needs to route a request; replaced only as a whole.

    `services_by_host` maps every host name to a key of `routes`;
    `rules_by_host` maps a host to its routing rules.
    `organisations_by_key` maps the digests of keys to who holds them; None in
    a configuration without organisations.
    """

    version: int
    term: int
    digest: bytes
    defaults: CallPolicy
    services_by_host: dict[str, str]
    routes: dict[str, Route]
    rules_by_host: dict[str, RuleTable] = {}
    organisations_by_key: dict[str, Organisation] | None = None

    def find_rule(self, host: str, path: str) -> RoutingRule | None:
        """Returns the routing rule of a request, if one matches."""
        table = self.rules_by_host.get(host)
        return None if table is None else table.find(path)


class Decision(NamedTuple):
    """The policy of a request, with the route and exception that set it."""

    service: str
    policy: CallPolicy
    exception: str
    reason: str
    route: str = ''


def compile_snapshot(
    accepted: AcceptedVersion,
    endpoints_by_service: dict[str, tuple[Endpoint, ...]],
) -> Snapshot:
    """Builds the snapshot of one accepted version.

    Endpoints of services that the configuration does not declare are omitted,
    so that the snapshot has no dangling references.
    """
    configuration = accepted.configuration
    routes = {
        service.name: Route(
            service.name,
            _rank_exceptions(configuration, service.name),
            endpoints_by_service.get(service.name, ()),
        )
        for service in configuration.services
    }
    return Snapshot(
        version=accepted.version,
        term=accepted.term,
        digest=accepted.digest,
        defaults=configuration.defaults,
        services_by_host=_map_hosts(configuration),
        routes=routes,
        rules_by_host=_group_rules(configuration),
        organisations_by_key=_map_keys(configuration),
    )


def decide_policy(
    snapshot: Snapshot,
    service: str,
    method: str,
    path: str,
    routing: RoutingRule | None = None,
) -> Decision:
    """Returns the policy of one request to a service of the snapshot.

    The routing rule overrides the defaults, and the highest ranked matching
    exception overrides the result.
    """
    policy = snapshot.defaults
    route = ''
    if routing is not None:
        policy = routing.change.apply(policy)
        route = routing.name
    for rule in snapshot.routes[service].exceptions:
        if _matches(rule, method, path):
            changed = rule.change.apply(policy)
            return Decision(service, changed, rule.name, rule.reason, route)
    return Decision(service, policy, '', '', route)


def _map_keys(configuration: Configuration) -> dict[str, Organisation] | None:
    if not configuration.organisations:
        return None
    return {
        digest: organisation
        for organisation in configuration.organisations
        for digest in organisation.key_digests
    }


def _map_hosts(configuration: Configuration) -> dict[str, str]:
    services = configuration.services
    hosts = {service.name: service.name for service in services}
    for service in services:
        hosts.update(dict.fromkeys(service.hosts, service.name))
    return hosts


def _group_rules(
    configuration: Configuration,
) -> dict[str, RuleTable]:
    grouped: dict[str, list[RoutingRule]] = {}
    for rule in configuration.routes:
        grouped.setdefault(rule.host, []).append(rule)
    return {
        host: RuleTable.from_rules(rules) for host, rules in grouped.items()
    }


def _rank_exceptions(
    configuration: Configuration,
    service: str,
) -> tuple[RouteException, ...]:
    ranked = [
        rule for rule in configuration.exceptions if rule.service == service
    ]
    ranked.sort(key=_rank_exception)
    return tuple(ranked)


def _rank_exception(rule: RouteException) -> tuple[int, bool, str]:
    return -len(rule.path_prefix), not rule.methods, rule.name


def _matches(rule: RouteException, method: str, path: str) -> bool:
    if rule.methods and method not in rule.methods:
        return False
    return path.startswith(rule.path_prefix)
