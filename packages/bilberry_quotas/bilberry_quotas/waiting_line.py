"""The requests of one organisation that wait for a token on one daemon.

Late ones, which can't be answered in time any more, come last: as long as there
are too few tokens, each is worth more to a request that is answered in time.
"""

from collections import deque
from typing import NamedTuple

from bilberry_core.allowance import TokenWaiter

#: Longest wait of a late request, in seconds.
LATE_WAIT_S = 0.1
#: Time after which an ask without an answer is repeated, in seconds.
REPEAT_S = 1.2


class NewNeeds(NamedTuple):
    """Requests that the leader was not asked for yet, and late ones."""

    wanted: int
    late: int


class _LateWaiter(NamedTuple):
    """A late request that waits since `since`, in seconds."""

    since: float
    waiter: TokenWaiter


class WaitingLine:
    """Requests in the order in which they came, and late ones behind them."""

    def __init__(self) -> None:
        """Starts empty."""
        self._timely: deque[TokenWaiter] = deque()
        self._late: deque[_LateWaiter] = deque()
        self._asked = NewNeeds(0, 0)
        self._asked_at: float = 0

    @property
    def has_new(self) -> bool:
        """Whether the leader was not asked for all of them."""
        return self._count_new() != (0, 0)

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return len(self._timely) + len(self._late)

    def add(self, waiter: TokenWaiter, now: float, *, is_late: bool) -> None:
        """Adds a request."""
        if is_late:
            self._late.append(_LateWaiter(now, waiter))
        else:
            self._timely.append(waiter)

    def pop_first(self) -> TokenWaiter:
        """Removes and returns the request that is served next."""
        if self._timely:
            (waiter,) = self.pop_timely(1)
            return waiter
        late = self._late.popleft()
        self._asked = self._asked._replace(late=max(self._asked.late - 1, 0))
        return late.waiter

    def pop_timely(self, count: int) -> list[TokenWaiter]:
        """Removes and returns requests that are not late, the first ones."""
        count = min(count, len(self._timely))
        wanted = max(self._asked.wanted - count, 0)
        self._asked = self._asked._replace(wanted=wanted)
        return [self._timely.popleft() for _ in range(count)]

    def pop_overdue(self, now: float) -> list[TokenWaiter]:
        """Removes and returns late requests that have waited long enough."""
        overdue = []
        while self._late and now - self._late[0].since > LATE_WAIT_S:
            overdue.append(self._late.popleft().waiter)
        left = min(self._asked.late, len(self._late))
        self._asked = self._asked._replace(late=left)
        return overdue

    def pop_all(self) -> list[TokenWaiter]:
        """Removes and returns all requests."""
        return [self.pop_first() for _ in range(len(self))]

    def leave(self, waiter: TokenWaiter) -> None:
        """Removes a request; what was asked for it may still come."""
        if waiter in self._timely:
            self._timely.remove(waiter)
        self._late = deque(one for one in self._late if one.waiter != waiter)
        self._asked = NewNeeds(
            min(self._asked.wanted, len(self._timely)),
            min(self._asked.late, len(self._late)),
        )

    def repeat(self) -> None:
        """Counts all as new, as the last asks may be lost."""
        self._asked = NewNeeds(0, 0)

    def collect_new(self, now: float) -> NewNeeds:
        """Returns what the leader is to be asked for, and notes that it is."""
        if any(self._asked) and now - self._asked_at > REPEAT_S:
            self.repeat()
        new = self._count_new()
        if any(new):
            self._asked_at = now
        self._asked = NewNeeds(len(self._timely), len(self._late))
        return new

    def _count_new(self) -> NewNeeds:
        return NewNeeds(
            max(len(self._timely) - self._asked.wanted, 0),
            max(len(self._late) - self._asked.late, 0),
        )
