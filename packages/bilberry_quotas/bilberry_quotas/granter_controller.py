"""Runs the granter of quotas on a replica, while it leads."""

from asyncio import Event, Task, create_task, sleep
from collections import defaultdict
from logging import getLogger
from secrets import randbits
from typing import Protocol, Self

from bilberry_core.acceptance import Accepted, Refusal
from bilberry_core.board import Board, RelayedAnswers, RelayedReports
from bilberry_core.clock import MS_PER_S, Clock
from bilberry_core.messages.allowance import AllowanceAnswer, AllowanceOffer
from bilberry_core.metric import Metrics
from bilberry_core.organisation import Organisation
from bilberry_core.quota import HolderStep
from bilberry_core.settings import Settings
from returns.result import Failure, Result

from bilberry_quotas.granter import Granter
from bilberry_quotas.quota_metrics import QuotaMetrics
from bilberry_quotas.spender import LIFE_BITS
from bilberry_quotas.timing import OFFER_S
from bilberry_quotas.voter import Voter

_log = getLogger(__name__)

#: Interval between additions of tokens, in seconds.
TICK_S = 0.04
#: Interval between changes of the holders, in seconds.
STEP_S = 1.0
#: Longest wait for a step to be logged, in seconds.
STEP_TIMEOUT_S = 2.0


class StepAcceptor(Protocol):
    """The part of the replica that logs the holders of shares."""

    async def step_holders(
        self, step: HolderStep, timeout_s: float
    ) -> Result[Accepted, Refusal]:
        """Logs a step."""


class GranterController:
    """The granter of this replica while it leads, and its vote.

    It grants once an entry of its term is committed, since it may know older
    quotas and holders as a follower.
    """

    def __init__(
        self,
        settings: Settings,
        board: Board,
        acceptor: StepAcceptor,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Watches the blackboard; `clock` goes on during a suspension."""
        self._window_s = settings.timing.quota_window_ms / MS_PER_S
        self._board = board
        self._acceptor = acceptor
        self._clock = clock
        self._metrics = QuotaMetrics(metrics)
        self._voter = Voter(settings.instance, randbits(LIFE_BITS), clock.now())
        self._granter: Granter | None = None
        self._relays: dict[str, str] = {}
        self._offer_at: float = 0
        self._step_at: float = 0
        self._step: Task[None] | None = None
        self._granting = Event()
        self._is_stopping = False
        board.accepted.watch(lambda _accepted: self._update())
        board.replica.watch(lambda _status: self._update())
        board.holders.watch(lambda _table: self._update())
        board.allowance_offer.watch(self._on_offer)
        board.relayed_reports.watch(self._on_reports)

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
        return cls(settings, board, acceptor, clock, metrics)

    async def run(self) -> None:
        """Grants until `stop`, while this replica leads and has quotas."""
        self._update()
        while not self._is_stopping:
            await self._granting.wait()
            self.tick()
            await sleep(TICK_S)

    async def stop(self) -> None:
        """Ends `run`."""
        self._is_stopping = True
        self._granting.set()
        if self._step is not None:
            self._step.cancel()

    def tick(self) -> None:
        """Adds tokens, makes offers and changes holders as they are due."""
        granter = self._granter
        if granter is None:
            return
        now = self._clock.now()
        self._send(granter.advance(now))
        if now >= self._offer_at:
            self._offer_at = now + OFFER_S
            self._board.granter_offer.put(granter.offer(now))
            self._metrics.update(granter.status)
            self._board.quotas.put(granter.status)
        if now >= self._step_at and self._step is None:
            self._step_at = now + STEP_S
            self._plan_step(granter, now)

    def _update(self) -> None:
        status = self._board.replica.value
        organisations = self._list_limited()
        # A new leader may not know yet what the one before it accepted last.
        is_current = status is not None and status.is_current
        if not organisations or not is_current:
            self._granter = None
            self._board.quotas.put(None)
            self._granting.clear()
            return
        now = self._clock.now()
        if self._granter is None or self._granter.term != status.term:
            self._granter = Granter(status.term, self._window_s, now)
            _log.info('granter_started', extra={'term': status.term})
        self._granter.configure(organisations, now)
        self._granter.follow(self._board.holders.value, status.members)
        self._granting.set()

    def _list_limited(self) -> tuple[Organisation, ...]:
        accepted = self._board.accepted.value
        if accepted is None:
            return ()
        return tuple(
            organisation
            for organisation in accepted.configuration.organisations
            if organisation.rate
        )

    def _on_offer(self, offer: AllowanceOffer | None) -> None:
        if offer is None:
            return
        report = self._voter.reply(offer, self._clock.now())
        if report is not None:
            self._board.allowance_report.put(report)

    def _on_reports(self, relayed: RelayedReports | None) -> None:
        granter = self._granter
        if relayed is None or granter is None:
            return
        now = self._clock.now()
        answers = []
        for report in relayed.reports:
            if report.term != granter.term:
                continue
            if report.is_vote:
                granter.receive_vote(report, now)
            else:
                self._relays[report.instance] = relayed.relay
                answers.append(granter.receive(report, now))
        self._send([answer for answer in answers if answer is not None])

    def _send(self, answers: list[AllowanceAnswer]) -> None:
        by_relay: defaultdict[str, list[AllowanceAnswer]] = defaultdict(list)
        for answer in answers:
            by_relay[self._relays.get(answer.instance, '')].append(answer)
        for relay, grouped in by_relay.items():
            self._board.granter_answers.put(
                RelayedAnswers(relay, tuple(grouped))
            )

    def _plan_step(self, granter: Granter, now: float) -> None:
        step = granter.plan_step(now)
        if step is not None:
            self._step = create_task(self._log_step(step))

    async def _log_step(self, step: HolderStep) -> None:
        try:
            outcome = await self._acceptor.step_holders(step, STEP_TIMEOUT_S)
        finally:
            self._step = None
        refused = isinstance(outcome, Failure)
        _log.info(
            'share_step_refused' if refused else 'share_step',
            extra={
                'number': step.number,
                'holders': {one.instance: one.divisor for one in step.holders},
            },
        )
