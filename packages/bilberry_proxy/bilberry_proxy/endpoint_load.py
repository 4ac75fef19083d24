"""Tracks the load and health of endpoints and estimates their latency.

Reports of upstreams can be stale or wrong, so they are combined with this
proxy's own observations: outstanding calls, latencies and failures.
"""

from collections.abc import Sequence
from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import Load
from bilberry_core.policy import Priority
from bilberry_core.upstream_notice import UpstreamNotice

_INITIAL_LATENCY_US = 1000.0
#: Weight of the newest latency in the exponential moving average.
_LATENCY_WEIGHT = 0.2
_US_PER_S = 1_000_000
#: Time in which a new endpoint's share of calls grows to the full share.
SLOW_START_MS = 10_000
#: Share of calls that an endpoint gets at the beginning of slow start.
SLOW_START_SHARE = 0.1
#: Share of used slots from which an endpoint counts as busy.
BUSY_SHARE = 0.8
#: Service times that differ by less than this factor count as equal.
SIMILAR_FACTOR = 1.3
#: Longest time for which this proxy sheds calls to an endpoint without
#: sending them, in seconds.
MAX_SHED_S = 0.25
_RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.DEFERRABLE: 2}
#: Time after which an observed latency has decayed to 0, in seconds.
DECAY_S = 5.0
#: Time after which a report of outstanding calls has decayed to 0, in seconds.
REPORT_DECAY_S = 1.0


class EndpointLoad:
    """The load and health of one endpoint, as this proxy observes them."""

    __slots__ = (
        'ejected_until',
        'ejections',
        'failures',
        'is_leaving',
        'latency_us',
        'outstanding',
        'rate_limit',
        'reported_calls',
        'reported_at',
        'return_at',
        'service_us',
        'seen_at',
        'shed_rank',
        'shed_until',
    )

    def __init__(self) -> None:
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
        self.is_leaving = False
        self.rate_limit: float | None = None
        self.return_at: float = 0

    def begin(self) -> None:
        """Increments the outstanding calls."""
        self.outstanding += 1

    def end(self) -> None:
        """Decrements the outstanding calls."""
        self.outstanding -= 1

    def may_be_called(self, now: float) -> bool:
        """Returns whether the endpoint may get a call at `now`, in seconds.

        An ejected endpoint may not. After an ejection it gets one call at a
        time until one succeeds, so that others don't wait at a failing one.
        """
        if self.ejected_until > now:
            return False
        return not self.ejections or not self.outstanding

    def update(self, latency_s: float, load: Load, now: float) -> None:
        """Records the latency of a response and the load reported with it."""
        newest_us = latency_s * _US_PER_S
        self.latency_us += (newest_us - self.latency_us) * _LATENCY_WEIGHT
        self.seen_at = now
        self._record_report(load, now)

    def record_refusal(self, load: Load, now: float) -> None:
        """Records the load reported with a refusal."""
        if load.slots:
            self._record_report(load, now)

    def record_shed(
        self,
        priority: Priority,
        retry_after_ms: int,
        now: float,
    ) -> None:
        """Records that the endpoint sheds calls of this priority."""
        rank = _RANKS[priority]
        if self.shed_until > now:
            rank = min(rank, self.shed_rank)
        self.shed_rank = rank
        self.return_at = now + retry_after_ms / MS_PER_S
        self.shed_until = now + min(retry_after_ms / MS_PER_S, MAX_SHED_S)

    def apply_notice(self, notice: UpstreamNotice | None) -> None:
        """Adopts what the upstream says of itself."""
        self.rate_limit = notice.rate_limit if notice else None
        self.is_leaving = notice is not None and notice.is_leaving

    def limit_slots(self, slots: int) -> float:
        """Returns the calls that the upstream runs at a time, at most.

        Its rate limit allows as many as it names times their mean duration.
        """
        if self.rate_limit is None:
            return slots
        duration_us = self.service_us or self.latency_us
        allowed = self.rate_limit * duration_us / _US_PER_S
        return min(slots, max(allowed, 1))

    def estimate_latency_us(self, now: float) -> float:
        """Returns the expected latency, in microseconds.

        Observed latencies decay, so that an endpoint that was slow once gets
        calls again.
        """
        excess_us = self.latency_us - _INITIAL_LATENCY_US
        return _INITIAL_LATENCY_US + excess_us * self._compute_decay(now)

    def estimate_work(self, now: float) -> float:
        """Returns the number of outstanding calls.

        It is the larger of this proxy's own number and the reported one. The
        reported number decays with its age.
        """
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
    """An endpoint that may be chosen, and its observed load."""

    endpoint: Endpoint
    load: EndpointLoad


def compute_shed_ms(
    candidates: Sequence[Candidate],
    priority: Priority,
    now: float,
) -> int:
    """Returns for how long all candidates shed this priority, in milliseconds.

    Returns 0 if at least one of them accepts calls.
    """
    rank = _RANKS[priority]
    until = min(
        candidate.load.shed_until if candidate.load.shed_rank <= rank else 0
        for candidate in candidates
    )
    return max(0, int((until - now) * MS_PER_S))


def suggest_return_ms(candidates: Sequence[Candidate], now: float) -> int:
    """Returns when the first limited candidate accepts calls, from now.

    In milliseconds; 0 if a candidate names no rate limit.
    """
    return_at = min(
        now if candidate.load.rate_limit is None else candidate.load.return_at
        for candidate in candidates
    )
    return max(0, int((return_at - now) * MS_PER_S))


def estimate_work_us(candidate: Candidate, now: float) -> float:
    """Returns the expected time of one more call, in microseconds."""
    endpoint, load = candidate
    work = load.estimate_work(now) + 1
    latency_us = load.estimate_latency_us(now)
    return latency_us * (1 + work / max(load.limit_slots(endpoint.slots), 1))


def is_busy(candidate: Candidate, now: float) -> bool:
    """Returns whether `BUSY_SHARE` or more of an endpoint's slots are used."""
    endpoint, load = candidate
    slots = load.limit_slots(endpoint.slots)
    return load.estimate_work(now) >= slots * BUSY_SHARE


def is_fast_enough(
    candidate: Candidate,
    others: Sequence[Candidate],
    target_us: int,
) -> bool:
    """Returns whether a near endpoint is fast enough to be preferred.

    It is if its service time is within the target latency, or similar to that
    of the fastest endpoint. `target_us` is in microseconds; 0 if there is no
    target.
    """
    service_us = candidate.load.service_us
    if service_us <= target_us or not target_us:
        return True
    known = [other.load.service_us for other in others if other.load.service_us]
    return service_us <= min(known, default=0) * SIMILAR_FACTOR


def compute_slow_start_share(endpoint: Endpoint, wall_ms: int) -> float:
    """Returns the share of calls that an endpoint may get in slow start."""
    age_ms = wall_ms - endpoint.since_ms
    if age_ms >= SLOW_START_MS:
        return 1
    return max(SLOW_START_SHARE, age_ms / SLOW_START_MS)
