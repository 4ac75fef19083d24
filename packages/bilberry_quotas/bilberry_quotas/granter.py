"""Grants allowances of every quota, on the leader of the replicas.

It grants of what daemons lend it. So it needs no word from the leader before:
what that one may still grant was not lent to this one.
"""

from collections.abc import Iterable
from logging import getLogger

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.allowance import (
    AllowanceAnswer,
    AllowanceAsk,
    AllowanceGrant,
    AllowanceOffer,
    AllowanceReport,
)
from bilberry_core.organisation import Organisation
from bilberry_core.quota import HolderStep, HolderTable, QuotaStatus

from bilberry_quotas.ledger import Ledger
from bilberry_quotas.lenders import LOOK_S, Lenders
from bilberry_quotas.shares import (
    choose_divisor,
    count_daemons,
    find_told_divisor,
    plan_step,
)

_log = getLogger(__name__)

#: Longest time for which an ask waits for tokens, in seconds.
QUEUE_S = 0.05
#: The same while shares that were lent to the leader before are still coming,
#: and how long that takes, in seconds.
EARLY_QUEUE_S = 1.0
EARLY_S = 2.0


class Granter:
    """The quotas that one leader grants of, during one term."""

    def __init__(self, term: int, window_s: float, now: float) -> None:
        """Starts without organisations, holders and lent shares.

        Quotas hold for each window of `window_s` seconds.
        """
        self.term = term
        self._window_s = window_s
        self._lenders = Lenders()
        self._ledgers: dict[str, Ledger] = {}
        self._fraction: float = 0
        self._divisor = choose_divisor(0)
        self._started_at = now
        self._looked_at = now

    @property
    def status(self) -> QuotaStatus:
        """What is lent, and what became of it in this term."""
        return QuotaStatus(
            self.term,
            self._fraction,
            self._lenders.count,
            tuple(ledger.use for ledger in self._ledgers.values()),
        )

    def configure(
        self, organisations: Iterable[Organisation], now: float
    ) -> None:
        """Adopts the quotas of a configuration."""
        known = self._ledgers
        self._ledgers = {}
        for organisation in organisations:
            name = organisation.name
            if organisation.rate:
                ledger = known.get(name)
                if ledger is None:
                    ledger = Ledger(organisation, self._window_s, now)
                ledger.configure(organisation)
                self._ledgers[name] = ledger

    def follow(self, table: HolderTable, members: tuple[str, ...]) -> None:
        """Adopts the holders, and the replicas, that the log names."""
        self._lenders.follow(table, members)

    def offer(self, now: float) -> AllowanceOffer:
        """Returns an offer to every daemon."""
        return AllowanceOffer(self.term, now)

    def advance(self, now: float) -> list[AllowanceAnswer]:
        """Adds tokens; returns answers to asks that waited for them."""
        self._look(now)
        answers = []
        for name, ledger in self._ledgers.items():
            self._advance_ledger(ledger, now)
            for ask in ledger.pop_ready():
                grant = AllowanceGrant(name, ask.wanted)
                waited_s = now - ask.since
                answers.append(self._answer(ask.report, (grant,), waited_s))
        return answers

    def receive_vote(self, report: AllowanceReport, now: float) -> None:
        """Counts the vote of a replica on what no daemon holds."""
        self._lenders.record_vote(report, now)

    def receive(
        self, report: AllowanceReport, now: float
    ) -> AllowanceAnswer | None:
        """Answers a report that replies to an offer of this granter.

        Returns None if there is nothing to answer. A report that contradicts
        itself, or of a process that has ended, changes nothing.
        """
        if not report.is_consistent:
            _log.warning(
                'allowance_report_refused', extra={'instance': report.instance}
            )
            return None
        if self._lenders.is_former(report):
            return None
        if self._lenders.record(report, now):
            for ledger in self._ledgers.values():
                ledger.forget(report.instance)
        if now - self._looked_at > LOOK_S:
            self._look(now)
        grants = [self._grant(report, ask, now) for ask in report.asks]
        given = tuple(grant for grant in grants if grant is not None)
        divisor = self._find_divisor(report)
        if given or self._lenders.needs_answer(report, divisor):
            return self._answer(report, given)
        return None

    def plan_step(self, now: float) -> HolderStep | None:
        """Returns the change of holders that is to be logged next.

        Only a granter with the votes of a majority may give out what no daemon
        holds.
        """
        lenders = self._lenders
        if not lenders.has_votes(now):
            return None
        known = lenders.list_known(now)
        self._divisor = choose_divisor(count_daemons(lenders.table, known))
        return plan_step(lenders.table, known, self._divisor)

    def _look(self, now: float) -> None:
        self._looked_at = now
        self._fraction = self._lenders.measure_fraction(now)

    def _grant(
        self, report: AllowanceReport, ask: AllowanceAsk, now: float
    ) -> AllowanceGrant | None:
        ledger = self._ledgers.get(ask.organisation)
        if ledger is None:
            # The configuration here names no limit for it.
            return AllowanceGrant(ask.organisation, ask.wanted)
        ledger.settle(report.instance, ask)
        self._advance_ledger(ledger, now)
        if not ask.wanted and not ask.spare:
            return None
        return ledger.grant(report, ask)

    def _advance_ledger(self, ledger: Ledger, now: float) -> None:
        is_early = now - self._started_at < EARLY_S
        queue_s = EARLY_QUEUE_S if is_early else QUEUE_S
        ledger.advance(now, self._fraction, queue_s)

    def _answer(
        self,
        report: AllowanceReport,
        grants: tuple[AllowanceGrant, ...],
        waited_s: float = 0,
    ) -> AllowanceAnswer:
        return AllowanceAnswer(
            report.instance,
            report.life,
            self.term,
            report.asked_at,
            self._find_divisor(report),
            grants,
            int(waited_s * MS_PER_S),
        )

    def _find_divisor(self, report: AllowanceReport) -> int:
        logged = self._lenders.get_divisor(report.instance)
        return find_told_divisor(logged, self._divisor)
