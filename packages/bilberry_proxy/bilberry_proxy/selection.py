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

#: Maximum number of endpoints of a service that one proxy calls.
SUBSET_SIZE = 24
#: Maximum number of these in the proxy's own failure domain, since the whole
#: domain may fail at once.
SUBSET_NEAR = 18
_ALL_BUSY = 'all busy'


class SelectionContext(NamedTuple):
    """The proxy that makes a selection, the time and the target latency.

    `now` is monotonic time in seconds, `wall_ms` wall clock time in
    milliseconds and `target_us` the target latency in microseconds, 0 if
    there is none. `avoids_near` prefers the endpoints of other failure domains,
    since the proxy's own is full.
    """

    instance: str
    failure_domain: str
    now: float
    wall_ms: int
    target_us: int = 0
    avoids_near: bool = False


class Selection(NamedTuple):
    """The endpoint chosen, the number of candidates, and the reason.

    `has_other` tells whether another endpoint is ready and not tried,
    `all_tried` that every ready endpoint was tried, `is_near` that the
    endpoint is in the proxy's own failure domain, `is_busy` that it is not
    known to have a slot free.
    """

    endpoint: Endpoint
    candidates: int
    reason: str
    has_other: bool
    all_tried: bool = False
    is_near: bool = False
    is_busy: bool = False


