"""Moves open roll-outs step by step, while this replica leads."""

from asyncio import Event, sleep
from logging import getLogger
from typing import Protocol, Self

from bilberry_core.acceptance import Accepted, Refusal
from bilberry_core.board import Board
from bilberry_core.clock import MS_PER_S, Clock
from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.metric import Metrics
from bilberry_core.rollout import (
    WHOLE_PPM,
    Rollout,
    RolloutReport,
    RolloutStep,
    RolloutTable,
)
from bilberry_core.settings import RolloutSettings, Settings
from returns.result import Failure, Result

from bilberry_rollouts.judgement import RouteCounts
from bilberry_rollouts.ledger import RolloutLedger
from bilberry_rollouts.planning import RolloutView, decide_step

_log = getLogger(__name__)

#: Interval between decisions, in seconds.
TICK_S = 0.1
#: Longest wait for a step to be logged, in seconds.
STEP_TIMEOUT_S = 2.0


class StepAcceptor(Protocol):
    """The part of the replica that logs the steps of roll-outs."""

    async def step_rollout(
        self, step: RolloutStep, timeout_s: float
    ) -> Result[Accepted, Refusal]:
        """Logs the next step of a roll-out."""


class RolloutController:
    """The open roll-outs of the fleet, on one replica."""

    def __init__(
        self,
        board: Board,
        acceptor: StepAcceptor,
        clock: Clock,
        settings: RolloutSettings,
        metrics: Metrics,
    ) -> None:
        """Watches the roll-outs and the reports on the board."""
        self._board = board
        self._acceptor = acceptor
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._ledgers: dict[tuple[str, int], RolloutLedger] = {}
        self._is_running = False
        self._changed = Event()
        self._stopping = Event()
        board.rollouts.watch(self._on_table)
        board.rollout_reports.watch(self._on_report)

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        board: Board,
        acceptor: StepAcceptor,
        clock: Clock,
        metrics: Metrics,
    ) -> Self:
        """Builds the controller of one replica."""
        return cls(board, acceptor, clock, settings.rollouts, metrics)

    async def run(self) -> None:
        """Decides until `stop`."""
        self._on_table(self._board.rollouts.value)
        self._is_running = True
        while not self._stopping.is_set():
            await self._changed.wait()
            await sleep(TICK_S)
            await self.tick()

    async def stop(self) -> None:
        """Ends `run`."""
        self._stopping.set()
        self._changed.set()

    async def tick(self) -> None:
        """Logs the next steps that are due, if this replica leads."""
        status = self._board.replica.value
        if status is None or not status.is_leader:
            return
        for rollout in self._board.rollouts.value.rollouts:
            if rollout.is_open:
                await self._advance(rollout)

    def read_evidence(self, service: str) -> dict[str, RouteCounts]:
        """Returns the evidence on the newest roll-out of a service, by route.

        It is empty if this replica knows of none.
        """
        rollout = self._board.rollouts.value.find(service)
        ledger = self._ledgers.get(_get_key(rollout)) if rollout else None
        return ledger.judgement.routes if ledger else {}

    def build_view(self, rollout: Rollout) -> RolloutView:
        """Returns what a decision on a roll-out goes by."""
        now = self._clock.now()
        ledger = self._ledgers[_get_key(rollout)]
        ready = [
            endpoint
            for endpoint in self._board.endpoints.value.values()
            if endpoint.service == rollout.service
            and endpoint.state is EndpointState.READY
        ]
        new = [one for one in ready if one.version == rollout.version]
        elapsed_s = now - ledger.started_at
        slots = sum(one.slots for one in ready)
        new_slots = sum(one.slots for one in new)
        return RolloutView(
            rollout,
            ledger.judgement.verdict,
            rollout.duration_ms / MS_PER_S - elapsed_s,
            now - ledger.changed_at,
            ledger.requests,
            ledger.judgement.answers,
            ledger.measure_rate(now),
            len(new),
            new_slots,
            slots - new_slots,
            self._is_settled(rollout, ledger),
        )

    async def _advance(self, rollout: Rollout) -> None:
        view = self.build_view(rollout)
        step = decide_step(view, self._settings)
        if step is None:
            return
        outcome = await self._acceptor.step_rollout(step, STEP_TIMEOUT_S)
        refused = isinstance(outcome, Failure)
        _log.info(
            'rollout_step_refused' if refused else 'rollout_step',
            extra={
                'service': step.service,
                'version': rollout.version,
                'state': step.state.value,
                'share': step.share_ppm / WHOLE_PPM,
                'upstreams': step.upstreams,
                'why': step.reason,
                'verdict': view.verdict.value,
                'answers': view.exposed,
                'bad': self._ledgers[_get_key(rollout)].judgement.bad,
            },
        )

    def _is_settled(self, rollout: Rollout, ledger: RolloutLedger) -> bool:
        """Returns whether every retired upstream is known to be idle.

        One whose daemon can't be reached stays in the way until its lease is
        over: until then its daemon may still send requests to it.
        """
        return all(
            ledger.is_idle(instance, rollout.number)
            for instance, endpoint in self._board.endpoints.value.items()
            if _is_replaced(endpoint, rollout)
        )

    def _on_table(self, table: RolloutTable) -> None:
        now = self._clock.now()
        known = self._ledgers
        self._ledgers = {}
        for rollout in table.rollouts:
            key = _get_key(rollout)
            ledger = known.get(key)
            if ledger is None and rollout.is_open:
                ledger = RolloutLedger(rollout, self._find_age_s(rollout), now)
            if ledger is not None:
                ledger.follow(rollout, now)
                self._ledgers[key] = ledger
            self._count(rollout)
        if any(one.is_open for one in table.rollouts):
            self._changed.set()
        elif not self._stopping.is_set():
            self._changed.clear()

    def _find_age_s(self, rollout: Rollout) -> float:
        """Returns the age of an order that this replica learns of now.

        It is 0 for a new one, whatever the clocks of the replicas say.
        """
        is_new = rollout.changed_ms == rollout.started_ms
        if self._is_running and is_new:
            return 0
        age_ms = self._clock.wall_ms() - rollout.started_ms
        return max(age_ms, 0) / MS_PER_S

    def _on_report(self, report: RolloutReport) -> None:
        now = self._clock.now()
        for ledger in self._ledgers.values():
            ledger.add(report, now)

    def _count(self, rollout: Rollout) -> None:
        service = rollout.service
        share = rollout.share_ppm / WHOLE_PPM
        self._metrics.gauge(f'rollout.share.{service}', share)
        self._metrics.gauge(f'rollout.open.{service}', int(rollout.is_open))


def _get_key(rollout: Rollout) -> tuple[str, int]:
    return rollout.service, rollout.started_ms


def _is_replaced(endpoint: Endpoint, rollout: Rollout) -> bool:
    if endpoint.service != rollout.service:
        return False
    if endpoint.state is EndpointState.GONE:
        return False
    return endpoint.version != rollout.version
