"""Compiles the snapshot that the proxy uses for routing.

All changes within one iteration of the event loop result in one snapshot. It
replaces the previous one as a whole; a version is never replaced by an older
one.
"""

from asyncio import Event, get_running_loop
from collections.abc import Iterable
from logging import getLogger

from bilberry_core.board import Board
from bilberry_core.configuration import AcceptedVersion
from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.settings import Settings
from bilberry_core.snapshot import Snapshot, compile_snapshot

_log = getLogger(__name__)


class SnapshotController:
    """Controller that recompiles `board.snapshot` after changes."""

    def __init__(self, board: Board) -> None:
        """Reads configuration and endpoints from `board`."""
        self._board = board
        self._scheduled = False
        self._stopped = Event()

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        board: Board,
    ) -> 'SnapshotController':
        """Returns the controller of one daemon."""
        return cls(board)

    async def run(self) -> None:
        """Compiles after each change until `stop`."""
        watching = (
            self._board.accepted.watch(self._schedule),
            self._board.endpoints.watch(self._schedule),
        )
        self.compile()
        try:
            await self._stopped.wait()
        finally:
            for stop_watching in watching:
                stop_watching()

    async def stop(self) -> None:
        """Makes `run` return."""
        self._stopped.set()

    def compile(self) -> None:
        """Compiles and puts the snapshot of the board's current state."""
        self._scheduled = False
        accepted = self._board.accepted.value
        running = self._board.snapshot.value
        if accepted is None or not _may_replace(running, accepted):
            return
        grouped = group_by_service(self._board.endpoints.value.values())
        if running is None or running.digest != accepted.digest:
            snapshot = compile_snapshot(accepted, grouped)
        else:
            snapshot = replace_endpoints(running, accepted, grouped)
        self._board.snapshot.put(snapshot)
        if running is None or running.version != accepted.version:
            _log.info(
                'version_running',
                extra={
                    'version': accepted.version,
                    'before': running.version if running else 0,
                },
            )

    def _schedule(self, _changed: object) -> None:
        if not self._scheduled:
            self._scheduled = True
            get_running_loop().call_soon(self.compile)


def group_by_service(
    endpoints: Iterable[Endpoint],
) -> dict[str, tuple[Endpoint, ...]]:
    """Returns the endpoints by service, without those that are gone."""
    grouped: dict[str, list[Endpoint]] = {}
    for endpoint in sorted(endpoints):
        if endpoint.state is not EndpointState.GONE:
            grouped.setdefault(endpoint.service, []).append(endpoint)
    return {service: tuple(found) for service, found in grouped.items()}


def replace_endpoints(
    running: Snapshot,
    accepted: AcceptedVersion,
    endpoints_by_service: dict[str, tuple[Endpoint, ...]],
) -> Snapshot:
    """Returns a snapshot of an unchanged configuration with new endpoints.

    The result equals that of `compile_snapshot`. Routes whose endpoints have
    not changed are shared with `running`.
    """
    routes = dict(running.routes)
    for service, route in running.routes.items():
        endpoints = endpoints_by_service.get(service, ())
        if endpoints != route.endpoints:
            routes[service] = route._replace(endpoints=endpoints)
    return running._replace(
        version=accepted.version,
        term=accepted.term,
        routes=routes,
    )


def _may_replace(running: Snapshot | None, accepted: AcceptedVersion) -> bool:
    return running is None or accepted.version >= running.version
