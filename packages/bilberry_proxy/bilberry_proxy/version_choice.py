"""Chooses the version of a service that an attempt goes to.

This answers a roll-out: a share of the requests goes to a few upstreams of the
new version, and nothing else does. Only the first attempt of a request is
drawn; retries and calls that found no slot there go to the old version, so that
they don't raise the share.
"""

from collections.abc import Sequence

from bilberry_core.clock import RandomSource
from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.rollout import WHOLE_PPM, Rollout, RolloutState


def draw_new_version(rollout: Rollout | None, random: RandomSource) -> bool:
    """Returns whether the first attempt of a request gets the new version."""
    if rollout is None or rollout.state is not RolloutState.RUNNING:
        return False
    return random.random() * WHOLE_PPM < rollout.share_ppm


def select_version(
    endpoints: Sequence[Endpoint],
    rollout: Rollout | None,
    *,
    takes_new: bool,
) -> Sequence[Endpoint]:
    """Returns the endpoints that an attempt may go to.

    `takes_new` tells that the new version was drawn. Without a ready upstream
    of it the old one is used; never the reverse.
    """
    if rollout is None or rollout.state is RolloutState.COMPLETED:
        return endpoints
    new = [one for one in endpoints if one.version == rollout.version]
    if rollout.state is RolloutState.COMPLETING:
        return new
    if takes_new and rollout.state is RolloutState.RUNNING:
        judged = _limit_upstreams(new, rollout.upstreams)
        if judged:
            return judged
    return [one for one in endpoints if one.version != rollout.version]


def _limit_upstreams(
    endpoints: Sequence[Endpoint], count: int
) -> Sequence[Endpoint]:
    """Returns the first ready upstreams, the same ones on every proxy."""
    ready = [one for one in endpoints if one.state is EndpointState.READY]
    ready.sort(key=_rank)
    return ready[:count] if count else ready


def _rank(endpoint: Endpoint) -> tuple[int, str]:
    return endpoint.since_ms, endpoint.instance
