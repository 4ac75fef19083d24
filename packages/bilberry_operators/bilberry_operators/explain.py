"""Explains the route that a request would take through this daemon."""

from http import HTTPStatus
from typing import Any, NamedTuple, Protocol

from bilberry_core.configuration_document import render_policy
from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.snapshot import Decision, Snapshot, decide_policy

from bilberry_operators.answer import RefusedError

_STATE_REASONS = {
    EndpointState.READY: 'ready',
    EndpointState.STARTING: 'starting: receives no requests until it is ready',
    EndpointState.DRAINING: 'draining: receives no new requests',
    EndpointState.GONE: 'gone: its lease expired or it left the service',
}


class EndpointExclusions(Protocol):
    """The ready endpoints that a proxy excludes from routing, with reasons."""

    def get_exclusion_reason(self, endpoint: Endpoint) -> str:
        """Returns why the endpoint is excluded; empty if it is eligible."""


class RouteQuery(NamedTuple):
    """The request to explain; `service` is a service name or host name."""

    service: str
    method: str
    path: str


def explain_route(
    snapshot: Snapshot | None,
    route_query: RouteQuery,
    exclusions: EndpointExclusions | None,
) -> dict[str, Any]:
    """Returns the policy, the matching exception and every endpoint.

    Raises `RefusedError` where the service has no route.
    """
    if snapshot is None:
        raise RefusedError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no_configuration',
            'this daemon has no routes: it runs no configuration yet or does'
            ' not have the proxy role',
        )
    service, method, path = route_query
    name = snapshot.services_by_host.get(service)
    if name is None:
        known = ', '.join(sorted(snapshot.routes)) or 'none'
        raise RefusedError(
            HTTPStatus.NOT_FOUND,
            'unknown_service',
            f'service "{service}" is not declared in version'
            f' {snapshot.version}; declared: {known}',
        )
    decision = decide_policy(snapshot, name, method, path)
    endpoints = snapshot.routes[name].endpoints
    return {
        'version': snapshot.version,
        'service': name,
        'method': method,
        'path': path,
        'policy': render_policy(decision.policy),
        'exception': decision.exception or None,
        'reason': _get_reason(decision),
        'endpoints': [
            _explain_endpoint(endpoint, exclusions) for endpoint in endpoints
        ],
    }


def _get_reason(decision: Decision) -> str:
    return decision.reason or 'no exception matches; the defaults apply'


def _explain_endpoint(
    endpoint: Endpoint,
    exclusions: EndpointExclusions | None,
) -> dict[str, Any]:
    is_ready = endpoint.state is EndpointState.READY
    exclusion_reason = ''
    if is_ready and exclusions is not None:
        exclusion_reason = exclusions.get_exclusion_reason(endpoint)
    return {
        'instance': endpoint.instance,
        'address': f'{endpoint.address.host}:{endpoint.address.port}',
        'failure_domain': endpoint.failure_domain,
        'state': str(endpoint.state),
        'slots': endpoint.slots,
        'eligible': is_ready and not exclusion_reason,
        'why': exclusion_reason or _STATE_REASONS[endpoint.state],
    }
