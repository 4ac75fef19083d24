"""Keeps the quota of one organisation, on the leader.

The tokens that may be granted, and those that were granted and may still be
spent, never exceed the capacity together, nor what is left of a window. So what
daemons spend in any window stays below rate times window plus burst, however
long they keep tokens.
"""

from collections import deque
from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.allowance import (
    AllowanceAsk,
    AllowanceGrant,
    AllowanceReport,
)
from bilberry_core.organisation import Organisation
from bilberry_core.quota import QuotaUse, compute_capacity
from bilberry_core.token_bucket import TokenBucket

from bilberry_quotas.account import Account
from bilberry_quotas.timing import TOKEN_S

#: Part of the tokens at hand that may be granted as spare ones at once.
SPARE_SHARE = 0.5
#: Part of the burst that is kept for requests that need a token now.
KEPT_SHARE = 0.25


class QueuedAsk(NamedTuple):
    """Tokens that a daemon waits for since `since`, in seconds."""

    report: AllowanceReport
    since: float
    wanted: int


class _Expiry(NamedTuple):
    """At `until` the first `total` tokens of an account have expired."""

    until: float
    account: Account
    total: int


class Ledger:
    """The tokens of one organisation."""

    def __init__(
        self, organisation: Organisation, window_s: float, now: float
    ) -> None:
        """Starts without tokens: what was spent before is not known."""
        self._organisation = organisation
        self._use = QuotaUse(organisation.name)
        self._now = now
        self._fraction: float = 0
        self._queue_s: float = 0
        self._bucket = TokenBucket(now, window_s)
        self._accounts: dict[str, Account] = {}
        self._expiries: deque[_Expiry] = deque()
        self._queue: deque[QueuedAsk] = deque()

    @property
    def use(self) -> QuotaUse:
        """What became of the tokens."""
        return self._use._replace(held=self._bucket.held)

    def configure(self, organisation: Organisation) -> None:
        """Adopts a new rate and burst."""
        self._organisation = organisation

    def advance(self, now: float, fraction: float, queue_s: float) -> None:
        """Adds the tokens since the last call.

        `fraction` is the part of the quota that the leader may grant from now
        on; until now it was the smaller of this and the last one. `queue_s` is
        the longest time for which an ask may wait for tokens, in seconds.
        """
        self._now = now
        self._expire()
        accrued = min(fraction, self._fraction)
        self._fraction = fraction
        self._queue_s = queue_s
        capacity = compute_capacity(self._organisation) * fraction
        # A quota of whole tokens gives one at least.
        rounding = max(fraction, 1 - capacity) if fraction else 0
        rate = self._organisation.rate * accrued
        self._bucket.advance(now, rate, capacity, rounding)

    def settle(self, instance: str, ask: AllowanceAsk) -> None:
        """Counts tokens that a daemon has spent or returns."""
        account = self._accounts.get(instance)
        if account is None:
            account = Account(ask.settled, ask.returned)
            self._accounts[instance] = account
        before = account.outstanding
        account.settle_counted(ask.settled)
        self._bucket.settle(before - account.outstanding)
        returned = account.collect_returned(ask.returned)
        self._bucket.put(returned)
        self._count(0, returned)

    def forget(self, instance: str) -> None:
        """Forgets what a process had that has ended."""
        account = self._accounts.pop(instance, None)
        if account is not None:
            self._settle(account, account.granted)
        self._queue = deque(
            ask for ask in self._queue if ask.report.instance != instance
        )

    def grant(
        self, report: AllowanceReport, ask: AllowanceAsk
    ) -> AllowanceGrant:
        """Grants what there is, queues a little, and refuses the rest."""
        granted = 0 if self._queue else self._bucket.take(ask.wanted)
        missing = ask.wanted - granted
        queued = min(missing, self._find_room())
        if queued:
            self._queue.append(QueuedAsk(report, self._now, queued))
        refused = missing - queued
        retry_after_s = self._defer(refused) if refused else 0
        if not missing:
            granted += self._take_spare(ask.spare)
        self._record(report.instance, granted)
        self._count(refused=refused)
        return AllowanceGrant(
            self._organisation.name,
            granted,
            refused,
            int(retry_after_s * MS_PER_S),
        )

    def pop_ready(self) -> list[QueuedAsk]:
        """Returns what may now be granted of the queued asks."""
        ready = []
        while self._queue:
            ask = self._queue[0]
            taken = self._bucket.take(ask.wanted)
            if not taken:
                break
            self._record(ask.report.instance, taken)
            ready.append(ask._replace(wanted=taken))
            self._queue.popleft()
            if taken < ask.wanted:
                left = ask._replace(wanted=ask.wanted - taken)
                self._queue.appendleft(left)
        return ready

    def _take_spare(self, spare: int) -> int:
        kept = compute_capacity(self._organisation) * KEPT_SHARE
        available = self._bucket.available
        most = min(available * SPARE_SHARE, available - kept)
        return self._bucket.take(max(min(spare, int(most)), 0))

    def _find_room(self) -> int:
        """Returns how many more tokens may be waited for."""
        longest = self._organisation.rate * self._queue_s
        return max(int(longest) - self._count_queued(), 0)

    def _defer(self, refused: int) -> float:
        rate = self._organisation.rate
        return self._bucket.defer(refused, rate, self._count_queued())

    def _count_queued(self) -> int:
        return sum(ask.wanted for ask in self._queue)

    def _record(self, instance: str, granted: int) -> None:
        if not granted:
            return
        account = self._accounts.setdefault(instance, Account())
        account.granted += granted
        self._count(granted)
        self._expiries.append(
            _Expiry(self._now + TOKEN_S, account, account.granted)
        )

    def _count(
        self, granted: int = 0, returned: int = 0, refused: int = 0
    ) -> None:
        use = self._use
        self._use = use._replace(
            granted=use.granted + granted,
            returned=use.returned + returned,
            refused=use.refused + refused,
        )

    def _expire(self) -> None:
        while self._expiries and self._expiries[0].until <= self._now:
            expiry = self._expiries.popleft()
            self._settle(expiry.account, expiry.total)

    def _settle(self, account: Account, total: int) -> None:
        before = account.outstanding
        account.settle(total)
        self._bucket.settle(before - account.outstanding)
