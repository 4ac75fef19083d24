"""Keeps the tokens of one organisation on one daemon, and who waits for them.

Tokens are spent in the order in which they were granted, each before its time
is over.
"""

from collections import deque

from bilberry_core.allowance import TokenRefusal
from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.allowance import AllowanceAsk
from bilberry_core.organisation import Organisation

from bilberry_quotas.own_share import OwnShare
from bilberry_quotas.waiting_line import WaitingLine

#: Time for which tokens are held ready for usual demand, in seconds.
SPARE_S = 0.2
#: Least interval between two asks for spare tokens, in seconds.
SPARE_INTERVAL_S = 0.05
#: Time after which a late caller may return, in milliseconds, until the leader
#: names one.
USUAL_RETURN_MS = 500
#: Intervals after a refusal in which the leader is told of used tokens soon,
#: and no tokens are held ready.
SHORT_INTERVALS = 5
#: Weight of the newest interval in the average demand.
DEMAND_WEIGHT = 0.5


class Purse:
    """The tokens of one organisation, and the requests that wait for one."""

    def __init__(
        self, organisation: Organisation, window_s: float, now: float
    ) -> None:
        """Starts without tokens; `since` is when."""
        self.organisation = organisation
        self.since = now
        self.own = OwnShare(window_s, now)
        self._short_for = 0
        self.line = WaitingLine()
        self._tokens: deque[tuple[float, int]] = deque()
        self._settled = 0
        self._returned = 0
        self._reported = (0, 0)
        self._come_back_ms = USUAL_RETURN_MS
        self._spare_at = now
        self._demand: float = 0
        self._needed = 0

    @property
    def held(self) -> int:
        """Tokens at hand."""
        return sum(count for _, count in self._tokens)

    @property
    def has_news(self) -> bool:
        """Whether the leader is to be told of this one soon.

        Requests wait that it was not asked for yet; or it had refused some, and
        tokens are used that it doesn't know of.
        """
        if (
            self._short_for
            and (self._settled, self._returned) != self._reported
        ):
            return True
        return self.line.has_new

    def put(self, count: int, until: float) -> None:
        """Adds granted tokens that may be spent until `until`."""
        if count:
            self._tokens.append((until, count))

    def refuse(self, refused: int, retry_after_ms: int) -> None:
        """Refuses those for whom there are no tokens.

        The times at which they may return are spread.
        """
        if not refused:
            return
        self._short_for = SHORT_INTERVALS
        self._come_back_ms = max(retry_after_ms, 1)
        spacing_ms = MS_PER_S / (self.organisation.rate or MS_PER_S)
        for index, waiter in enumerate(self.line.pop_timely(refused)):
            after_ms = self._come_back_ms + int(index * spacing_ms)
            waiter.on_token_refused(TokenRefusal(True, after_ms))

    def refuse_overdue(self, now: float) -> None:
        """Refuses late requests that were not granted a token in time."""
        for waiter in self.line.pop_overdue(now):
            waiter.on_token_refused(TokenRefusal(True, self._come_back_ms))

    def take(self, now: float) -> bool:
        """Spends a token; False if there is none."""
        self.expire(now)
        if not self._tokens:
            return False
        until, count = self._tokens.popleft()
        if count > 1:
            self._tokens.appendleft((until, count - 1))
        self._settled += 1
        return True

    def count_need(self) -> None:
        """Counts a request that needs a token."""
        self._needed += 1

    def measure_demand(self, seconds: float) -> None:
        """Averages the need since the last call, `seconds` ago."""
        self._short_for = max(self._short_for - 1, 0)
        newest = self._needed / seconds
        self._needed = 0
        self._demand += (newest - self._demand) * DEMAND_WEIGHT

    def expire(self, now: float) -> None:
        """Returns the tokens whose time is over."""
        while self._tokens and self._tokens[0][0] <= now:
            _until, count = self._tokens.popleft()
            self._settled += count
            self._returned += count

    def give_back(self) -> None:
        """Returns a token that was spent for nothing."""
        self._returned += 1

    def restart_term(self) -> None:
        """Drops the tokens of the leader before, and asks the next one."""
        self._tokens.clear()
        self._settled = 0
        self._returned = 0
        self._reported = (0, 0)
        self.line.repeat()

    def build_ask(self, now: float) -> AllowanceAsk | None:
        """Returns what is to be asked for and told; None if nothing."""
        wanted, late = self.line.collect_new(now)
        # Late requests get what the others leave, like spare tokens.
        spare = max(late, self._find_spare(now))
        totals = (self._settled, self._returned)
        if not wanted and not spare and totals == self._reported:
            return None
        self._reported = totals
        return AllowanceAsk(self.organisation.name, wanted, spare, *totals)

    def _find_spare(self, now: float) -> int:
        if self._short_for or now - self._spare_at < SPARE_INTERVAL_S:
            return 0
        spare = int(self._demand * SPARE_S) - self.held
        if spare <= 0:
            return 0
        self._spare_at = now
        return spare
