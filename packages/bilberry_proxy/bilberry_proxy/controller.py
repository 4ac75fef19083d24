"""The proxy of one daemon: serves callers' requests and daemons' calls."""

from asyncio import sleep
from typing import Self

from bilberry_core.board import Board, Phase
from bilberry_core.clock import MS_PER_S, Clock, RandomSource
from bilberry_core.endpoint import Address, Endpoint
from bilberry_core.listener import StreamListener
from bilberry_core.metric import Metrics
from bilberry_core.settings import Settings
from bilberry_core.snapshot import Snapshot
from bilberry_core.stream import Credentials

from bilberry_proxy.admitter import Admitter
from bilberry_proxy.allowance_detour import AllowanceDetour
from bilberry_proxy.call_server import CallServer
from bilberry_proxy.call_streams import CallStreams
from bilberry_proxy.caller_server import CallerServer
from bilberry_proxy.context import (
    START_S,
    Agreements,
    ProxyContext,
    ProxyOptions,
)
from bilberry_proxy.exclusion import get_exclusion_reason
from bilberry_proxy.pressure import Pressure
from bilberry_proxy.remaining_work import RemainingWork, WorkMeter
from bilberry_proxy.rollout_evidence import RolloutEvidence
from bilberry_proxy.router import Router
from bilberry_proxy.service_interest import ServiceInterest
from bilberry_proxy.suspect_tracker import SuspectTracker
from bilberry_proxy.timers import TICK_S, TimerWheel

#: Longest wait for other daemons to close their streams, in seconds.
STREAM_CLOSE_TIMEOUT_S = 2.0
_SWEEP_TICKS = 50
_US_PER_MS = 1000
#: Value of the gauge while the upstream names no rate limit.
_NO_RATE_LIMIT = -1
#: Proxies that are assumed to share the fleet's retry burst until more are
#: known.
MIN_PROXIES = 16


