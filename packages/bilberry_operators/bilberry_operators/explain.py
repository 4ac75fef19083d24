"""Explains what route a request would take through this daemon, and why."""

from http import HTTPStatus
from typing import Any

from bilberry_core.configuration_document import render_policy
from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.snapshot import Decision, Snapshot, decide_policy
from bilberry_operators.answer import RefusedError

_REASONS = {
    EndpointState.READY: 'ready',
    EndpointState.STARTING: 'starting: takes no work until it is ready',
    EndpointState.DRAINING: 'draining: takes no new work',
    EndpointState.GONE: 'gone: its lease has ended or it has left',
}


def explain_route(
    snapshot: Snapshot | None,
    service: str,
    method: str,
    path: str,
) -> dict[str, Any]:
    """Returns route, policy, exception with reason, and every endpoint.

    `service` is a service's name or a host name. Raises `RefusedError` where
    there is no such route.
    """
    if snapshot is None:
        raise RefusedError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no_configuration',
            'this daemon runs no configuration yet',
        )
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
        'reason': _give_reason(decision),
        'endpoints': [_explain_endpoint(endpoint) for endpoint in endpoints],
    }


def _give_reason(decision: Decision) -> str:
    return decision.reason or 'no exception matches: the defaults hold'


def _explain_endpoint(endpoint: Endpoint) -> dict[str, Any]:
    return {
        'instance': endpoint.instance,
        'address': f'{endpoint.address.host}:{endpoint.address.port}',
        'failure_domain': endpoint.failure_domain,
        'state': str(endpoint.state),
        'slots': endpoint.slots,
        'eligible': endpoint.state is EndpointState.READY,
        'why': _REASONS[endpoint.state],
    }
