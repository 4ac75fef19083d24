"""Selects the endpoints at which a request waits for a slot.

This handles a service without a free slot near the proxy: the request takes a
place in the queues of several endpoints (`slot_search`).
"""

from collections.abc import Sequence
from functools import partial

from bilberry_core.clock import RandomSource

from bilberry_proxy.balancers.least_work import LeastWorkBalancer
from bilberry_proxy.endpoint_load import Candidate, estimate_work_us
from bilberry_proxy.selection import Selection, SelectionContext


def select_several(
    ready: Sequence[Candidate],
    tried: Sequence[str],
    context: SelectionContext,
    random: RandomSource,
    count: int,
) -> tuple[Selection, ...]:
    """Returns up to `count` endpoints at which a request may wait for a slot.

    They are near ones, or far ones if `context.avoids_near` is set. Of near
    ones, that beside the proxy comes first, as asking it takes no message. Each
    other one is the one of two random ones with less expected work. `tried` are
    instances that attempts were sent to.
    """
    remaining = [
        candidate
        for candidate in ready
        if candidate.endpoint.instance not in tried
        and _is_far(candidate, context) is context.avoids_near
        and candidate.load.may_be_called(context.now)
    ]
    balancer = LeastWorkBalancer()
    estimate = partial(estimate_work_us, now=context.now)
    selections: list[Selection] = []
    while remaining and len(selections) < count:
        chosen = _find_own(remaining, context) or balancer.pick(
            remaining, estimate, random
        )
        remaining.remove(chosen)
        selections.append(
            Selection(
                chosen.endpoint,
                len(remaining) + 1,
                'first slot',
                len(ready) > len(tried) + 1,
                is_near=not context.avoids_near,
                is_busy=True,
            ),
        )
    return tuple(selections)


def select_own(
    ready: Sequence[Candidate],
    tried: Sequence[str],
    instance: str,
    now: float,
) -> Selection | None:
    """Returns the endpoint beside the proxy `instance`, if it may be called.

    `tried` are instances that attempts were sent to.
    """
    for candidate in ready:
        endpoint, load = candidate
        if endpoint.instance == instance:
            if instance in tried or not load.may_be_called(now):
                return None
            return Selection(
                endpoint,
                1,
                'own',
                len(ready) > len(tried) + 1,
                is_near=True,
            )
    return None


def _find_own(
    candidates: Sequence[Candidate],
    context: SelectionContext,
) -> Candidate | None:
    for candidate in candidates:
        if candidate.endpoint.instance == context.instance:
            return candidate
    return None


def _is_far(candidate: Candidate, context: SelectionContext) -> bool:
    return candidate.endpoint.failure_domain != context.failure_domain
