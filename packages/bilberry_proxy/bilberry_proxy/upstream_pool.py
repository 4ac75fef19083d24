"""Pools the connections to the upstream beside this daemon."""

from asyncio import Task, get_running_loop, timeout
from collections.abc import Callable
from typing import Protocol

from bilberry_core.endpoint import Address
from bilberry_core.metric import Metrics, NullMetrics

from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.upstream_connection import UpstreamConnection

#: Timeout for connecting to the upstream, in seconds.
CONNECT_TIMEOUT_S = 1.0


class ConnectionRequester(Protocol):
    """A receiver of a requested connection, or of the connect failure."""

    def on_connection(self, connection: UpstreamConnection) -> bool:
        """Receives a free connection; returns False if it isn't needed."""

    def on_unreachable(self, detail: str) -> None:
        """Called when the upstream accepted no connection."""


class UpstreamPool:
    """The open connections to one upstream."""

    def __init__(
        self,
        on_ended: Callable[[UpstreamConnection], None],
        dialect: HttpDialect = OWN_DIALECT,
        metrics: Metrics = NullMetrics(),
    ) -> None:
        """Creates an empty pool; the upstream uses `dialect`.

        `on_ended` is called when a connection ends.
        """
        self._dialect = dialect
        self._metrics = metrics
        self.address: Address | None = None
        self._on_ended = on_ended
        self._open: set[UpstreamConnection] = set()
        self._idle: list[UpstreamConnection] = []
        self._dials: set[Task[None]] = set()

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open) + len(self._dials)

    def set_address(self, address: Address | None) -> None:
        """Sets the address of new connections and closes idle ones."""
        self.address = address
        self.close_idle()

    def acquire(
        self, requester: ConnectionRequester, request_id: bytes = b''
    ) -> None:
        """Passes an idle connection to `requester`, or opens a new one.

        A request that is sent again gets another connection than before.
        """
        self._idle = [one for one in self._idle if one.is_reusable]
        for connection in reversed(self._idle):
            if not request_id or request_id not in connection.served:
                self._idle.remove(connection)
                self._assign(connection, requester)
                return
        task = get_running_loop().create_task(self._dial(requester))
        self._dials.add(task)
        task.add_done_callback(self._dials.discard)

    def close_idle(self) -> None:
        """Closes every idle connection."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def connection_free(self, connection: UpstreamConnection) -> None:
        """Returns a connection to the pool."""
        self._idle.append(connection)

    def connection_ended(self, connection: UpstreamConnection) -> None:
        """Removes a connection from the pool."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._on_ended(connection)

    async def _dial(self, requester: ConnectionRequester) -> None:
        connection = UpstreamConnection(self, self._dialect, self._metrics)
        loop = get_running_loop()
        try:
            async with timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: connection,
                    *self.address,
                )
        except (OSError, TimeoutError) as error:
            requester.on_unreachable(
                str(error) or 'no response to the connection attempt'
            )
            return
        self._open.add(connection)
        self._assign(connection, requester)

    def _assign(
        self,
        connection: UpstreamConnection,
        requester: ConnectionRequester,
    ) -> None:
        if not requester.on_connection(connection):
            self._idle.append(connection)
