"""Admits calls with long responses by what the link of this daemon carries.

This handles more long responses than the link carries. A slot is free as soon
as the upstream has responded, while the response waits for the link. So a call
is accepted if its response can begin to leave soon; otherwise it waits for that
as for a slot, or is refused at once if the wait is too long. The rate of the
link is measured while responses fill it, and nothing is refused before.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.call import CallStart, SlotRequest
from bilberry_core.metric import Metrics, NullMetrics
from bilberry_core.policy import Priority
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.admission import bound_retry_after_ms
from bilberry_proxy.rank import BY_RANK, rank_request
from bilberry_proxy.served_sizes import ServedSizes

#: Time that the link needs for what is ahead of a call that does not wait, in
#: seconds: the upstream responds within about that time.
LEAD_S = 0.25
#: Calls that may wait for the link.
MAX_WAITING = 64

CallKey = tuple[Any, int]


class Link(Protocol):
    """The link that the responses cross."""

    now: Callable[[], float]

    @property
    def backlog(self) -> int:
        """The bytes of long responses that have not left the link."""

    @property
    def rate(self) -> float | None:
        """The rate of the link in bytes a second; None if not known."""


class WaitingRequest(NamedTuple):
    """A request for a slot that waits for the link.

    `admit` is called with the request once there is room, `refuse` with a
    failure at `expires_at`, monotonic time in seconds.
    """

    key: CallKey
    request: SlotRequest
    expires_at: float
    admit: Callable[[SlotRequest], None]
    refuse: Callable[[Failure], None]


class LinkAdmission:
    """The calls whose responses are promised the link, or wait for it."""

    def __init__(self, link: Link, metrics: Metrics = NullMetrics()) -> None:
        """Starts without calls."""
        self._link = link
        self._metrics = metrics
        self.sizes = ServedSizes()
        self._promised: dict[CallKey, int] = {}
        self._waiting: list[WaitingRequest] = []

    def __len__(self) -> int:
        """Returns how many requests wait for the link."""
        return len(self._waiting)

    @property
    def promised(self) -> int:
        """The expected bytes of responses that have not begun."""
        return sum(self._promised.values())

    def admit(self, key: CallKey, start: CallStart) -> Failure | None:
        """Promises the link to a call, or returns its refusal."""
        size = self.sizes.estimate(start)
        if not is_limited(start.priority, size):
            return None
        excess_s = self._estimate_lateness_s(key, size, start.deadline_ms)
        if key not in self._promised:
            wait_s = self._estimate_wait_s()
            excess_s = max(excess_s, wait_s - start.max_wait_ms / MS_PER_S)
        if excess_s > 0:
            self.release(key)
            return self._refuse(excess_s)
        self._promised[key] = size
        return None

    def release(self, key: CallKey) -> None:
        """Ends the promise to a call: its response began, or none comes."""
        self._promised.pop(key, None)
        self._waiting = [one for one in self._waiting if one.key != key]

    def request(self, waiting: WaitingRequest) -> None:
        """Admits a request for a slot, lets it wait, or refuses it."""
        request = waiting.request
        excess_s = self._estimate_wait_s() - request.max_wait_ms / MS_PER_S
        if not is_limited(request.priority, request.response_bytes):
            waiting.admit(request)
        elif excess_s > 0 or len(self._waiting) >= MAX_WAITING:
            waiting.refuse(self._refuse(max(excess_s, 0)))
        else:
            self._waiting.append(waiting)
            self._waiting.sort(
                key=lambda one: BY_RANK.index(rank_request(one.request))
            )
            self.advance()

    def advance(self) -> None:
        """Admits what the link has room for, and refuses what has expired."""
        while self._waiting and not self._estimate_wait_s():
            self._admit(self._waiting.pop(0))
        now = self._link.now()
        expired = [one for one in self._waiting if one.expires_at <= now]
        for waiting in expired:
            self._waiting.remove(waiting)
            waiting.refuse(self._refuse(self._estimate_wait_s()))

    def stop(self) -> None:
        """Lets nothing wait any more: the daemon accepts no new calls.

        The target refuses what is passed on to it.
        """
        while self._waiting:
            waiting = self._waiting.pop(0)
            waiting.admit(waiting.request)

    def _admit(self, waiting: WaitingRequest) -> None:
        request = waiting.request
        self._promised[waiting.key] = request.response_bytes
        left_s = max(waiting.expires_at - self._link.now(), 0)
        waiting.admit(request._replace(max_wait_ms=int(left_s * MS_PER_S)))

    def _refuse(self, excess_s: float) -> Failure:
        """Counts and returns a refusal; there is room after `excess_s`."""
        self._metrics.incr('link.refused')
        return Failure(
            Verdict.NOT_RUN,
            FailureCode.NO_FREE_SLOT,
            'the link has no room for the response in time',
            bound_retry_after_ms(excess_s),
        )

    def _estimate_lateness_s(
        self, key: CallKey, size: int, deadline_ms: int
    ) -> float:
        """Returns by how much a response of `size` bytes would be late.

        In seconds; at most 0 if it can be delivered within `deadline_ms`.
        """
        rate = self._link.rate
        if rate is None:
            return 0
        promised = self.promised - self._promised.get(key, 0)
        ahead = self._link.backlog + promised
        return (ahead + size) / rate - deadline_ms / MS_PER_S

    def _estimate_wait_s(self) -> float:
        """Returns how long a new call would wait for the link, in seconds."""
        rate = self._link.rate
        if rate is None:
            return 0
        ahead_s = (self._link.backlog + self.promised) / rate
        return max(ahead_s - LEAD_S, 0)


def is_limited(priority: Priority, response_bytes: int) -> bool:
    """Returns whether the link limits a call with a response of this size.

    Urgent calls belong to requests under way, and what was done for them would
    be lost.
    """
    return priority is not Priority.URGENT and response_bytes > 0
