"""Refuses requests that only a replica serves, and lists the replicas."""

from http import HTTPMethod, HTTPStatus

from bilberry_core.http import HttpResponse
from bilberry_core.settings import Peer

from bilberry_operators.answer import RefusedError
from bilberry_operators.router import RoutedRequest, Router

_RESOURCES = (
    (HTTPMethod.GET, '/v1/configuration'),
    (HTTPMethod.PUT, '/v1/configuration'),
    (HTTPMethod.GET, '/v1/history'),
    (HTTPMethod.GET, '/v1/history/*'),
    (HTTPMethod.POST, '/v1/rollback'),
    (HTTPMethod.DELETE, '/v1/replicas/*'),
    (HTTPMethod.POST, '/v1/rollouts'),
    (HTTPMethod.GET, '/v1/rollouts/*'),
    (HTTPMethod.DELETE, '/v1/rollouts/*'),
)


def add_misdirected_resources(
    router: Router, replicas: tuple[Peer, ...]
) -> None:
    """Registers a refusal for each resource that only replicas serve."""

    async def refuse(_routed: RoutedRequest) -> HttpResponse:
        raise build_misdirected_error(replicas)

    for method, path in _RESOURCES:
        router.add(method, path, refuse)


def build_misdirected_error(replicas: tuple[Peer, ...]) -> RefusedError:
    """Returns the error that lists the replicas.

    It gives hosts without ports: the known ports are for streams between
    daemons. The operators' port of a replica is in that replica's settings.
    """
    shown = ', '.join(
        f'{peer.instance} ({peer.address.host})' for peer in replicas
    )
    return RefusedError(
        HTTPStatus.MISDIRECTED_REQUEST,
        'not_a_replica',
        'this daemon is not a replica; the replicas are:'
        f' {shown or "none known"}',
        replicas=[
            {
                'instance': peer.instance,
                'host': peer.address.host,
                'failure_domain': peer.failure_domain,
            }
            for peer in replicas
        ],
    )
