"""Plans the steps of a roll-out: which share the new version gets next.

This answers a version that may turn out bad at any time before its deadline:
until then it must not get more than a bounded share of the service's requests.
So the share stays small while it is judged. A few of its upstreams get as many
requests each as all will, for a short time, so that a fault that shows under
load shows while few requests meet it. All requests move as late as the bound
allows and as early as the deadline demands; a version that was not judged good
by then goes back.
"""

from typing import NamedTuple

from bilberry_core.rollout import (
    WHOLE_PPM,
    Rollout,
    RolloutState,
    RolloutStep,
)
from bilberry_core.settings import RolloutSettings

from bilberry_rollouts.judgement import Verdict

_PERCENT = 100
#: Share of the exposure bound that is planned with; the rest covers requests
#: on their way and rates that fall.
PLANNED_SHARE = 0.83
#: Share of the planned exposure that may be used before all requests move.
EARLY_SHARE = 0.4
#: Responses of the first step, the time in which it is to have them, in
#: seconds, and the bounds of its share.
FIRST_ANSWERS = 10
FIRST_S = 1.5
MIN_FIRST_SHARE = 0.02
MAX_FIRST_SHARE = 0.1
#: New upstreams that get requests while the version is judged.
JUDGED_UPSTREAMS = 3
#: Responses under the load that every new upstream will have.
LOADED_ANSWERS = 80
#: Largest share of that step.
MAX_LOADED_SHARE = 0.25
#: Bounds of the share between that step and the move of all requests.
MIN_HELD_SHARE = 0.005
MAX_HELD_SHARE = 0.05
#: Time from a response until a decision on it is in force, in seconds.
REACTION_S = 1.0
#: Time from a decision until most proxies follow it, in seconds.
SPREAD_S = 0.3
#: Slots that the new version must have, as a share of the old version's.
MIN_CAPACITY_SHARE = 0.7
#: Shares that differ by less than this factor aren't changed.
_SAME_FACTOR = 1.3
#: Shortest time for which all requests go to the new version before the old
#: one is given up, in seconds.
MIN_COMPLETING_S = 0.4


class RolloutView(NamedTuple):
    """What the leader knows of an open roll-out.

    `remaining_s` is the time to the deadline, `state_s` that since the newest
    step. `requests` and `exposed` count responses since the order, of both
    versions and of the new one, and `rate` is that of both, a second.
    `new_upstreams`, `new_slots` and `old_slots` are those that are ready.
    `is_settled` tells that every retired upstream is idle.
    """

    rollout: Rollout
    verdict: Verdict
    remaining_s: float
    state_s: float
    requests: int
    exposed: int
    rate: float
    new_upstreams: int
    new_slots: int
    old_slots: int
    is_settled: bool


def decide_step(
    view: RolloutView,
    settings: RolloutSettings,
) -> RolloutStep | None:
    """Returns the next step of a roll-out, or None to wait."""
    if view.verdict is Verdict.BAD:
        return _roll_back(view, 'the new version is bad')
    if view.rollout.state is RolloutState.COMPLETING:
        return _decide_completion(view)
    if _may_move_all(view, settings):
        return _build_step(
            view,
            RolloutState.COMPLETING,
            1,
            0,
            'the new version is good',
        )
    if view.remaining_s <= 0:
        return _roll_back(view, _explain_missing(view))
    return _plan_share(view, settings)


def compute_exposure_bound(
    view: RolloutView, settings: RolloutSettings
) -> float:
    """Returns the requests that the new version may get by the deadline."""
    expected = view.requests + view.rate * max(view.remaining_s, 0)
    share = settings.exposed_percent / _PERCENT
    return (expected * share + settings.exposed_slack) * PLANNED_SHARE


def _decide_completion(view: RolloutView) -> RolloutStep | None:
    if not view.is_settled or view.state_s < MIN_COMPLETING_S:
        return None
    if view.verdict is not Verdict.GOOD:
        # What speaks against it now is soon decided at this load.
        return None
    return _build_step(
        view, RolloutState.COMPLETED, 1, 0, 'the old version is idle'
    )


def _may_move_all(view: RolloutView, settings: RolloutSettings) -> bool:
    if view.verdict is not Verdict.GOOD or not _has_capacity(view):
        return False
    left = compute_exposure_bound(view, settings) - view.exposed
    return view.rate * (view.remaining_s - SPREAD_S) <= left


def _has_capacity(view: RolloutView) -> bool:
    needed = view.old_slots * MIN_CAPACITY_SHARE
    return view.new_upstreams > 0 and view.new_slots >= needed


def _explain_missing(view: RolloutView) -> str:
    if not _has_capacity(view):
        return 'too few new upstreams were ready by the deadline'
    return 'the new version was not judged good by the deadline'


def _plan_share(
    view: RolloutView,
    settings: RolloutSettings,
) -> RolloutStep | None:
    share = _find_share(view, settings) if view.new_upstreams else 0
    upstreams = min(JUDGED_UPSTREAMS, view.new_upstreams)
    current = view.rollout.share_ppm / WHOLE_PPM
    is_same = current / _SAME_FACTOR <= share <= current * _SAME_FACTOR
    if is_same and upstreams == view.rollout.upstreams:
        return None
    return _build_step(
        view,
        RolloutState.RUNNING,
        share,
        upstreams,
        'the new version is judged',
    )


def _find_share(view: RolloutView, settings: RolloutSettings) -> float:
    early = compute_exposure_bound(view, settings) * EARLY_SHARE
    left = early - view.exposed
    if view.exposed < FIRST_ANSWERS:
        wanted = FIRST_ANSWERS / max(view.rate * FIRST_S, 1)
        return min(max(wanted, MIN_FIRST_SHARE), MAX_FIRST_SHARE)
    loaded = min(JUDGED_UPSTREAMS / view.new_upstreams, MAX_LOADED_SHARE)
    if view.exposed < FIRST_ANSWERS + LOADED_ANSWERS:
        if loaded * view.rate * REACTION_S <= left:
            return loaded
    held = left / max(view.rate * view.remaining_s, 1)
    return min(max(held, MIN_HELD_SHARE), MAX_HELD_SHARE)


def _roll_back(view: RolloutView, reason: str) -> RolloutStep:
    return _build_step(view, RolloutState.ROLLED_BACK, 0, 0, reason)


def _build_step(
    view: RolloutView,
    state: RolloutState,
    share: float,
    upstreams: int,
    reason: str,
) -> RolloutStep:
    rollout = view.rollout
    return RolloutStep(
        rollout.service,
        rollout.number,
        state,
        int(share * WHOLE_PPM),
        upstreams,
        reason,
    )
