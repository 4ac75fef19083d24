"""Selects the endpoint of one attempt.

Each step filters the endpoints and leaves at least one: ready, not tried yet,
not ejected, not shedding, warm, near and not busy. A balancer picks one of the
remaining endpoints.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from bilberry_core.clock import RandomSource
from bilberry_core.endpoint import Endpoint, EndpointState
from xxhash import xxh3_64_intdigest

from bilberry_proxy.balancers.base import Balancer
from bilberry_proxy.endpoint_load import (
    SIMILAR_FACTOR,
    SLOW_START_MS,
    Candidate,
    compute_slow_start_share,
    estimate_work_us,
    is_busy,
    is_fast_enough,
)

#: Most endpoints of a service that one proxy calls.
SUBSET_SIZE = 24
#: Most of those that are in the proxy's own failure domain, since all of that
#: domain may fail at once.
SUBSET_NEAR = 18
_ALL_BUSY = 'all busy'


class Viewpoint(NamedTuple):
    """The proxy that makes a selection, the time and the target latency.

    `now` is monotonic time in seconds, `wall_ms` wall clock time in
    milliseconds and `target_us` the target latency in microseconds, 0 if
    there is none.
    """

    instance: str
    failure_domain: str
    now: float
    wall_ms: int
    target_us: int = 0


class Selection(NamedTuple):
    """The endpoint chosen, the number of candidates, and the reason.

    `has_other` tells whether another endpoint is ready and not tried,
    `all_tried` that every ready endpoint was tried, `is_near` that the
    endpoint is in the proxy's own failure domain, `is_busy` that no endpoint
    is known to have a slot free.
    """

    endpoint: Endpoint
    candidates: int
    reason: str
    has_other: bool
    all_tried: bool = False
    is_near: bool = False
    is_busy: bool = False


def select_ready(
    endpoints: Sequence[Endpoint],
    instance: str,
    failure_domain: str,
) -> tuple[Endpoint, ...]:
    """Returns the endpoints of a route that this proxy may call.

    If many endpoints are ready, a proxy calls a subset of them, so that no
    upstream is called by the whole fleet. The subset changes little when
    endpoints are added or removed. Most of it is in the proxy's own failure
    domain, if that has enough endpoints.
    """
    ready = tuple(
        endpoint
        for endpoint in endpoints
        if endpoint.state is EndpointState.READY
    )
    if len(ready) <= SUBSET_SIZE:
        return ready

    def rank(endpoint: Endpoint) -> int:
        return xxh3_64_intdigest(f'{instance}\n{endpoint.instance}'.encode())

    ranked = sorted(ready, key=rank)
    near = [one for one in ranked if one.failure_domain == failure_domain]
    near = near[:SUBSET_NEAR]
    others = [one for one in ranked if one not in near]
    return (*near, *others[: SUBSET_SIZE - len(near)])


def select_endpoint(
    ready: Sequence[Candidate],
    tried: Sequence[str],
    viewpoint: Viewpoint,
    balancer: Balancer,
    random: RandomSource,
) -> Selection | None:
    """Returns the endpoint of the next attempt; None if none is ready.

    `tried` are the instances that earlier attempts were sent to.
    """
    if not ready:
        return None
    now = viewpoint.now
    reasons: list[str] = []
    left = _skip_tried(ready, tried, reasons)
    left = _skip_ejected(left, now, reasons)
    left = _skip_shedding(left, now, reasons)
    left = _skip_cold(left, viewpoint.wall_ms, random, reasons)
    left = _prefer_near(left, viewpoint, reasons)
    chosen = balancer.pick(
        left,
        lambda one: estimate_work_us(one, now),
        random,
    )
    reasons.append(balancer.name)
    has_other = len(ready) > len(tried) + 1
    return Selection(
        chosen.endpoint,
        len(left),
        ', '.join(reasons),
        has_other,
        chosen.endpoint.instance in tried,
        chosen.endpoint.failure_domain == viewpoint.failure_domain,
        _ALL_BUSY in reasons,
    )


def _skip_tried(
    candidates: Sequence[Candidate],
    tried: Sequence[str],
    reasons: list[str],
) -> Sequence[Candidate]:
    if not tried:
        return candidates
    left = [one for one in candidates if one.endpoint.instance not in tried]
    if not left:
        reasons.append('all tried')
        return candidates
    reasons.append('not tried')
    return left


def _skip_ejected(
    candidates: Sequence[Candidate],
    now: float,
    reasons: list[str],
) -> Sequence[Candidate]:
    left = [one for one in candidates if one.load.may_be_called(now)]
    if not left:
        reasons.append('all ejected')
        return candidates
    if len(left) < len(candidates):
        reasons.append('not ejected')
    return left


def _skip_shedding(
    candidates: Sequence[Candidate],
    now: float,
    reasons: list[str],
) -> Sequence[Candidate]:
    left = [one for one in candidates if one.load.shed_until <= now]
    if left and len(left) < len(candidates):
        reasons.append('not shedding')
        return left
    return candidates


def _skip_cold(
    candidates: Sequence[Candidate],
    wall_ms: int,
    random: RandomSource,
    reasons: list[str],
) -> Sequence[Candidate]:
    left = [
        one
        for one in candidates
        if wall_ms - one.endpoint.since_ms >= SLOW_START_MS
        or random.random() < compute_slow_start_share(one.endpoint, wall_ms)
    ]
    if left and len(left) < len(candidates):
        reasons.append('warm')
        return left
    return candidates


def _prefer_near(
    candidates: Sequence[Candidate],
    viewpoint: Viewpoint,
    reasons: list[str],
) -> Sequence[Candidate]:
    now = viewpoint.now
    free = [one for one in candidates if not is_busy(one, now)]
    near = _keep_near(
        candidates if viewpoint.target_us else free,
        viewpoint,
        lambda one: is_fast_enough(one, free, viewpoint.target_us),
    )
    if near:
        reasons.append('near')
        return near
    if free:
        reasons.append('free')
        return free
    reasons.append(_ALL_BUSY)
    return _prefer_near_work(candidates, viewpoint, reasons)


def _prefer_near_work(
    candidates: Sequence[Candidate],
    viewpoint: Viewpoint,
    reasons: list[str],
) -> Sequence[Candidate]:
    """Narrows busy endpoints to near ones with similar expected latency."""
    now = viewpoint.now
    least_us = min(estimate_work_us(one, now) for one in candidates)
    near = _keep_near(
        candidates,
        viewpoint,
        lambda one: estimate_work_us(one, now) <= least_us * SIMILAR_FACTOR,
    )
    if near:
        reasons.append('near')
    return near or candidates


def _keep_near(
    candidates: Sequence[Candidate],
    viewpoint: Viewpoint,
    is_good: Callable[[Candidate], bool],
) -> list[Candidate]:
    domain = viewpoint.failure_domain
    return [
        one
        for one in candidates
        if one.endpoint.failure_domain == domain and is_good(one)
    ]
