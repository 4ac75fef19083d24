"""Plays a roll-out through its decisions, without a network.

Requests arrive at a rate, each version answers them, and reports reach the
leader with a delay, as do its steps the proxies.
"""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from bilberry_core.rollout import (
    WHOLE_PPM,
    Rollout,
    RolloutReport,
    RolloutState,
    RouteEvidence,
)
from bilberry_core.settings import RolloutSettings
from bilberry_rollouts.ledger import RolloutLedger
from bilberry_rollouts.planning import RolloutView, decide_step

TICK_S = 0.1
#: Time until a report reaches the leader, and a step the proxies.
REPORT_DELAY_S = 0.3
STEP_DELAY_S = 0.3
SERVICE = 'callouts'
NEW = 'v2'
OLD = 'v1'


class PlayedResponse(NamedTuple):
    """A request of the new version: its route, time and load.

    `load` is that of its upstream, as a share of what it will have.
    """

    route: str
    at_s: float
    load: float
    upstream: int = 0


class RolloutLoad(NamedTuple):
    """A service while a new version of it is rolled out.

    `routes` are the shares of its requests by route. `old_bad` is the share
    of bad responses of the old version, `new_bad` returns that of the new one.
    `new_at_s` is the time at which the new upstreams are ready, and `idle_s`
    how long the old ones need to finish.
    """

    new_bad: Callable[[PlayedResponse], float]
    rate: float = 270
    duration_s: float = 16
    routes: tuple[tuple[str, float], ...] = (('lookup', 0.7), ('call', 0.3))
    old_bad: float = 0.02
    upstreams: int = 16
    slots: int = 6
    new_at_s: float = 2
    idle_s: float = 0.5


class RolloutResult(NamedTuple):
    """How a roll-out ended.

    `exposed` are the requests of the new version until the deadline and
    `requests` all of them. `late_bad_s` is the time from its fiftieth bad
    response to its last request, 0 without as many.
    """

    state: RolloutState
    ended_s: float
    exposed: int
    requests: int
    late_bad_s: float


def play_rollout(load: RolloutLoad, seed: int) -> RolloutResult:
    """Plays a load to its end, or to twice its duration."""
    play = _RolloutPlay(load, seed)
    while play.now < 2 * load.duration_s:
        play.tick()
        if not play.in_force.is_open:
            break
    return play.build_result()


class _RolloutPlay:
    """One play."""

    def __init__(self, load: RolloutLoad, seed: int) -> None:
        self.now: float = 0
        self._load = load
        self._random = Random(seed)
        duration_ms = int(load.duration_s * 1000)
        self._rollout = Rollout(SERVICE, NEW, duration_ms, number=1)
        self.in_force = self._rollout
        self._ledger = RolloutLedger(self._rollout, 0, 0)
        self._reports: deque[tuple[float, RolloutReport]] = deque()
        self._steps: deque[tuple[float, Rollout]] = deque()
        self._changed_at: float = 0
        self._exposed = 0
        self._requests = 0
        self._bad = 0
        self._fiftieth_bad_at: float | None = None
        self._last_new_at: float = 0

    def tick(self) -> None:
        """Plays the next interval."""
        self.now += TICK_S
        while self._steps and self._steps[0][0] <= self.now:
            self.in_force = self._steps.popleft()[1]
        self._answer()
        while self._reports and self._reports[0][0] <= self.now:
            self._ledger.add(self._reports.popleft()[1], self.now)
        self._decide()

    def build_result(self) -> RolloutResult:
        """Returns how it ended."""
        late_s: float = 0
        if self._fiftieth_bad_at is not None:
            late_s = max(0, self._last_new_at - self._fiftieth_bad_at)
        return RolloutResult(
            self._rollout.state,
            self._changed_at,
            self._exposed,
            self._requests,
            late_s,
        )

    def _answer(self) -> None:
        load = self._load
        expected = load.rate * TICK_S
        count = int(expected) + (
            self._random.random() < expected - int(expected)
        )
        evidence = [self._answer_one() for _ in range(count)]
        report = RolloutReport(tuple(evidence))
        self._reports.append((self.now + REPORT_DELAY_S, report))

    def _answer_one(self) -> RouteEvidence:
        load = self._load
        names, weights = zip(*load.routes, strict=True)
        (route,) = self._random.choices(names, weights)
        rollout = self.in_force
        is_ready = self.now >= load.new_at_s
        share = rollout.share_ppm / WHOLE_PPM
        is_new = is_ready and self._random.random() < share
        used = rollout.upstreams or load.upstreams
        upstream = self._random.randrange(used)
        bad_share = load.old_bad
        if is_new:
            each = share * load.upstreams / used
            bad_share = load.new_bad(
                PlayedResponse(route, self.now, each, upstream)
            )
        is_bad = self._random.random() < bad_share
        self._count(is_new, is_bad)
        version = NEW if is_new else OLD
        return RouteEvidence(
            SERVICE, route, version, 1, int(is_bad), str(upstream)
        )

    def _count(self, is_new: bool, is_bad: bool) -> None:
        if self.now <= self._load.duration_s:
            self._requests += 1
            self._exposed += is_new
        if is_new:
            self._last_new_at = self.now
            self._bad += is_bad
            if self._bad == 50 and self._fiftieth_bad_at is None:
                self._fiftieth_bad_at = self.now

    def _decide(self) -> None:
        rollout = self._rollout
        if not rollout.is_open:
            return
        view = self._build_view()
        step = decide_step(view, RolloutSettings())
        if step is None:
            return
        self._changed_at = self.now
        self._rollout = rollout._replace(
            state=step.state,
            share_ppm=step.share_ppm,
            upstreams=step.upstreams,
            number=rollout.number + 1,
        )
        self._steps.append((self.now + STEP_DELAY_S, self._rollout))

    def _build_view(self) -> RolloutView:
        load = self._load
        count = load.upstreams if self.now >= load.new_at_s else 0
        state_s = self.now - self._changed_at
        return RolloutView(
            self._rollout,
            self._ledger.judgement.verdict,
            load.duration_s - self.now,
            state_s,
            self._ledger.requests,
            self._ledger.judgement.answers,
            self._ledger.measure_rate(self.now),
            count,
            count * load.slots,
            load.upstreams * load.slots,
            state_s >= STEP_DELAY_S + load.idle_s,
        )
