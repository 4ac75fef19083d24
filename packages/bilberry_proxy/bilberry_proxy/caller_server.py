"""Accepts and closes callers' connections."""

from asyncio import Server, get_running_loop

from bilberry_core.board import Phase
from bilberry_core.endpoint import Address
from h11 import Request

from bilberry_proxy.caller_connection import CallerConnection
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.exchange import Exchange
from bilberry_proxy.pipelined_request import PipelinedRequest
from bilberry_proxy.plan import is_repeatable
from bilberry_proxy.response_track import CutCause

_BACKLOG = 1024


class CallerServer:
    """The listening socket for callers, and their open connections."""

    def __init__(self, context: ProxyContext) -> None:
        self._context = context
        self._connections: set[CallerConnection] = set()
        self._server: Server | None = None

    @property
    def address(self) -> Address | None:
        """The address bound; None if the server does not listen."""
        if self._server is None or not self._server.sockets:
            return None
        bound = self._server.sockets[0].getsockname()
        return Address(bound[0], bound[1])

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def unsent(self) -> int:
        """The number of connections on which a response is still sent."""
        return sum(connection.has_unsent for connection in self._connections)

    @property
    def unread_bytes(self) -> int:
        """The bytes of responses that wait here for their callers."""
        return sum(connection.sent.size for connection in self._connections)

    async def start(self, address: Address) -> None:
        """Starts listening for callers."""
        self._server = await get_running_loop().create_server(
            self._accept,
            address.host,
            address.port,
            backlog=_BACKLOG,
        )

    def drain(self) -> None:
        """Closes each connection after its pending responses are sent."""
        for connection in tuple(self._connections):
            connection.is_draining = True

    def expire_idle(self, now: float) -> None:
        """Closes idle connections; `now` is monotonic time, in seconds."""
        for connection in tuple(self._connections):
            connection.expire_idle(now)

    def close(self) -> None:
        """Stops listening and aborts every connection."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.abort(CutCause.STOP)

    def _accept(self) -> CallerConnection:
        connection = CallerConnection(
            self._build_exchange,
            self._connections,
            self._may_overtake,
            self._context.metrics,
        )
        phase = self._context.board.phase.value
        connection.is_draining = phase in {Phase.LEAVING, Phase.DRAINING}
        return connection

    def _build_exchange(self, request: PipelinedRequest) -> Exchange:
        return Exchange(self._context, request)

    def _may_overtake(self, start: Request) -> bool:
        context = self._context
        snapshot = context.board.snapshot.value
        return is_repeatable(start, snapshot, context.dialect)
