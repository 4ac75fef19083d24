"""Requests downloads at a steady rate, whatever becomes of the earlier ones.

Each goes out on an open connection that waits for nothing, or on a new one; a
connection is used until it ends. A refused request is sent again with another
ID, until it gets a response.
"""

from asyncio import (
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    gather,
    open_connection,
    sleep,
    timeout,
)
from collections import Counter, defaultdict
from itertools import count
from random import Random
from time import monotonic
from typing import NamedTuple

from bilberry_core.endpoint import Address

from standin.large_body import DOWNLOAD_PATH, build_large_body

#: Time after which a caller gives up, in seconds: the timeout of the route and
#: a second.
GIVE_UP_S = 6.0
#: Pause before a request that got no refusal is sent again, in seconds.
RESEND_S = 0.2
#: Time after the last request in which refused ones come back, in seconds.
RETURN_S = 15.0
_OK = '200'
_ENDS = (ConnectionError, IncompleteReadError, OSError)

_Connection = tuple[StreamReader, StreamWriter]


class Response(NamedTuple):
    """A whole response, with the names of its headers in lower case."""

    status: str
    headers: dict[str, str]
    body: bytes


class Downloads:
    """Downloads through any of several daemons.

    `outcomes`
        Number of sendings by their outcome, or by the code of their failure.
    `cut`
        IDs of the sendings whose connection ended before their whole response,
        and the monotonic time of that, in seconds; those that no upstream ran
        were not read.
    `silent`, `mixed`, `unexplained`
        IDs of those of which no response began before their caller gave up, and
        of those that got another body than their own, or a failure without a
        verdict. A response that is whole too late is counted as an outcome.
    `refused`
        IDs of those with the verdict `not_run`.
    `lost`
        Numbers of the requests that were refused and never came back.
    """

    def __init__(
        self, addresses: tuple[Address, ...], host: str, random: Random
    ) -> None:
        """Opens no connection yet."""
        self.outcomes: Counter[str] = Counter()
        self.cut: dict[str, float] = {}
        self.silent: set[str] = set()
        self.mixed: set[str] = set()
        self.unexplained: set[str] = set()
        self.refused: set[str] = set()
        self.lost: set[int] = set()
        self._addresses = addresses
        self._host = host
        self._random = random
        self._begun: set[str] = set()
        self._idle: defaultdict[Address, list[_Connection]] = defaultdict(list)
        self._ends_at = float('inf')
        self._sender: Task[None] | None = None

    def start(self, requests_per_s: float) -> None:
        """Begins to send requests at random times."""
        self._sender = create_task(self._send_requests(requests_per_s))

    async def stop(self) -> None:
        """Sends no new request, and waits for the responses to all."""
        self._ends_at = monotonic() + RETURN_S
        await self._sender
        for connections in self._idle.values():
            for _reader, writer in connections:
                writer.close()

    async def _send_requests(self, requests_per_s: float) -> None:
        tasks = []
        due = monotonic()
        for number in count():
            due += self._random.expovariate(requests_per_s)
            await sleep(due - monotonic())
            if due > self._ends_at - RETURN_S:
                break
            tasks.append(create_task(self._download(number)))
        await gather(*tasks)

    async def _download(self, number: int) -> None:
        """Sends a request until it gets a response that is no refusal."""
        for attempt in count():
            pause_s = await self._send(f'{number}.{attempt}')
            if pause_s is None:
                return
            if monotonic() + pause_s > self._ends_at:
                self.lost.add(number)
                return
            await sleep(pause_s)

    async def _send(self, request_id: str) -> float | None:
        """Sends a request; returns the pause before its next sending."""
        address = self._random.choice(self._addresses)
        try:
            connection = await self._connect(address)
        except OSError:
            self.outcomes['unreached'] += 1
            return RESEND_S
        try:
            async with timeout(GIVE_UP_S):
                response = await self._exchange(address, connection, request_id)
        except TimeoutError:
            self._count_late(request_id)
            return None
        except _ENDS:
            self.outcomes['ended'] += 1
            self.cut[request_id] = monotonic()
            return RESEND_S
        return self._count(request_id, response)

    async def _connect(self, address: Address) -> _Connection:
        idle = self._idle[address]
        return idle.pop() if idle else await open_connection(*address)

    async def _exchange(
        self, address: Address, connection: _Connection, request_id: str
    ) -> Response:
        reader, writer = connection
        try:
            writer.write(_encode(self._host, request_id))
            status, headers = await _read_head(reader)
            self._begun.add(request_id)
            body = await reader.readexactly(int(headers['content-length']))
        except BaseException:
            writer.close()
            raise
        if headers.get('connection') == 'close':
            writer.close()
        else:
            self._idle[address].append(connection)
        return Response(status, headers, body)

    def _count_late(self, request_id: str) -> None:
        if request_id in self._begun:
            self.outcomes['late'] += 1
            return
        self.outcomes['silent'] += 1
        self.silent.add(request_id)

    def _count(self, request_id: str, response: Response) -> float | None:
        if response.status == _OK:
            self.outcomes['answered'] += 1
            if response.body != build_large_body(_build_path(request_id)):
                self.mixed.add(request_id)
            return None
        code = response.headers.get('bilberry-code', response.status)
        verdict = response.headers.get('bilberry-verdict')
        self.outcomes[f'{code}, {verdict}'] += 1
        if verdict is None:
            self.unexplained.add(request_id)
        if verdict != 'not_run':
            return None
        self.refused.add(request_id)
        return float(response.headers.get('retry-after', RESEND_S))


async def _read_head(reader: StreamReader) -> tuple[str, dict[str, str]]:
    """Returns the status and the headers, in lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
    start, *lines = head.splitlines()
    return start.split()[1], dict(line.split(': ', 1) for line in lines if line)


def _encode(host: str, request_id: str) -> bytes:
    head = f'GET {_build_path(request_id)} HTTP/1.1\r\nhost: {host}\r\n'
    return f'{head}x-request-id: {request_id}\r\n\r\n'.encode()


def _build_path(request_id: str) -> str:
    return f'{DOWNLOAD_PATH}{request_id}'
