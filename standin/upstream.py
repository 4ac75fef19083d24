"""A stand-in upstream that announces itself, serves HTTP and records runs.

Paths: `/runs` returns the records, `/crash` ends the process, `/truncate`
sends fewer bytes than it declares, `/twice` sends two responses, `/early`
closes the connection without a response and `/slow` takes one second. `/say`
takes a JSON object of headers that all further responses get. Paths that begin
with `/large/` or `/download/` have a large response. `/endless/FORM` sends
bytes of a form without end, and `/endless/FORM/slow` a byte at a time. Other
paths echo the request body, or the path if the body is empty.

Usage: `python -m standin.upstream --daemon HOST:PORT --service NAME`.
"""

from argparse import ArgumentParser
from asyncio import (
    CancelledError,
    Event,
    Protocol,
    Task,
    Transport,
    get_running_loop,
    run,
    sleep,
    wait_for,
)
from collections import Counter
from contextlib import suppress
from json import dumps, loads
from os import _exit
from pathlib import Path
from signal import SIGTERM
from time import monotonic, time
from typing import NamedTuple

from bilberry_core.endpoint import Address
from bilberry_core.http import HttpError, HttpRequest, fetch
from h11 import (
    DONE,
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    RemoteProtocolError,
    Request,
    Response,
)

from standin.arrivals import ArrivalFile
from standin.endless import (
    ENDLESS_FORMS,
    ENDLESS_PATH,
    SLOW_PAUSE_S,
    EndlessForm,
)
from standin.large_body import DOWNLOAD_PATH, LARGE_PATH, build_large_body

_HOST = '127.0.0.1'
_MS_PER_S = 1000
_SLOW_S = 1.0
_ANNOUNCE_TIMEOUT_S = 2.0
_RETRY_S = 0.1
_CRASH_STATUS = 70
_SHED_HEADERS = ((b'bilberry-verdict', b'not_run'), (b'retry-after', b'1'))
_LEAVING = 'bilberry-leaving'
_ID_HEADERS = (b'x-request-id', b'idempotency-key')


class StandinOptions(NamedTuple):
    """The behaviour of a stand-in upstream; times are in milliseconds.

    `exits` selects whether a crash ends the whole process, `sheds` whether
    every request is refused before it runs. If `record_file` is set, each run
    is appended to it at once, so that a kill does not lose the record, and each
    arrival to `arrival_file` likewise.
    """

    daemon: Address | None
    service: str
    slots: int = 12
    connections: int = 110
    latency_ms: float = 0
    cold_ms: float = 0
    renew_ms: float = 2000
    crash_path: str = '/crash'
    exits: bool = True
    sheds: bool = False
    record_file: str = ''
    upstream_id: str = ''
    arrival_file: str = ''


class RunRecords:
    """The number of runs by request ID, and the peaks of concurrency."""

    def __init__(self, record_file: str = '') -> None:
        """Opens `record_file` for appending if it is set."""
        self._file = Path(record_file).open('ab', 0) if record_file else None
        self.runs: Counter[str] = Counter()
        self.arrivals: list[float] = []
        self.cancelled: Counter[str] = Counter()
        self.deadlines: list[str] = []
        self.running = 0
        self.most_running = 0
        self.connections = 0
        self.most_connections = 0

    def record_start(self, request_id: str) -> None:
        """Records the start of a run, and its monotonic time."""
        if self._file:
            self._file.write(f'{request_id}\n'.encode())
        self.arrivals.append(monotonic())
        self.runs[request_id] += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)

    def record_end(self) -> None:
        """Records the end of a run."""
        self.running -= 1

    def record_connection(self) -> None:
        """Records a new connection."""
        self.connections += 1
        self.most_connections = max(self.most_connections, self.connections)

    def encode(self) -> bytes:
        """Returns the records as JSON."""
        return dumps(
            {
                'runs': self.runs,
                'arrivals': self.arrivals,
                'cancelled': self.cancelled,
                'most_running': self.most_running,
                'most_connections': self.most_connections,
            },
        ).encode()


