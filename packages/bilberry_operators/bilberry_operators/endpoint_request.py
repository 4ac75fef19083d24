"""Requests the endpoints of a service that this proxy has not called yet."""

from asyncio import wait_for

from bilberry_core.board import Board
from bilberry_core.snapshot import Snapshot

#: Maximum wait for the endpoints of a service, in seconds.
ENDPOINTS_WAIT_S = 1.0


async def request_endpoints(board: Board, host: str) -> None:
    """Requests the endpoints of a host's service and waits for them.

    Proxies receive the endpoints only of services that they route requests
    to. The wait is at most `ENDPOINTS_WAIT_S`. If the service was requested
    before, the function returns at once.
    """
    snapshot = board.snapshot.value
    service = snapshot.services_by_host.get(host) if snapshot else None
    requested = board.requested_services
    if service is None or service in requested.value:
        return

    def has_endpoints(found: Snapshot | None) -> bool:
        route = found.routes.get(service) if found else None
        return route is None or bool(route.endpoints)

    requested.put(requested.value | {service})
    try:
        await wait_for(
            board.snapshot.wait_for(has_endpoints),
            ENDPOINTS_WAIT_S,
        )
    except TimeoutError:
        return