def select_subset(
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
    near = [
        ranked_endpoint
        for ranked_endpoint in ranked
        if ranked_endpoint.failure_domain == failure_domain
    ]
    near = near[:SUBSET_NEAR]
    others = [
        ranked_endpoint
        for ranked_endpoint in ranked
        if ranked_endpoint not in near
    ]
    return (*near, *others[: SUBSET_SIZE - len(near)])


def select_endpoint(
    ready: Sequence[Candidate],
    tried: Sequence[str],
    context: SelectionContext,
    balancer: Balancer,
    random: RandomSource,
) -> Selection | None:
    """Returns the endpoint of the next attempt; None if none is ready.

    `tried` are the instances that earlier attempts were sent to.
    """
    if not ready:
        return None
    now = context.now
    reasons: list[str] = []
    remaining = _skip_tried(ready, tried, reasons)
    remaining = _skip_full_domain(remaining, context, reasons)
    if not _are_all_sound(remaining, context):
        remaining = _skip_ejected(remaining, now, reasons)
        remaining = _skip_shedding(remaining, now, reasons)
        remaining = _skip_cold(remaining, context.wall_ms, random, reasons)
    remaining = _prefer_near(remaining, context, reasons)
    chosen = balancer.pick(
        remaining,
        lambda candidate: estimate_work_us(candidate, now),
        random,
    )
    reasons.append(balancer.name)
    has_other = len(ready) > len(tried) + 1
    return Selection(
        chosen.endpoint,
        len(remaining),
        ', '.join(reasons),
        has_other,
        chosen.endpoint.instance in tried,
        chosen.endpoint.failure_domain == context.failure_domain,
        is_busy(chosen, now),
    )


def _skip_tried(
    candidates: Sequence[Candidate],
    tried: Sequence[str],
    reasons: list[str],
) -> Sequence[Candidate]:
    if not tried:
        return candidates
    remaining = [
        candidate
        for candidate in candidates
        if candidate.endpoint.instance not in tried
    ]
    if not remaining:
        reasons.append('all tried')
        return candidates
    reasons.append('not tried')
    return remaining


def _skip_full_domain(
    candidates: Sequence[Candidate],
    context: SelectionContext,
    reasons: list[str],
) -> Sequence[Candidate]:
    if not context.avoids_near:
        return candidates
    domain = context.failure_domain
    remaining = _narrow(
        candidates,
        lambda candidate: candidate.endpoint.failure_domain != domain,
        'far',
        reasons,
    )
    return remaining or candidates


def _are_all_sound(
    candidates: Sequence[Candidate],
    context: SelectionContext,
) -> bool:
    """Returns whether no candidate is ejected, sheds load or is cold.

    This is the usual case, and cheaper to see than by the steps that skip them.
    """
    warm_ms = context.wall_ms - SLOW_START_MS
    for endpoint, load in candidates:
        if load.ejections or load.ejected_until > context.now:
            return False
        if load.shed_until > context.now:
            return False
        if endpoint.since_ms > warm_ms:
            return False
    return True


def _skip_ejected(
    candidates: Sequence[Candidate],
    now: float,
    reasons: list[str],
) -> Sequence[Candidate]:
    remaining = _narrow(
        candidates,
        lambda candidate: candidate.load.may_be_called(now),
        'not ejected',
        reasons,
    )
    if not remaining:
        reasons.append('all ejected')
    return remaining or candidates


def _skip_shedding(
    candidates: Sequence[Candidate],
    now: float,
    reasons: list[str],
) -> Sequence[Candidate]:
    remaining = _narrow(
        candidates,
        lambda candidate: candidate.load.shed_until <= now,
        'not shedding',
        reasons,
    )
    return remaining or candidates


def _skip_cold(
    candidates: Sequence[Candidate],
    wall_ms: int,
    random: RandomSource,
    reasons: list[str],
) -> Sequence[Candidate]:
    remaining = _narrow(
        candidates,
        lambda candidate: (
            wall_ms - candidate.endpoint.since_ms >= SLOW_START_MS
            or random.random()
            < compute_slow_start_share(candidate.endpoint, wall_ms)
        ),
        'warm',
        reasons,
    )
    return remaining or candidates


def _narrow(
    candidates: Sequence[Candidate],
    is_kept: Callable[[Candidate], bool],
    reason: str,
    reasons: list[str],
) -> list[Candidate]:
    """Returns the candidates kept; adds `reason` if some, not all, are."""
    remaining = [candidate for candidate in candidates if is_kept(candidate)]
    if 0 < len(remaining) < len(candidates):
        reasons.append(reason)
    return remaining


def _prefer_near(
    candidates: Sequence[Candidate],
    context: SelectionContext,
    reasons: list[str],
) -> Sequence[Candidate]:
    near = _find_fast_near(candidates, context)
    if near:
        reasons.append('near')
        return near
    now = context.now
    free = [
        candidate for candidate in candidates if not is_busy(candidate, now)
    ]
    near = _keep_near(
        candidates if context.target_us else free,
        context,
        lambda candidate: is_fast_enough(candidate, free, context.target_us),
    )
    if near:
        reasons.append('near')
        return near
    if free:
        reasons.append('free')
        return free
    reasons.append(_ALL_BUSY)
    return _prefer_near_among_busy(candidates, context, reasons)


def _find_fast_near(
    candidates: Sequence[Candidate],
    context: SelectionContext,
) -> list[Candidate]:
    """Returns the near endpoints if all of them are within the target.

    Then it doesn't matter which endpoints are free, which costs most to know.
    """
    target_us = context.target_us
    if not target_us:
        return []
    near = _keep_near(candidates, context, lambda _candidate: True)
    if any(candidate.load.service_us > target_us for candidate in near):
        return []
    return near


def _prefer_near_among_busy(
    candidates: Sequence[Candidate],
    context: SelectionContext,
    reasons: list[str],
) -> Sequence[Candidate]:
    """Narrows busy endpoints to near ones with similar expected latency."""
    now = context.now
    least_us = min(estimate_work_us(candidate, now) for candidate in candidates)
    near = _keep_near(
        candidates,
        context,
        lambda candidate: (
            estimate_work_us(candidate, now) <= least_us * SIMILAR_FACTOR
        ),
    )
    if near:
        reasons.append('near')
    return near or candidates


def _keep_near(
    candidates: Sequence[Candidate],
    context: SelectionContext,
    is_good: Callable[[Candidate], bool],
) -> list[Candidate]:
    domain = context.failure_domain
    return [
        candidate
        for candidate in candidates
        if candidate.endpoint.failure_domain == domain and is_good(candidate)
    ]
