"""Counts what was lent to one granter, and by whom.

A share counts until it may be used elsewhere. What no daemon holds counts only
while a majority of the replicas lends its votes, so two granters never use it
at the same time.
"""

from typing import NamedTuple

from bilberry_core.messages.allowance import AllowanceReport
from bilberry_core.quota import HolderTable, sum_shares

from bilberry_quotas.shares import KnownDaemon
from bilberry_quotas.timing import HOLD_S, LEND_S

#: Longest interval between two answers to a daemon that asks for nothing, in
#: seconds.
ANSWER_S = 5.0
#: Longest interval between two looks at what is lent, in seconds. A share
#: counts as lent for this much less.
LOOK_S = 0.05


class _Daemon(NamedTuple):
    """The newest report of a daemon, and until when it lends its share."""

    life: int
    order: tuple[int, float, float]
    heard_at: float
    lent_until: float
    divisor: int
    leaves: bool
    answered_at: float


class Lenders:
    """The daemons and replicas that lend to one granter."""

    def __init__(self) -> None:
        """Starts without any."""
        self.table = HolderTable()
        self._divisors: dict[str, int] = {}
        self._members: tuple[str, ...] = ()
        self._votes: dict[str, float] = {}
        self._daemons: dict[str, _Daemon] = {}

    @property
    def count(self) -> int:
        """The number of daemons that were heard of."""
        return len(self._daemons)

    def follow(self, table: HolderTable, members: tuple[str, ...]) -> None:
        """Adopts the holders, and the replicas, that the log names."""
        self._members = members
        self.table = table
        self._divisors = dict(table.holders)

    def get_divisor(self, instance: str) -> int:
        """Returns the share that the log names for a daemon; 0 for none."""
        return self._divisors.get(instance, 0)

    def record_vote(self, report: AllowanceReport, now: float) -> None:
        """Counts the vote of a replica."""
        if report.lends and report.stamp <= now:
            lent_until = report.stamp + LEND_S
            known = self._votes.get(report.instance, 0)
            self._votes[report.instance] = max(known, lent_until)

    def is_former(self, report: AllowanceReport) -> bool:
        """Returns whether a newer process of its name has reported since."""
        known = self._daemons.get(report.instance)
        if known is None or known.life == report.life:
            return False
        return report.order <= known.order

    def record(self, report: AllowanceReport, now: float) -> bool:
        """Records the report of a daemon; returns whether its process is new.

        A new process knows nothing of the tokens of the one before. A report
        that others overtook lends too, and says nothing else that holds.
        """
        known = self._daemons.get(report.instance)
        lent_until = known.lent_until if known else 0
        if report.lends and report.stamp <= now:
            lent_until = max(lent_until, report.stamp + LEND_S)
        if known is not None and report.order < known.order:
            self._daemons[report.instance] = known._replace(
                lent_until=lent_until
            )
            return False
        self._daemons[report.instance] = _Daemon(
            report.life,
            report.order,
            now,
            lent_until,
            report.divisor,
            report.leaves,
            known.answered_at if known else 0,
        )
        return known is not None and known.life != report.life

    def needs_answer(self, report: AllowanceReport, divisor: int) -> bool:
        """Returns whether a daemon is to be told its share, or that it has it.

        `divisor` is the share that it is to take.
        """
        daemon = self._daemons[report.instance]
        is_due = daemon.heard_at - daemon.answered_at > ANSWER_S
        if report.divisor == divisor and not is_due:
            return False
        self._daemons[report.instance] = daemon._replace(
            answered_at=daemon.heard_at
        )
        return True

    def has_votes(self, now: float) -> bool:
        """Returns whether a majority of the replicas lends its votes."""
        votes = sum(
            self._votes.get(member, 0) > now + LOOK_S
            for member in self._members
        )
        return votes * 2 > len(self._members)

    def measure_fraction(self, now: float) -> float:
        """Returns the part of every quota that was lent."""
        lent: float = sum(
            1 / divisor
            for instance, divisor in self._divisors.items()
            if self._lends(instance, now)
        )
        if self.has_votes(now):
            lent += 1 - sum_shares(self._divisors)
        return max(lent, 0)

    def list_known(self, now: float) -> dict[str, KnownDaemon]:
        """Returns the daemons that were heard of."""
        return {
            instance: KnownDaemon(
                daemon.divisor,
                daemon.leaves or now - daemon.heard_at > HOLD_S,
            )
            for instance, daemon in self._daemons.items()
        }

    def _lends(self, instance: str, now: float) -> bool:
        daemon = self._daemons.get(instance)
        return daemon is not None and daemon.lent_until > now + LOOK_S
