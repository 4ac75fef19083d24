"""A caller that measures: keeps connections and sends at a steady rate."""

from asyncio import Future, Protocol, get_running_loop, sleep
from time import perf_counter
from typing import NamedTuple

from bilberry_core.endpoint import Address

_HEAD_END = b'\r\n\r\n'
_LENGTH = b'content-length: '


class Reply(NamedTuple):
    """An answer; `status` is 0 where the connection ended before it."""

    status: int
    body: bytes
    seconds: float
    headers: dict[str, str] = {}


class ClientConnection(Protocol):
    """One connection that sends one request at a time."""

    def __init__(self) -> None:
        """Starts unconnected."""
        self.is_open = True
        self._transport = None
        self._buffer = b''
        self._pending: Future | None = None
        self._sent_at: float = 0

    def connection_made(self, transport) -> None:
        """Called by the event loop."""
        self._transport = transport

    def send(self, request: bytes) -> Future:
        """Sends a request and returns what becomes of it."""
        self._pending = get_running_loop().create_future()
        self._sent_at = perf_counter()
        self._transport.write(request)
        return self._pending

    def data_received(self, received: bytes) -> None:
        """Called by the event loop."""
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
        """Called by the event loop."""
        self.is_open = False
        self._finish(Reply(0, b'', self._elapsed()))

    def close(self) -> None:
        """Ends the connection."""
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
    """Sends requests to one address over as many connections as needed."""

    def __init__(self, address: Address) -> None:
        """Starts without connections."""
        self._address = address
        self._idle: list[ClientConnection] = []

    async def warm(self, count: int) -> None:
        """Opens connections ahead."""
        self._idle += [await self._connect() for _ in range(count)]

    async def send(self, request: bytes) -> Reply:
        """Sends a request on a free connection."""
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
        """Ends the idle connections."""
        for connection in self._idle:
            connection.close()

    async def _connect(self) -> ClientConnection:
        loop = get_running_loop()
        _, connection = await loop.create_connection(
            ClientConnection, *self._address
        )
        return connection


def encode_get(path: str, **headers: str) -> bytes:
    """Returns a GET request."""
    return encode_request('GET', path, b'', **headers)


def encode_request(
    method: str, path: str, body: bytes, **headers: str
) -> bytes:
    """Returns a request to the service of the bench."""
    lines = [f'{method} {path} HTTP/1.1']
    headers = {'host': 'callouts', **headers}
    lines += [f'{k.replace("_", "-")}: {v}' for k, v in headers.items()]
    if body:
        lines.append(f'content-length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def send_steadily(rate: float, count: int, send_one) -> list:
    """Calls `send_one(index)` at `rate` a second, never waiting for it."""
    loop = get_running_loop()
    started = loop.time()
    tasks = []
    for at in range(count):
        pause = started + at / rate - loop.time()
        if pause > 0:
            await sleep(pause)
        tasks.append(loop.create_task(send_one(at)))
    return [await task for task in tasks]
