"""Explains what route a request would take through this daemon, and why."""

from http import HTTPStatus
from typing import Any, NamedTuple, Protocol

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


class EndpointOpinions(Protocol):
    """What a proxy holds against endpoints that say they are ready."""

    def find_objection(self, endpoint: Endpoint) -> str:
        """Returns why the proxy passes an endpoint over; empty if not."""


class Question(NamedTuple):
    """A request to explain; `service` is a service's name or a host name."""

    service: str
    method: str
    path: str


def explain_route(
    snapshot: Snapshot | None,
    question: Question,
    opinions: EndpointOpinions | None,
) -> dict[str, Any]:
    """Returns route, policy, exception with reason, and every endpoint.

    Raises `RefusedError` where there is no such route.
    """
    if snapshot is None:
        raise RefusedError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no_configuration',
            'this daemon routes nothing: it runs no configuration yet, or it'
            ' has no role proxy',
        )
    service, method, path = question
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
        'endpoints': [_explain_endpoint(one, opinions) for one in endpoints],
    }


def _give_reason(decision: Decision) -> str:
    return decision.reason or 'no exception matches: the defaults hold'


def _explain_endpoint(
    endpoint: Endpoint,
    opinions: EndpointOpinions | None,
) -> dict[str, Any]:
    is_ready = endpoint.state is EndpointState.READY
    objection = ''
    if is_ready and opinions is not None:
        objection = opinions.find_objection(endpoint)
    return {
        'instance': endpoint.instance,
        'address': f'{endpoint.address.host}:{endpoint.address.port}',
        'failure_domain': endpoint.failure_domain,
        'state': str(endpoint.state),
        'slots': endpoint.slots,
        'eligible': is_ready and not objection,
        'why': objection or _REASONS[endpoint.state],
    }
