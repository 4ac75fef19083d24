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
#: Longest time for which calls are shed without asking, in seconds.
MAX_SHED_S = 0.25
_RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.DEFERRABLE: 2}
#: Time after which nothing is left of what was seen, in seconds.
FADE_S = 5.0


class EndpointLoad:
    """One endpoint as this proxy sees it."""

    __slots__ = (
        'ejected_until',
        'ejections',
        'failures',
        'latency_us',
        'outstanding',
        'reported',
        'seen_at',
        'shed_rank',
        'shed_until',
    )

    def __init__(self) -> None:
        """Starts with nothing seen."""
        self.outstanding = 0
        self.latency_us = _INITIAL_LATENCY_US
        self.reported = 0
        self.seen_at: float = 0
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

    def learn(self, latency_s: float, load: Load, now: float) -> None:
        """Takes in the latency and the load that came with an answer."""
        newest_us = latency_s * _US_PER_S
        self.latency_us += (newest_us - self.latency_us) * _LATENCY_WEIGHT
        self.reported = load.outstanding + load.queued
        self.seen_at = now

    def note_shed(
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
        return _INITIAL_LATENCY_US + excess_us * self._fade(now)

    def estimate_work(self, now: float) -> float:
        """Returns the calls under way: own ones, or more where reported."""
        reported = self.reported * self._fade(now)
        return max(self.outstanding, reported)

    def _fade(self, now: float) -> float:
        return max(0, 1 - (now - self.seen_at) / FADE_S)


class Candidate(NamedTuple):
    """An endpoint that may be chosen, and what was seen of it."""

    endpoint: Endpoint
    load: EndpointLoad


def find_shed_ms(
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


def find_slow_start(endpoint: Endpoint, wall_ms: int) -> float:
    """Returns the share of its calls that a cold endpoint may take."""
    age_ms = wall_ms - endpoint.since_ms
    if age_ms >= SLOW_START_MS:
        return 1
    return max(SLOW_START_SHARE, age_ms / SLOW_START_MS)
