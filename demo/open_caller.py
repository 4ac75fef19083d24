"""A caller that uses its open connections until they end.

It sends reads ahead, as a browser or a client library may, and knows which of
them were cut: those that had no response when their connection ended, unless
an earlier response had announced the end.
"""

from asyncio import (
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    gather,
    get_running_loop,
    open_connection,
    sleep,
)
from collections import deque
from itertools import count
from socket import SO_RCVBUF, SOL_SOCKET, socket
from time import monotonic

from bilberry_core.endpoint import Address

from standin.large_body import LARGE_PATH, build_large_body

#: Most requests of one connection that wait for their responses.
MAX_AHEAD = 4
#: Received bytes that the kernel holds for a connection.
RECEIVE_BUFFER_BYTES = 4096
#: Pause before a lost connection is opened again, in seconds.
REOPEN_S = 0.05
#: Pause between two requests of one connection, in seconds.
PAUSE_S = 0.01
_LARGE_INTERVAL = 3
_OK = b'200'
_ENDS = (ConnectionError, IncompleteReadError, OSError)


class OpenCaller:
    """Connections to one daemon, on each of which requests are sent ahead.

    `answered`
        Number of complete responses.
    `cut`
        IDs of the requests whose connection ended before their response, and
        the monotonic time of that, in seconds; those that no upstream ran were
        not read.
    `mixed`
        IDs of the requests that got another body than their own.
    """

    def __init__(self, instance: str, address: Address, host: str) -> None:
        """Opens no connection yet."""
        self.instance = instance
        self.answered = 0
        self.cut: dict[str, float] = {}
        self.mixed: set[str] = set()
        self._address = address
        self._host = host
        self._numbers = count(1)
        self._is_stopping = False
        self._workers: list[Task[None]] = []

    def start(self, connections: int) -> None:
        """Opens this number of connections, and each again once it ended."""
        self._workers = [
            create_task(self._use_connections()) for _ in range(connections)
        ]

    async def stop(self) -> None:
        """Waits for the responses to the requests that were sent."""
        self._is_stopping = True
        await gather(*self._workers)

    async def _use_connections(self) -> None:
        while not self._is_stopping:
            try:
                reader, writer = await _connect_slowly(self._address)
            except OSError:
                await sleep(REOPEN_S)
                continue
            await self._use(reader, writer)

    async def _use(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Sends requests on a connection until it ends."""
        waiting: deque[str] = deque()
        sender = create_task(self._send_ahead(writer, waiting))
        try:
            await self._receive(reader, waiting, sender)
        except _ENDS:
            ids = map(_get_request_id, waiting)
            self.cut.update(dict.fromkeys(ids, monotonic()))
        sender.cancel()
        await gather(sender, return_exceptions=True)
        writer.close()

    async def _send_ahead(
        self, writer: StreamWriter, waiting: deque[str]
    ) -> None:
        while not self._is_stopping:
            if len(waiting) < MAX_AHEAD:
                number = next(self._numbers)
                path = f'{LARGE_PATH}{self.instance}-{number}'
                if number % _LARGE_INTERVAL:
                    path = f'/open/{self.instance}-{number}'
                waiting.append(path)
                writer.write(_encode_request(self._host, path))
            await sleep(PAUSE_S)

    async def _receive(
        self,
        reader: StreamReader,
        waiting: deque[str],
        sender: Task[None],
    ) -> None:
        """Takes responses until one announces the end of the connection."""
        while waiting or not sender.done():
            if not waiting:
                await sleep(PAUSE_S)
                continue
            head = (await reader.readuntil(b'\r\n\r\n')).lower()
            body = await reader.readexactly(_find_length(head))
            self._count(waiting.popleft(), head, body)
            if b'connection: close' in head:
                return

    def _count(self, path: str, head: bytes, body: bytes) -> None:
        self.answered += 1
        is_large = path.startswith(LARGE_PATH)
        if not is_large or head.split()[1] != _OK:
            return
        if body != build_large_body(path):
            self.mixed.add(path)


async def _connect_slowly(
    address: Address,
) -> tuple[StreamReader, StreamWriter]:
    """Opens a connection on which responses wait, as on a loaded link."""
    connecting = socket()
    connecting.setblocking(False)
    connecting.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        await get_running_loop().sock_connect(connecting, address)
    except OSError:
        connecting.close()
        raise
    return await open_connection(sock=connecting, limit=RECEIVE_BUFFER_BYTES)


def _get_request_id(path: str) -> str:
    return path.rpartition('/')[2]


def _encode_request(host: str, path: str) -> bytes:
    head = (
        f'GET {path} HTTP/1.1\r\nhost: {host}\r\n'
        f'x-request-id: {_get_request_id(path)}\r\n\r\n'
    )
    return head.encode()


def _find_length(head: bytes) -> int:
    _, _, rest = head.partition(b'content-length:')
    return int(rest.split(b'\r\n', 1)[0])
