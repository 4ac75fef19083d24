"""Serves the operators' HTTP interface of one daemon."""

from asyncio import Event, Server, start_server, wait_for
from collections.abc import Awaitable
from http import HTTPMethod, HTTPStatus
from logging import getLogger
from typing import NamedTuple

from bilberry_core.acceptance import Acceptor
from bilberry_core.board import Board, Cell
from bilberry_core.clock import MS_PER_S, Clock
from bilberry_core.document import MAX_DOCUMENT_BYTES
from bilberry_core.endpoint import Address
from bilberry_core.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpService,
)
from bilberry_core.settings import Settings

from bilberry_operators.answer import RefusedError, build_json_response
from bilberry_operators.configuration_resource import ConfigurationResource
from bilberry_operators.endpoint_request import request_endpoints
from bilberry_operators.explain import (
    EndpointExclusions,
    RouteQuery,
    explain_route,
)
from bilberry_operators.lag import LagTracker
from bilberry_operators.misdirected import add_misdirected_resources
from bilberry_operators.replica_resource import Membership, ReplicaResource
from bilberry_operators.rollout_resource import (
    EvidenceReader,
    RolloutOrders,
    RolloutResource,
)
from bilberry_operators.router import RoutedRequest, Router
from bilberry_operators.status import build_status

_log = getLogger(__name__)

#: Bounds the memory that operators' requests can use in the daemon.
_LIMITS = HttpLimits(max_body_bytes=MAX_DOCUMENT_BYTES, max_connections=16)


class OperatorsDependencies(NamedTuple):
    """The parts of the daemon that the operators' interface calls.

    `acceptor`, `membership`
        None on a daemon without the replica role.
    `exclusions`
        None on a daemon without the proxy role.
    `rollouts`, `evidence`
        None on a daemon without the replica role.
    """

    acceptor: Acceptor | None = None
    membership: Membership | None = None
    exclusions: EndpointExclusions | None = None
    rollouts: RolloutOrders | None = None
    evidence: EvidenceReader | None = None


class OperatorsController:
    """The operators' HTTP interface of one daemon.

    No other part of the daemon depends on it. Without an acceptor it serves
    only the status and explanations of routes, and refuses requests for other
    resources with a list of the replicas.
    """

    def __init__(
        self,
        settings: Settings,
        board: Board,
        dependencies: OperatorsDependencies,
        clock: Clock,
    ) -> None:
        """Builds the routing table; `run` starts serving."""
        self._settings = settings
        self._board = board
        self._clock = clock
        self._lag = LagTracker(settings, board, clock)
        self._dependencies = dependencies
        self._router = self._build_router()
        self._add_rollouts(self._router)
        self._bound: Cell[Address | None] = Cell(None)
        self._service = HttpService(self._handle, _LIMITS)
        self._stopping = Event()

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        board: Board,
        acceptor: Acceptor | None,
        clock: Clock,
        membership: Membership | None = None,
        exclusions: EndpointExclusions | None = None,
    ) -> 'OperatorsController':
        """Builds the controller of one daemon, without roll-outs.

        `acceptor` and `membership` are None on a daemon without the replica
        role, `exclusions` on a daemon without the proxy role.
        """
        dependencies = OperatorsDependencies(acceptor, membership, exclusions)
        return cls(settings, board, dependencies, clock)

    @property
    def bound(self) -> Cell[Address | None]:
        """The address that is served; None until the server listens."""
        return self._bound

    async def run(self) -> None:
        """Serves until `stop` is called.

        Returns at once where the settings have no operators' address.
        """
        address = self._settings.listen.operators
        if address is None:
            return
        server = await start_server(
            self._service.serve,
            address.host,
            address.port,
        )
        self._bound.put(_get_address(server))
        try:
            await self._stopping.wait()
        finally:
            server.close()
            self._lag.stop()

    async def stop(self) -> None:
        """Stops listening and drains the requests in flight.

        Logs a warning where they exceed the drain timeout.
        """
        self._stopping.set()
        limit_s = self._settings.timing.drain_ms / MS_PER_S
        try:
            await wait_for(self._service.drain(), limit_s)
        except TimeoutError:
            _log.warning('operators_requests_cut')

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._answer(request)
        except RefusedError as refused:
            return refused.answer()
        except Exception:
            _log.exception('operators_request_failed')
            return _INTERNAL_ERROR.answer()

    def _answer(self, request: HttpRequest) -> Awaitable[HttpResponse]:
        if self._stopping.is_set():
            raise RefusedError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'draining',
                'this daemon is shutting down; the request was not executed',
            )
        return self._router.answer(request)

    def _build_router(self) -> Router:
        router = Router()
        router.add(HTTPMethod.GET, '/v1/status', self._get_status)
        router.add(HTTPMethod.GET, '/v1/explain', self._explain)
        acceptor = self._dependencies.acceptor
        membership = self._dependencies.membership
        if acceptor is None:
            add_misdirected_resources(router, self._settings.replicas)
            return router
        resource = ConfigurationResource(acceptor, self._settings.token)
        router.add(HTTPMethod.GET, '/v1/configuration', resource.read)
        router.add(HTTPMethod.PUT, '/v1/configuration', resource.replace)
        router.add(HTTPMethod.GET, '/v1/history', resource.list_history)
        router.add(HTTPMethod.GET, '/v1/history/*', resource.read_version)
        router.add(HTTPMethod.POST, '/v1/rollback', resource.roll_back)
        if membership is not None:
            replicas = ReplicaResource(
                membership,
                self._board,
                self._settings.token,
            )
            router.add(HTTPMethod.DELETE, '/v1/replicas/*', replicas.remove)
        return router

    def _add_rollouts(self, router: Router) -> None:
        rollouts = self._dependencies.rollouts
        evidence = self._dependencies.evidence
        if rollouts is None or evidence is None:
            return
        resource = RolloutResource(
            rollouts, evidence, self._board, self._settings.token
        )
        router.add(HTTPMethod.POST, '/v1/rollouts', resource.order)
        router.add(HTTPMethod.GET, '/v1/rollouts/*', resource.show)
        router.add(HTTPMethod.DELETE, '/v1/rollouts/*', resource.cancel)

    async def _get_status(self, _routed: RoutedRequest) -> HttpResponse:
        return build_json_response(
            build_status(
                self._settings,
                self._board,
                self._lag.behind_since,
                self._clock.now(),
            ),
        )

    async def _explain(self, routed: RoutedRequest) -> HttpResponse:
        route_query = RouteQuery(
            routed.query.get('service', ''),
            routed.query.get('method') or str(HTTPMethod.GET),
            routed.query.get('path') or '/',
        )
        await request_endpoints(self._board, route_query.service)
        snapshot = self._board.snapshot.value
        exclusions = self._dependencies.exclusions
        return build_json_response(
            explain_route(snapshot, route_query, exclusions)
        )


def _get_address(server: Server) -> Address:
    host, port, *_ = server.sockets[0].getsockname()
    return Address(host, port)


_INTERNAL_ERROR = RefusedError(
    HTTPStatus.INTERNAL_SERVER_ERROR,
    'internal_error',
    'internal error in this request; a change may have been accepted',
)
