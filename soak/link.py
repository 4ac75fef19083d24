"""A loopback TCP proxy in front of a daemon that injects network faults.

It does not parse the bytes: it forwards them, delays them, drops them in one
direction or both, or resets the connections. A link with a rate lets all its
connections together pass no more than that, and holds back who sends more.
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
    get_running_loop,
    open_connection,
    sleep,
    start_server,
)
from enum import StrEnum
from socket import SO_RCVBUF, SO_REUSEADDR, SO_SNDBUF, SOL_SOCKET, socket

from bilberry_core.endpoint import Address

from soak.byte_rate import ByteRate

_HOST = '127.0.0.1'
_READ_BYTES = 65536
#: Bytes that each buffer on a link with a rate holds.
BUFFER_BYTES = 4096
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

    def __init__(
        self, target: Address, bytes_per_s: float | None = None
    ) -> None:
        """Forwards to `target`; the link is open at first.

        At most `bytes_per_s` go in each direction; None limits nothing.
        """
        self.state = LinkState.OPEN
        self._target = target
        self._rates = ByteRate(bytes_per_s), ByteRate(bytes_per_s)
        self._is_limited = bytes_per_s is not None
        self._buffer_bytes = BUFFER_BYTES if self._is_limited else _READ_BYTES
        self._server: Server | None = None
        self._writers: set[StreamWriter] = set()
        self._tasks: set[Task] = set()

    async def listen(self, port: int = 0) -> Address:
        """Starts to accept connections; returns the address."""
        listening = self._open_socket()
        listening.bind((_HOST, port))
        self._server = await start_server(
            self._serve, sock=listening, limit=self._buffer_bytes
        )
        host, port = listening.getsockname()
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
            target_reader, target_writer = await self._connect()
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

    async def _connect(self) -> tuple[StreamReader, StreamWriter]:
        connecting = self._open_socket()
        connecting.setblocking(False)
        try:
            await get_running_loop().sock_connect(connecting, self._target)
        except OSError:
            connecting.close()
            raise
        return await open_connection(sock=connecting, limit=self._buffer_bytes)

    def _open_socket(self) -> socket:
        return open_narrow_socket() if self._is_limited else socket()

    async def _forward(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        *,
        is_inbound: bool,
    ) -> None:
        self._writers.add(writer)
        try:
            while piece := await reader.read(self._buffer_bytes):
                await self._rates[is_inbound].take(len(piece))
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


def open_narrow_socket() -> socket:
    """Returns a socket that buffers little, as do those that it accepts."""
    narrow = socket()
    # A daemon that is started again listens on the same port.
    narrow.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    for option in (SO_RCVBUF, SO_SNDBUF):
        narrow.setsockopt(SOL_SOCKET, option, BUFFER_BYTES)
    return narrow
