"""A loopback TCP proxy in front of a daemon that injects network faults.

It does not parse the bytes: it forwards them, delays them, drops them in one
direction or both, or resets the connections.
"""

from asyncio import (
    CancelledError,
    IncompleteReadError,
    Server,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    gather,
    open_connection,
    sleep,
    start_server,
)
from enum import StrEnum

from bilberry_core.endpoint import Address

_READ_BYTES = 65536
#: Delay of each chunk on a slow link, in seconds.
DELAY_S = 0.2
_CONNECTION_ERRORS = (OSError, IncompleteReadError)


class LinkState(StrEnum):
    """What a link does with bytes and connections.

    OPEN forwards bytes and SLOW delays them, RESET aborts connections,
    ONE_WAY drops the bytes to the daemon and SILENT those in both directions.
    """

    OPEN = 'open'
    SLOW = 'slow'
    RESET = 'reset'
    ONE_WAY = 'one_way'
    SILENT = 'silent'


class Link:
    """The proxy for all connections from other daemons to one daemon."""

    def __init__(self, target: Address) -> None:
        """Forwards to `target`; the link is open at first."""
        self.state = LinkState.OPEN
        self._target = target
        self._server: Server | None = None
        self._writers: set[StreamWriter] = set()
        self._tasks: set[Task] = set()

    async def listen(self) -> Address:
        """Starts to accept connections; returns the address."""
        self._server = await start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return Address(host, port)

    def change(self, state: LinkState) -> None:
        """Sets the state of the link; RESET aborts open connections."""
        self.state = state
        if state is LinkState.RESET:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def close(self) -> None:
        """Stops listening and aborts every connection."""
        if self._server is not None:
            self._server.close()
        self.change(LinkState.RESET)
        for task in tuple(self._tasks):
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if self.state is LinkState.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        for direction in (
            self._forward(reader, target_writer, is_inbound=True),
            self._forward(target_reader, writer, is_inbound=False),
        ):
            task = create_task(direction)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        *,
        is_inbound: bool,
    ) -> None:
        self._writers.add(writer)
        try:
            while piece := await reader.read(_READ_BYTES):
                await self._write(writer, piece, is_inbound=is_inbound)
        except _CONNECTION_ERRORS:
            writer.transport.abort()
        except CancelledError:
            writer.transport.abort()
            raise
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _write(
        self,
        writer: StreamWriter,
        piece: bytes,
        *,
        is_inbound: bool,
    ) -> None:
        if self.state is LinkState.SILENT:
            return
        if self.state is LinkState.ONE_WAY and is_inbound:
            return
        if self.state is LinkState.SLOW:
            await sleep(DELAY_S)
        writer.write(piece)
        await writer.drain()
