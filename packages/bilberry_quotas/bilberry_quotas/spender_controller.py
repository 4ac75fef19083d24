"""Asks for and spends the allowances of one proxy."""

from asyncio import Event, get_running_loop, sleep
from secrets import randbits
from typing import Self

from bilberry_core.allowance import Token, TokenWaiter
from bilberry_core.board import Board, Phase, SourceStatus
from bilberry_core.clock import MS_PER_S, Clock, RandomSource
from bilberry_core.messages.allowance import AllowanceAnswer, AllowanceOffer
from bilberry_core.metric import Metrics
from bilberry_core.organisation import Organisation
from bilberry_core.settings import Settings
from bilberry_core.snapshot import Snapshot

from bilberry_quotas.spender import LIFE_BITS, Spender

#: Interval between checks for old tokens and requests that wait, in seconds.
TICK_S = 0.05
#: Time for which needs are collected into one report, in seconds.
COLLECT_S = 0.002


class SpenderController:
    """The tokens of the requests of one proxy."""

    def __init__(
        self,
        board: Board,
        clock: Clock,
        metrics: Metrics,
        spender: Spender,
    ) -> None:
        """Watches the blackboard; `clock` goes on during a suspension."""
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self._spender = spender
        self._names: set[str] = set()
        self._is_collecting = False
        self._has_quotas = Event()
        self._is_stopping = False
        board.snapshot.watch(self._on_snapshot)
        board.source.watch(self._on_source)
        board.allowance_offer.watch(self._on_offer)
        board.allowance_answer.watch(self._on_answer)
        board.phase.watch(self._on_phase)

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        board: Board,
        clock: Clock,
        random: RandomSource,
        metrics: Metrics,
    ) -> Self:
        """Builds the controller of one proxy."""
        spender = Spender(
            settings.instance,
            randbits(LIFE_BITS),
            settings.timing.quota_window_ms / MS_PER_S,
            random,
            clock.now(),
        )
        return cls(board, clock, metrics, spender)

    async def run(self) -> None:
        """Checks the tokens until `stop`, while there are quotas."""
        while not self._is_stopping:
            await self._has_quotas.wait()
            self._spender.tick(self._clock.now())
            self._collect()
            await sleep(TICK_S)

    async def stop(self) -> None:
        """Ends `run`."""
        self._is_stopping = True
        self._has_quotas.set()

    def ask(
        self,
        organisation: Organisation,
        waiter: TokenWaiter,
        *,
        is_late: bool,
    ) -> None:
        """Calls one method of `waiter`, at once or later."""
        now = self._clock.now()
        if self._spender.ask(organisation, waiter, now, is_late=is_late):
            self._collect()

    def leave(self, organisation: Organisation, waiter: TokenWaiter) -> None:
        """Takes back a request that waits; its methods are not called."""
        self._spender.leave(organisation, waiter)

    def give_back(self, token: Token) -> None:
        """Takes back the token of a request that did not run."""
        self._spender.give_back(token, self._clock.now())

    def update_gauges(self) -> None:
        """Sets the gauges of this proxy's tokens."""
        self._metrics.gauge('quota.held', self._spender.held)
        self._metrics.gauge('quota.waiting', self._spender.waiting)
        in_touch = self._spender.lending.is_in_touch(self._clock.now())
        self._metrics.gauge('quota.in_touch', int(in_touch))

    def _on_snapshot(self, snapshot: Snapshot | None) -> None:
        known = (snapshot and snapshot.organisations_by_key) or {}
        names = {one.name for one in known.values() if one.rate}
        if names != self._names:
            self._names = names
            self._spender.drop_absent(names)
        if names:
            self._has_quotas.set()
        elif not self._is_stopping:
            self._has_quotas.clear()

    def _on_source(self, source: SourceStatus | None) -> None:
        if source is not None:
            self._spender.repeat_asks()
            self._collect()

    def _on_offer(self, offer: AllowanceOffer | None) -> None:
        now = self._clock.now()
        if offer is not None and self._spender.receive_offer(offer, now):
            self._report()

    def _on_answer(self, answer: AllowanceAnswer | None) -> None:
        if answer is not None:
            self._spender.receive_answer(answer, self._clock.now())

    def _on_phase(self, phase: Phase) -> None:
        if phase is Phase.DRAINING:
            self._spender.lending.is_leaving = True
            self._report()

    def _collect(self) -> None:
        if self._is_collecting or not self._spender.has_news:
            return
        self._is_collecting = True
        get_running_loop().call_later(COLLECT_S, self._report)

    def _report(self) -> None:
        self._is_collecting = False
        report = self._spender.build_report(self._clock.now())
        if report is not None:
            self._board.allowance_report.put(report)