class ProxyController:
    """The routing and the admission side of one daemon's proxy."""

    def __init__(
        self,
        settings: Settings,
        context: ProxyContext,
        admitter: Admitter,
        streams: CallStreams,
        fleet_retry_burst: int = 0,
    ) -> None:
        """Starts without listening.

        `fleet_retry_burst` is described at `ProxyOptions`.
        """
        self._fleet_retry_burst = fleet_retry_burst
        self._settings = settings
        self._context = context
        self._admitter = admitter
        self._streams = streams
        self._calls = CallServer.from_context(context, admitter)
        self._callers = CallerServer(context)
        self._work = WorkMeter(context, admitter, self._calls, self._callers)
        self._detour = AllowanceDetour(
            context.board, context.clock, context.random, streams.list_open
        )
        self._calls.detour = self._detour
        streams.on_allowance = self._detour.receive
        context.board.snapshot.watch(self._on_snapshot)
        context.board.rollouts.watch(
            context.router.candidates.set_rollouts,
        )

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
        agreements: Agreements = Agreements(),
        options: ProxyOptions = ProxyOptions(),
    ) -> Self:
        """Builds the controller of one daemon."""
        timers = TimerWheel(clock.now())
        suspect_tracker = SuspectTracker(board, clock)
        admitter = Admitter(
            board,
            clock,
            timers,
            suspect_tracker,
            options.dialect,
            metrics,
        )
        streams = CallStreams.from_credentials(credentials, admitter)
        context = ProxyContext(
            board=board,
            clock=clock,
            random=random,
            timers=timers,
            router=Router(
                settings.instance,
                settings.failure_domain,
                clock,
                random,
            ),
            interest=ServiceInterest(board),
            suspect_tracker=suspect_tracker,
            pressure=Pressure(),
            find_target=streams.find_target,
            metrics=metrics,
            claims=agreements.claims,
            tasks=set(),
            running=set(),
            running_requests=admitter.running_requests,
            rollout_evidence=RolloutEvidence(board, clock),
            dialect=options.dialect,
            service=options.service,
            retry_budget_percent=options.retry_budget_percent,
            starts_until=clock.now() + START_S,
            allowances=agreements.allowances,
        )
        controller = cls(
            settings,
            context,
            admitter,
            streams,
            options.fleet_retry_burst,
        )
        controller._calls.listen(listener)
        return controller

    def update_gauges(self) -> None:
        """Sets the gauges of this proxy and of the upstream beside it."""
        metrics = self._context.metrics
        metrics.gauge('proxy.requests', len(self._context.running))
        metrics.gauge('proxy.connections', self.connections)
        metrics.gauge('proxy.calls', self._calls.open_calls)
        metrics.gauge('request.kept_bytes', self.pressure.kept_bodies.size)
        for (
            service,
            tokens,
        ) in self._context.router.retry_budgets.read().items():
            metrics.gauge(f'retry.budget.{service}', tokens)
        self._calls.update_gauges(metrics)
        self._update_admission_gauges()

    @property
    def address(self) -> Address | None:
        """The address for callers; None if the controller does not listen."""
        return self._callers.address

    @property
    def busy(self) -> int:
        """The number of requests, responses, claims and calls in progress."""
        return self._work.measure().total

    @property
    def connections(self) -> int:
        """The number of open connections of callers."""
        return self._callers.connections

    @property
    def pressure(self) -> Pressure:
        """The lag of the event loop, and the load shedding that follows."""
        return self._context.pressure

    def get_exclusion_reason(self, endpoint: Endpoint) -> str:
        """Returns why the endpoint is excluded; empty if it is eligible."""
        context = self._context
        route = context.board.snapshot.value.routes[endpoint.service]
        return get_exclusion_reason(
            context.router.candidates.get_subset(route),
            endpoint,
            context.router.get_load(endpoint),
            context.clock,
        )

    async def start(self) -> Address:
        """Starts listening for callers and returns the address bound."""
        await self._callers.start(self._settings.listen.callers)
        return self._callers.address

    async def run(self) -> None:
        """Listens for callers and runs the timers until cancelled."""
        if self._callers.address is None:
            await self.start()
        while True:
            for _ in range(_SWEEP_TICKS):
                await self._tick()
            self._sweep()

    async def drain(self) -> None:
        """Refuses new requests and calls and completes those in progress.

        Callers are still served during the linger time. Returns when nothing
        is in progress, after the drain time at the latest.
        """
        clock = self._context.clock
        until = clock.now() + self._settings.timing.drain_ms / MS_PER_S
        self._work.log_begin()
        phase = self._context.board.phase
        linger_s = self._settings.timing.linger_ms / MS_PER_S
        phase.put(Phase.LEAVING if linger_s else Phase.DRAINING)
        self._announce_stop(until)
        await sleep(linger_s)
        phase.put(Phase.DRAINING)
        left = await self._finish_requests(until)
        until = min(until, clock.now() + STREAM_CLOSE_TIMEOUT_S)
        while self._calls.open_streams and clock.now() < until:
            await sleep(TICK_S)
        self._work.log_end(left)

    async def stop(self) -> None:
        """Closes every connection and stream."""
        self._calls.report_stop()
        self._callers.close()
        self._streams.close()
        self._admitter.close()

    def _announce_stop(self, until: float) -> None:
        """Tells callers and daemons of the stop that ends at `until`."""
        self._context.board.drains_until.put(until)
        self._streams.announce_stop(until - self._context.clock.now())
        self._calls.send_go_away()
        self._callers.drain()

    async def _finish_requests(self, until: float) -> RemainingWork:
        """Waits for the end of all requests; gives up what is left then.

        Returns what was left.
        """
        while self.busy and self._context.clock.now() < until:
            await sleep(TICK_S)
        left = self._work.measure()
        for exchange in tuple(self._context.running):
            exchange.abandon()
        if left.total:
            # The last responses are sent.
            await sleep(TICK_S)
        return left

    def _update_admission_gauges(self) -> None:
        metrics = self._context.metrics
        load = self._admitter.measure_load()
        metrics.gauge('admission.running', load.outstanding)
        metrics.gauge('admission.queued', load.queued)
        metrics.gauge('admission.slots', load.slots)
        metrics.gauge('admission.upstream_ms', load.latency_us / _US_PER_MS)
        rate_limit = self._context.board.upstream_notice.value.rate_limit
        metrics.gauge(
            'admission.rate_limit',
            _NO_RATE_LIMIT if rate_limit is None else rate_limit,
        )

    async def _tick(self) -> None:
        clock = self._context.clock
        due = clock.now() + TICK_S
        await sleep(TICK_S)
        now = clock.now()
        self.pressure.record_lag(now - due)
        self._context.timers.advance(now)
        self._admitter.expire_waiting()
        self._calls.advance()
        self._detour.tick()
        load = self._admitter.measure_load()
        self._context.rollout_evidence.report(
            is_idle=not load.outstanding and not load.queued,
        )

    def _on_snapshot(self, snapshot: Snapshot | None) -> None:
        if snapshot is None:
            return
        present = {
            (endpoint.instance, endpoint.incarnation)
            for route in snapshot.routes.values()
            for endpoint in route.endpoints
        }
        router = self._context.router
        router.drop_absent(present)
        if self._fleet_retry_burst:
            # A proxy runs beside each endpoint.
            proxies = max(len(present), MIN_PROXIES)
            router.retry_budgets.resize(self._fleet_retry_burst / proxies)

    def _sweep(self) -> None:
        self._context.suspect_tracker.forget_expired()
        self._callers.expire_idle(self._context.clock.now())
        snapshot = self._context.board.snapshot.value
        if snapshot is not None:
            self._streams.close_unused(snapshot)
