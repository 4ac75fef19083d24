"""Counts what responses of open roll-outs show, for the leader's judgement."""

from collections import Counter
from typing import NamedTuple

from bilberry_core.board import Board
from bilberry_core.clock import Clock
from bilberry_core.endpoint import Endpoint
from bilberry_core.rollout import (
    IdleUpstream,
    Rollout,
    RolloutReport,
    RolloutState,
    RouteEvidence,
)

from bilberry_proxy.endpoint_load import SLOW_START_MS

#: Service, route, version and instance of responses.
_Key = tuple[str, str, str, str]

#: A response is slow if it takes this many times as long as usual on its
#: route.
SLOW_FACTOR = 3.0
#: Interval between reports, in seconds.
REPORT_INTERVAL_S = 0.2
_FIRST_FAILURE_STATUS = 500
#: Responses from which the usual time of a route is known, and the least weight
#: of the newest one.
MIN_USUAL = 10
_USUAL_WEIGHT = 0.05


class UsualTime(NamedTuple):
    """The mean time of a route at the old version, in seconds."""

    mean_s: float = 0
    count: int = 0

    def add(self, served_s: float) -> 'UsualTime':
        """Adds a response; the first ones have equal weights."""
        count = self.count + 1
        weight = max(1 / count, _USUAL_WEIGHT)
        return UsualTime(self.mean_s + (served_s - self.mean_s) * weight, count)

    def is_exceeded(self, served_s: float) -> bool:
        """Returns whether a response took several times as long."""
        if self.count < MIN_USUAL:
            return False
        return served_s > self.mean_s * SLOW_FACTOR


class RolloutEvidence:
    """The responses since the last report, by service, route and version."""

    def __init__(self, board: Board, clock: Clock) -> None:
        self._board = board
        self._clock = clock
        self._answers: Counter[_Key] = Counter()
        self._bad: Counter[_Key] = Counter()
        self._usual: dict[tuple[str, str], UsualTime] = {}
        self._next_report: float = 0

    def record_answer(
        self,
        endpoint: Endpoint,
        route: str,
        status: int,
        served_s: float,
    ) -> None:
        """Counts a response to which the upstream took `served_s` seconds.

        What is usual on a route is learned from the old version. A cold
        upstream is slow whatever its version, so its time says nothing.
        """
        rollout = self._find_open(endpoint)
        if rollout is None:
            return
        age_ms = self._clock.wall_ms() - endpoint.since_ms
        usual = self._usual.get((endpoint.service, route), UsualTime())
        is_slow = age_ms >= SLOW_START_MS and usual.is_exceeded(served_s)
        if endpoint.version != rollout.version:
            self._usual[endpoint.service, route] = usual.add(served_s)
        is_bad = is_slow or status >= _FIRST_FAILURE_STATUS
        self._count(endpoint, route, is_bad)

    def record_silence(self, endpoint: Endpoint, route: str) -> None:
        """Counts a request to which no response came in time."""
        if self._find_open(endpoint) is not None:
            self._count(endpoint, route, is_bad=True)

    def report(self, is_idle: bool) -> None:
        """Puts the next report on the board, if it is due.

        `is_idle` tells that the upstream beside this proxy runs no requests
        and that none waits for it.
        """
        now = self._clock.now()
        if now < self._next_report:
            return
        self._next_report = now + REPORT_INTERVAL_S
        idle = self._find_idle() if is_idle else ()
        if not self._answers and not idle:
            return
        evidence = tuple(
            RouteEvidence(*key[:3], answers, self._bad[key], key[3])
            for key, answers in self._answers.items()
        )
        self._answers.clear()
        self._bad.clear()
        self._board.rollout_evidence.put(RolloutReport(evidence, idle))

    def _count(self, endpoint: Endpoint, route: str, is_bad: bool) -> None:
        key = (
            endpoint.service,
            route,
            endpoint.version,
            endpoint.instance,
        )
        self._answers[key] += 1
        self._bad[key] += is_bad

    def _find_open(self, endpoint: Endpoint) -> Rollout | None:
        rollout = self._board.rollouts.value.find(endpoint.service)
        return rollout if rollout is not None and rollout.is_open else None

    def _find_idle(self) -> tuple[IdleUpstream, ...]:
        own = self._board.own_endpoint.value
        rollout = self._board.rollouts.value.find(own.service) if own else None
        if rollout is None or rollout.state is not RolloutState.COMPLETING:
            return ()
        if not rollout.is_retired(own.version, own.incarnation):
            return ()
        return (IdleUpstream(own.instance, rollout.number),)
