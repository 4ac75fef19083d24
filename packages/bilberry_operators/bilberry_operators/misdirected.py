"""Refuses what only a replica answers, and says where the replicas are."""

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
)


def add_misdirected_resources(
    router: Router, replicas: tuple[Peer, ...]
) -> None:
    """Adds the replicas' resources to the router of another daemon."""

    async def refuse(_routed: RoutedRequest) -> HttpResponse:
        raise build_misdirected_error(replicas)

    for method, path in _RESOURCES:
        router.add(method, path, refuse)


def build_misdirected_error(replicas: tuple[Peer, ...]) -> RefusedError:
    """Returns the refusal that names the replicas.

    Their ports are those of the streams between daemons; an operator knows
    the operators' port of each from its settings.
    """
    shown = ', '.join(
        f'{peer.instance} ({peer.address.host})' for peer in replicas
    )
    return RefusedError(
        HTTPStatus.MISDIRECTED_REQUEST,
        'not_a_replica',
        f'this daemon is no replica; ask one of: {shown or "none known"}',
        replicas=[
            {
                'instance': peer.instance,
                'host': peer.address.host,
                'failure_domain': peer.failure_domain,
            }
            for peer in replicas
        ],
    )
