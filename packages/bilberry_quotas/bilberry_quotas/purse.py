"""Keeps the tokens of one organisation on one daemon, and who waits for them.

Tokens are spent in the order in which they were granted, each before its time
is over.
"""

from collections import deque

from bilberry_core.allowance import TokenWaiter
from bilberry_core.messages.allowance import AllowanceAsk
from bilberry_core.organisation import Organisation

from bilberry_quotas.own_share import OwnShare

#: Time for which tokens are held ready for usual demand, in seconds.
SPARE_S = 0.2
#: Least interval between two asks for spare tokens, in seconds.
SPARE_INTERVAL_S = 0.05
#: Time after which an ask without an answer is repeated, in seconds.
REPEAT_S = 1.2
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
        """Starts without tokens."""
        self.organisation = organisation
        self.own = OwnShare(window_s, now)
        self._short_for = 0
        self.waiting: deque[TokenWaiter] = deque()
        self._tokens: deque[tuple[float, int]] = deque()
        self._settled = 0
        self._returned = 0
        self._reported = (0, 0)
        self._asked = 0
        self._asked_at = now
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
        return len(self.waiting) > self._asked

    def put(self, count: int, until: float) -> None:
        """Adds granted tokens that may be spent until `until`."""
        if count:
            self._tokens.append((until, count))

    def pop_refused(self, count: int) -> list[TokenWaiter]:
        """Removes and returns the requests for which there are no tokens."""
        if count:
            self._short_for = SHORT_INTERVALS
        return self.pop_waiting(count)

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
        self._asked = 0

    def repeat(self) -> None:
        """Asks again for all who wait, as the last asks may be lost."""
        self._asked = 0

    def pop_waiting(self, count: int) -> list[TokenWaiter]:
        """Removes and returns the requests that have waited longest."""
        count = min(count, len(self.waiting))
        self._asked = max(self._asked - count, 0)
        return [self.waiting.popleft() for _ in range(count)]

    def leave(self, waiter: TokenWaiter) -> None:
        """Removes a request that waits; what it asked for may still come."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)
            self._asked = min(self._asked, len(self.waiting))

    def build_ask(self, now: float) -> AllowanceAsk | None:
        """Returns what is to be asked for and told; None if nothing."""
        if self._asked and now - self._asked_at > REPEAT_S:
            self.repeat()
        wanted = len(self.waiting) - self._asked
        spare = self._find_spare(now)
        totals = (self._settled, self._returned)
        if not wanted and not spare and totals == self._reported:
            return None
        if wanted:
            self._asked_at = now
        self._asked += wanted
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
