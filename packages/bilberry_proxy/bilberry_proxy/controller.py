"""The proxy of one daemon: takes callers' requests and other daemons' calls."""

from asyncio import Server, get_running_loop, sleep
from logging import getLogger
from typing import Self

from bilberry_core.board import Board, Phase
from bilberry_core.claim import Claims
from bilberry_core.clock import MS_PER_S, Clock, RandomSource
from bilberry_core.endpoint import Address
from bilberry_core.handshake import Purpose
from bilberry_core.metric import Metrics
from bilberry_core.settings import Settings
from bilberry_core.snapshot import Snapshot
from bilberry_core.stream import Credentials, StreamListener

from bilberry_proxy.admitter import Admitter
from bilberry_proxy.call_server import CallServer
from bilberry_proxy.call_streams import CallStreams
from bilberry_proxy.caller_connection import CallerConnection
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.exchange import Exchange
from bilberry_proxy.router import Router
from bilberry_proxy.service_interest import ServiceInterest
from bilberry_proxy.suspicion import Suspicion
from bilberry_proxy.timers import TICK_S, TimerWheel

_log = getLogger(__name__)

_BACKLOG = 1024
_SWEEP_TICKS = 100


class ProxyController:
    """Routes callers' requests and admits calls to the upstream here."""

    def __init__(
        self,
        settings: Settings,
        board: Board,
        credentials: Credentials,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        """Starts without listening."""
        self._settings = settings
        self._board = board
        self._clock = clock
        self._timers = TimerWheel(clock.now())
        self._router = Router(
            settings.instance,
            settings.failure_domain,
            clock,
            random,
        )
        self._suspicion = Suspicion(board, clock)
        self._admitter = Admitter(
            board,
            clock,
            self._timers,
            self._suspicion,
        )
        self._calls = CallServer(self._admitter)
        self._streams = CallStreams.from_credentials(
            credentials,
            self._admitter,
        )
        self._connections: set[CallerConnection] = set()
        self._server: Server | None = None
        self._context: ProxyContext | None = None
        board.snapshot.watch(self._follow_snapshot)

    @classmethod
    def from_settings(  # noqa: WPS211 - every part of the daemon it needs
        cls,
        settings: Settings,
        board: Board,
        listener: StreamListener,
        credentials: Credentials,
        clock: Clock,
        random: RandomSource,
        metrics: Metrics,
        claims: Claims | None,
    ) -> Self:
        """Builds the controller of one daemon."""
        controller = cls(settings, board, credentials, clock, random)
        controller._context = ProxyContext(
            board,
            clock,
            random,
            controller._timers,
            controller._router,
            ServiceInterest(board),
            controller._suspicion,
            controller._streams.find_target,
            metrics,
            claims,
            set(),
            set(),
        )
        listener.handle(Purpose.CALL, controller._calls.accept)
        return controller

    @property
    def address(self) -> Address | None:
        """Where callers are taken, once the controller listens."""
        if self._server is None or not self._server.sockets:
            return None
        bound = self._server.sockets[0].getsockname()
        return Address(bound[0], bound[1])

    @property
    def busy(self) -> int:
        """How many requests and calls are under way."""
        own = len(self._context.running) + len(self._context.tasks)
        return own + self._admitter.outstanding + self._calls.open_calls

    @property
    def connections(self) -> int:
        """How many callers' connections are open."""
        return len(self._connections)

    async def start(self) -> Address:
        """Starts to listen for callers and returns the address bound."""
        listen = self._settings.listen.callers
        self._server = await get_running_loop().create_server(
            self._accept,
            listen.host,
            listen.port,
            backlog=_BACKLOG,
        )
        return self.address

    async def run(self) -> None:
        """Listens and drives the timers until cancelled."""
        if self._server is None:
            await self.start()
        while True:
            for _ in range(_SWEEP_TICKS):
                await sleep(TICK_S)
                self._timers.advance(self._clock.now())
                self._admitter.expire_waiting()
            self._sweep()

    async def drain(self) -> None:
        """Refuses what is new and finishes what is in flight."""
        self._board.phase.put(Phase.DRAINING)
        self._calls.say_goodbye()
        until = self._clock.now() + self._settings.timing.drain_ms / MS_PER_S
        for connection in tuple(self._connections):
            connection.is_draining = True
        while self.busy and self._clock.now() < until:
            await sleep(TICK_S)
        _log.info('proxy_drained', extra={'left': self.busy})

    async def stop(self) -> None:
        """Ends every connection and stream."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.cut_answer()
        self._streams.close()
        self._admitter.close()

    def _accept(self) -> CallerConnection:
        connection = CallerConnection(self._build_exchange, self._connections)
        connection.is_draining = self._board.phase.value is Phase.DRAINING
        return connection

    def _build_exchange(self, connection: CallerConnection) -> Exchange:
        return Exchange(self._context, connection)

    def _follow_snapshot(self, snapshot: Snapshot | None) -> None:
        if snapshot is None:
            return
        present = {
            (endpoint.instance, endpoint.incarnation)
            for route in snapshot.routes.values()
            for endpoint in route.endpoints
        }
        self._router.forget_gone(present)

    def _sweep(self) -> None:
        self._suspicion.forget_expired()
        snapshot = self._board.snapshot.value
        if snapshot is not None:
            self._streams.close_unused(snapshot)
