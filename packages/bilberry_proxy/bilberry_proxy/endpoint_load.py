"""What this proxy has seen of each endpoint, and the work it expects.

Health and load that upstreams report lag or mislead, so they are weighed
against what was seen: own calls outstanding, latencies and failures.
"""

from collections.abc import Sequence
from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import Load
from bilberry_core.policy import Priority

_INITIAL_LATENCY_US = 1000.0
#: Weight of the newest latency in the moving mean.
_LATENCY_WEIGHT = 0.2
_US_PER_S = 1_000_000
#: Time over which an endpoint that became ready grows to its full share.
SLOW_START_MS = 10_000
#: Share of its capacity with which an endpoint starts.
SLOW_START_SHARE = 0.1
#: Share of its slots from which on an endpoint counts as busy.
BUSY_SHARE = 0.8
#: Service times that differ by less than this factor count as alike.
SIMILAR_FACTOR = 1.3
#: Longest time for which calls are shed without asking, in seconds.
MAX_SHED_S = 0.25
_RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.DEFERRABLE: 2}
#: Time after which nothing is left of what was seen, in seconds.
DECAY_S = 5.0
#: Time after which nothing is left of a report of calls under way, in seconds.
REPORT_DECAY_S = 1.0


class EndpointLoad:
    """One endpoint as this proxy sees it."""

    __slots__ = (
        'ejected_until',
        'ejections',
        'failures',
        'latency_us',
        'outstanding',
        'reported_calls',
        'reported_at',
        'service_us',
        'seen_at',
        'shed_rank',
        'shed_until',
    )

    def __init__(self) -> None:
        """Starts with nothing seen."""
        self.outstanding = 0
        self.latency_us = _INITIAL_LATENCY_US
        self.reported_calls = 0
        self.seen_at: float = 0
        self.reported_at: float = 0
        self.service_us = 0
        self.shed_rank = 0
        self.shed_until: float = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until: float = 0

    def begin(self) -> None:
        """Counts a call that was sent."""
        self.outstanding += 1

    def end(self) -> None:
        """Counts a call that ended."""
        self.outstanding -= 1

    def may_be_called(self, now: float) -> bool:
        """Tells whether the endpoint is not ejected.

        One that comes back from an ejection gets one call at a time until it
        has answered, so that no second call waits there in vain.
        """
        if self.ejected_until > now:
            return False
        return not self.ejections or not self.outstanding

    def update(self, latency_s: float, load: Load, now: float) -> None:
        """Takes in the latency and the load that came with an answer."""
        newest_us = latency_s * _US_PER_S
        self.latency_us += (newest_us - self.latency_us) * _LATENCY_WEIGHT
        self.seen_at = now
        self._record_report(load, now)

    def record_refusal(self, load: Load, now: float) -> None:
        """Takes in the load that came with a refusal."""
        if load.slots:
            self._record_report(load, now)

    def record_shed(
        self,
        priority: Priority,
        retry_after_ms: int,
        now: float,
    ) -> None:
        """Takes in that the endpoint sheds calls of this priority."""
        rank = _RANKS[priority]
        if self.shed_until > now:
            rank = min(rank, self.shed_rank)
        self.shed_rank = rank
        self.shed_until = now + min(retry_after_ms / MS_PER_S, MAX_SHED_S)

    def estimate_latency_us(self, now: float) -> float:
        """Returns the latency expected, in microseconds.

        What was seen fades, so that an endpoint that was slow once is tried
        again.
        """
        excess_us = self.latency_us - _INITIAL_LATENCY_US
        return _INITIAL_LATENCY_US + excess_us * self._compute_decay(now)

    def estimate_work(self, now: float) -> float:
        """Returns the calls under way: own ones, or more where reported."""
        age_s = now - self.reported_at
        reported = self.reported_calls * max(0, 1 - age_s / REPORT_DECAY_S)
        return max(self.outstanding, reported)

    def _record_report(self, load: Load, now: float) -> None:
        self.reported_calls = load.outstanding + load.queued
        self.reported_at = now
        self.service_us = load.latency_us

    def _compute_decay(self, now: float) -> float:
        return max(0, 1 - (now - self.seen_at) / DECAY_S)


class Candidate(NamedTuple):
    """An endpoint that may be chosen, and what was seen of it."""

    endpoint: Endpoint
    load: EndpointLoad


def compute_shed_ms(
    candidates: Sequence[Candidate],
    priority: Priority,
    now: float,
) -> int:
    """Returns for how long every candidate sheds calls of this priority.

    0 where one does not, otherwise in milliseconds.
    """
    rank = _RANKS[priority]
    until = min(
        one.load.shed_until if one.load.shed_rank <= rank else 0
        for one in candidates
    )
    return max(0, int((until - now) * MS_PER_S))


def estimate_work_us(candidate: Candidate, now: float) -> float:
    """Returns the time that one more call would take, in microseconds."""
    endpoint, load = candidate
    work = load.estimate_work(now) + 1
    latency_us = load.estimate_latency_us(now)
    return latency_us * (1 + work / max(endpoint.slots, 1))


def is_busy(candidate: Candidate, now: float) -> bool:
    """Tells whether an endpoint has hardly a slot left."""
    endpoint, load = candidate
    return load.estimate_work(now) >= endpoint.slots * BUSY_SHARE


def is_fast_enough(
    candidate: Candidate,
    others: Sequence[Candidate],
    target_us: int,
) -> bool:
    """Tells whether an endpoint is as good as others farther away.

    It is where its answers mostly take less than the time wanted, or hardly
    longer than those of the fastest.
    """
    service_us = candidate.load.service_us
    if service_us <= target_us or not target_us:
        return True
    known = [one.load.service_us for one in others if one.load.service_us]
    return service_us <= min(known, default=0) * SIMILAR_FACTOR


def compute_slow_start_share(endpoint: Endpoint, wall_ms: int) -> float:
    """Returns the share of its calls that a cold endpoint may take."""
    age_ms = wall_ms - endpoint.since_ms
    if age_ms >= SLOW_START_MS:
        return 1
    return max(SLOW_START_SHARE, age_ms / SLOW_START_MS)