class StandinConnection(Protocol):
    """An HTTP connection from the daemon, parsed with h11."""

    def __init__(self, upstream: 'StandinUpstream') -> None:
        self._upstream = upstream
        self._http = Connection(SERVER)
        self._transport: Transport | None = None
        self._request: Request | None = None
        self._body: list[bytes] = []
        self._task: Task[None] | None = None
        self._is_writable = True
        self._endless = b''

    def connection_made(self, transport: Transport) -> None:
        """Registers the connection with the upstream."""
        self._transport = transport
        self._upstream.open_connections.add(self)
        self._upstream.records.record_connection()

    def connection_lost(self, _error: Exception | None) -> None:
        """Cancels the request that is running, if any."""
        self._upstream.open_connections.discard(self)
        self._upstream.records.connections -= 1
        if self._task is not None:
            self._task.cancel()

    def data_received(self, received: bytes) -> None:
        """Parses received bytes and serves a complete request."""
        self._http.receive_data(received)
        self._read_events()

    def pause_writing(self) -> None:
        """Records that the daemon reads slowly."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Goes on with bytes without end."""
        self._is_writable = True
        if self._endless:
            self._send_piece()

    def send_endless(self, form: EndlessForm, *, is_slow: bool) -> None:
        """Sends bytes until the connection closes."""
        self._transport.write(form.begin)
        if is_slow:
            self._send_slowly(form.piece)
            return
        self._endless = form.piece
        self._send_piece()

    def _send_piece(self) -> None:
        if self._transport.is_closing() or not self._is_writable:
            return
        self._transport.write(self._endless)
        get_running_loop().call_soon(self._send_piece)

    def _send_slowly(self, piece: bytes) -> None:
        if self._transport.is_closing():
            return
        self._transport.write(piece[:1])
        get_running_loop().call_later(
            SLOW_PAUSE_S, self._send_slowly, piece[1:] + piece[:1]
        )

    def close_idle(self) -> None:
        """Closes the connection if it serves no request."""
        if self._request is None:
            self._transport.close()

    def abort(self) -> None:
        """Aborts the connection."""
        self._transport.abort()

    def write(self, raw: bytes) -> None:
        """Sends raw bytes, which may be malformed, without h11."""
        self._transport.write(raw)

    def close(self) -> None:
        """Closes the connection after the buffered bytes are sent."""
        self._transport.close()

    def answer(
        self,
        status: int,
        body: bytes,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        """Sends a complete response."""
        length = (b'content-length', str(len(body)).encode())
        framed = [length, *headers, *self._upstream.said]
        parts = [
            self._http.send(Response(status_code=status, headers=framed)),
            self._http.send(Data(data=body)) if body else b'',
            self._http.send(EndOfMessage()),
        ]
        self._transport.write(b''.join(parts))
        self._finish()

    def _finish(self) -> None:
        self._request = None
        self._body = []
        self._task = None
        if self._upstream.is_draining:
            self._transport.close()
        elif (self._http.our_state, self._http.their_state) == (DONE, DONE):
            self._http.start_next_cycle()
            self._read_events()

    def _read_events(self) -> None:
        try:
            event = self._http.next_event()
            while event is not NEED_DATA and event is not PAUSED:
                if isinstance(event, ConnectionClosed):
                    return
                self._handle_event(event)
                if isinstance(event, EndOfMessage):
                    return
                event = self._http.next_event()
        except RemoteProtocolError:
            self._transport.close()

    def _handle_event(self, event: object) -> None:
        if isinstance(event, Request):
            self._request = event
        elif isinstance(event, Data):
            self._body.append(bytes(event.data))
        elif isinstance(event, EndOfMessage):
            self._serve()

    def _serve(self) -> None:
        path = self._request.target.partition(b'?')[0].decode()
        body = b''.join(self._body)
        upstream = self._upstream
        if path == '/runs':
            self.answer(200, upstream.records.encode())
            return
        if path == '/say':
            upstream.say(loads(body))
            self.answer(200, b'')
            return
        if upstream.options.sheds:
            self.answer(503, b'shed', _SHED_HEADERS)
            return
        request_id = _get_request_id(self._request)
        upstream.arrival_file.record(request_id)
        upstream.records.record_start(request_id)
        delay_s = upstream.get_delay_s(path)
        if delay_s:
            coroutine = self._serve_later(delay_s, path, body, request_id)
            self._task = get_running_loop().create_task(coroutine)
            return
        upstream.records.record_end()
        upstream.respond(self, path, body)

    async def _serve_later(
        self,
        delay_s: float,
        path: str,
        body: bytes,
        request_id: str,
    ) -> None:
        try:
            await sleep(delay_s)
        except CancelledError:
            self._upstream.records.cancelled[request_id] += 1
            raise
        finally:
            self._upstream.records.record_end()
        self._upstream.respond(self, path, body)


class StandinUpstream:
    """An upstream with its server, its records and its announcements."""

    def __init__(self, options: StandinOptions) -> None:
        self.options = options
        self.records = RunRecords(options.record_file)
        self.is_draining = False
        #: Headers of every response.
        self.said: tuple[tuple[bytes, bytes], ...] = ()
        self._sequence = 0
        self.started_ms = int(time() * _MS_PER_S)
        self.arrival_file = ArrivalFile(
            options.arrival_file,
            f'{options.upstream_id}@{self.started_ms}',
        )
        self.address: Address | None = None
        self.open_connections: set[StandinConnection] = set()
        self._server = None
        self._ready_at: float = 0

    @property
    def is_serving(self) -> bool:
        """Whether the server accepts connections."""
        return self._server is not None and self._server.is_serving()

    @property
    def _is_leaving(self) -> bool:
        return (_LEAVING.encode(), b'1') in self.said

    async def start(self, port: int = 0) -> Address:
        """Starts to listen and returns the bound address."""
        loop = get_running_loop()
        self._server = await loop.create_server(
            lambda: StandinConnection(self),
            _HOST,
            port,
        )
        self.address = Address(*self._server.sockets[0].getsockname())
        self._ready_at = loop.time() + self.options.cold_ms / _MS_PER_S
        return self.address

    def say(self, headers: dict[str, str]) -> None:
        """Sets the headers that every further response gets.

        An upstream that said that it is leaving goes on saying so.
        """
        if self._is_leaving:
            headers = {_LEAVING: '1', **headers}
        self.arrival_file.say(headers)
        self.said = tuple(
            (name.encode(), text.encode()) for name, text in headers.items()
        )

    def begin_again(self) -> None:
        """Becomes the next start of this upstream, which says nothing."""
        self.started_ms += 1
        self.said = ()

    def get_delay_s(self, path: str) -> float:
        """Returns the delay of a response on `path`, in seconds."""
        if path == '/slow':
            return _SLOW_S
        return self.options.latency_ms / _MS_PER_S

    def respond(
        self,
        connection: StandinConnection,
        path: str,
        body: bytes,
    ) -> None:
        """Sends a response, or fails in the way that the path selects."""
        if path.startswith(ENDLESS_PATH):
            name, _, pace = path.removeprefix(ENDLESS_PATH).partition('/')
            connection.send_endless(ENDLESS_FORMS[name], is_slow=bool(pace))
            return
        if path == self.options.crash_path:
            self.crash()
        elif path == '/truncate':
            connection.write(b'HTTP/1.1 200 \r\ncontent-length: 9\r\n\r\nhalf')
            connection.close()
        elif path == '/early':
            connection.close()
        elif path == '/twice':
            one = b'HTTP/1.1 200 \r\ncontent-length: 3\r\n\r\none'
            connection.write(one + one)
        else:
            connection.answer(200, _build_body(path, body))

    def crash(self) -> None:
        """Simulates a crash: requests are cut, no withdrawal is sent."""
        if self.options.exits:
            _exit(_CRASH_STATUS)
        self.close()
        for connection in tuple(self.open_connections):
            connection.abort()

    async def announce(self, method: str = 'PUT') -> None:
        """Announces this upstream, or withdraws it if `method` is DELETE."""
        options = self.options
        body = {
            'service': options.service,
            'address': f'{self.address.host}:{self.address.port}',
            'slots': options.slots,
            'connections': options.connections,
            'state': self._get_state(),
        }
        if options.upstream_id:
            self._sequence += 1
            body['upstream_id'] = options.upstream_id
            body['started_ms'] = self.started_ms
            body['sequence'] = self._sequence
        request = HttpRequest(method, '/v1/endpoint', (), dumps(body).encode())
        await fetch(options.daemon, request, _ANNOUNCE_TIMEOUT_S)

    async def serve(self) -> None:
        """Announces and serves until SIGTERM, then drains."""
        stopping = Event()
        get_running_loop().add_signal_handler(SIGTERM, stopping.set)
        while not stopping.is_set():
            pause_s = await self._renew_announcement()
            with suppress(TimeoutError):
                await wait_for(stopping.wait(), pause_s)
        await self.drain()

    async def drain(self) -> None:
        """Withdraws the announcement and waits until no request runs."""
        self.is_draining = True
        with suppress(OSError, TimeoutError, HttpError):
            await self.announce('DELETE')
        while self.records.running:
            await sleep(_RETRY_S)
        self.close()

    def close(self) -> None:
        """Stops listening and closes idle connections."""
        self._server.close()
        for connection in tuple(self.open_connections):
            connection.close_idle()

    def _get_state(self) -> str:
        if self.is_draining:
            return 'draining'
        cold = get_running_loop().time() < self._ready_at
        return 'starting' if cold else 'ready'

    async def _renew_announcement(self) -> float:
        try:
            await self.announce()
        except (OSError, TimeoutError, HttpError):
            return _RETRY_S
        if self._get_state() == 'starting':
            return _RETRY_S
        return self.options.renew_ms / _MS_PER_S


def _build_body(path: str, body: bytes) -> bytes:
    if path.startswith((LARGE_PATH, DOWNLOAD_PATH)):
        return build_large_body(path)
    return body or path.encode()


def _get_request_id(request: Request) -> str:
    for name in _ID_HEADERS:
        for known, text in request.headers:
            if known == name:
                return text.decode('latin-1')
    return ''


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


def parse_options(arguments: list[str] | None = None) -> tuple:
    """Parses the command line; returns the options and the port."""
    parser = ArgumentParser(description='A stand-in upstream.')
    parser.add_argument('--daemon', type=_parse_address, required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--slots', type=int, default=12)
    parser.add_argument('--connections', type=int, default=110)
    parser.add_argument('--latency-ms', type=float, default=0)
    parser.add_argument('--cold-ms', type=float, default=0)
    parser.add_argument('--renew-ms', type=float, default=2000)
    parser.add_argument('--crash-path', default='/crash')
    parser.add_argument('--record-file', default='')
    parser.add_argument('--upstream-id', default='')
    parser.add_argument('--arrival-file', default='')
    parsed = vars(parser.parse_args(arguments))
    port = parsed.pop('port')
    return StandinOptions(**parsed), port


async def main() -> None:
    """Runs one stand-in upstream."""
    options, port = parse_options()
    upstream = StandinUpstream(options)
    address = await upstream.start(port)
    print(f'{address.host}:{address.port}', flush=True)
    await upstream.serve()


if __name__ == '__main__':
    run(main())
