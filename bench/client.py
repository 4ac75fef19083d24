"""An HTTP client that keeps connections open and measures latencies."""

from asyncio import Future, Protocol, get_running_loop, sleep
from time import perf_counter
from typing import NamedTuple

from bilberry_core.endpoint import Address

_HEAD_END = b'\r\n\r\n'
_LENGTH = b'content-length: '


class Reply(NamedTuple):
    """A response and its latency.

    `status` is 0 if no response came, because the connection was refused or
    closed. `headers` are parsed only for a status other than 200.
    """

    status: int
    body: bytes
    seconds: float
    headers: dict[str, str] = {}


class ClientConnection(Protocol):
    """A connection that sends one request at a time."""

    def __init__(self) -> None:
        self.is_open = True
        self._transport = None
        self._buffer = b''
        self._pending: Future | None = None
        self._sent_at: float = 0

    def connection_made(self, transport) -> None:
        """Stores the transport for `send`."""
        self._transport = transport

    def send(self, request: bytes) -> Future:
        """Sends a request and returns a future of its `Reply`."""
        self._pending = get_running_loop().create_future()
        self._sent_at = perf_counter()
        self._transport.write(request)
        return self._pending

    def data_received(self, received: bytes) -> None:
        """Completes the pending request once its response is whole."""
        self._buffer += received
        head, found, body = self._buffer.partition(_HEAD_END)
        if not found:
            return
        lower = head.lower() + b'\r\n'
        at = lower.find(_LENGTH) + len(_LENGTH)
        size = int(lower[at : lower.index(b'\r\n', at)])
        if len(body) < size:
            return
        self._buffer = b''
        if b'connection: close' in lower:
            self.close()
        reply = Reply(int(head[9:12]), body, self._elapsed())
        if reply.status != 200:
            reply = reply._replace(headers=_parse_headers(head))
        self._finish(reply)

    def connection_lost(self, _error) -> None:
        """Completes the pending request, if any, with status 0."""
        self.is_open = False
        self._finish(Reply(0, b'', self._elapsed()))

    def close(self) -> None:
        """Closes the connection."""
        self.is_open = False
        self._transport.close()

    def _elapsed(self) -> float:
        return perf_counter() - self._sent_at

    def _finish(self, reply: Reply) -> None:
        pending = self._pending
        self._pending = None
        if pending is not None and not pending.done():
            pending.set_result(reply)


def _parse_headers(head: bytes) -> dict[str, str]:
    lines = head.decode('latin-1').split('\r\n')[1:]
    pairs = (line.partition(':') for line in lines)
    return {name.lower(): text.strip() for name, _, text in pairs}


class Client:
    """A client of one address that opens as many connections as it needs."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle: list[ClientConnection] = []

    async def warm(self, count: int) -> None:
        """Opens `count` connections before the first request."""
        self._idle += [await self._connect() for _ in range(count)]

    async def send(self, request: bytes) -> Reply:
        """Sends a request on an idle connection, or on a new one."""
        connection = None
        while self._idle and connection is None:
            candidate = self._idle.pop()
            connection = candidate if candidate.is_open else None
        if connection is None:
            try:
                connection = await self._connect()
            except OSError:
                return Reply(0, b'refused', 0)
        reply = await connection.send(request)
        if connection.is_open:
            self._idle.append(connection)
        return reply

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.close()

    async def _connect(self) -> ClientConnection:
        loop = get_running_loop()
        _, connection = await loop.create_connection(
            ClientConnection, *self._address
        )
        return connection


def encode_get(path: str, **headers: str) -> bytes:
    """Returns an encoded GET request."""
    return encode_request('GET', path, b'', **headers)


def encode_request(
    method: str, path: str, body: bytes, **headers: str
) -> bytes:
    """Returns an encoded request; underscores in names become hyphens.

    The host is `callouts`, the service of the bench, unless given.
    """
    lines = [f'{method} {path} HTTP/1.1']
    headers = {'host': 'callouts', **headers}
    lines += [f'{k.replace("_", "-")}: {v}' for k, v in headers.items()]
    if body:
        lines.append(f'content-length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def send_at_rate(rate: float, count: int, send_one) -> list:
    """Starts `send_one(index)` at `rate` a second, as an open loop.

    A start never waits for an earlier call. Returns all results in order.
    """
    loop = get_running_loop()
    started = loop.time()
    tasks = []
    for index in range(count):
        pause = started + index / rate - loop.time()
        if pause > 0:
            await sleep(pause)
        tasks.append(loop.create_task(send_one(index)))
    return [await task for task in tasks]
