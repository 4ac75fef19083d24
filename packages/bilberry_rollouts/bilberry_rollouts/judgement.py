"""Judges a new version of a service by its responses.

This answers a version that fails a part of its requests, or takes several
times as long for them: at once, from some time on, under load, or on one route
only. The new version is compared with the old one at the same time, by
sequential tests whose rates of error are stated, so that slow machines and
failing dependencies, which both versions meet, don't convict it.
"""

from collections.abc import Iterable
from enum import StrEnum
from math import log
from typing import NamedTuple

from bilberry_core.rollout import RouteEvidence

#: Probability that a good version is taken for a bad one, for each start of
#: the test on one route.
FALSE_ALARM = 0.0001
#: Probability that a bad version passes the evidence that is asked for.
MISSED_FAULT = 0.01
#: A version is bad if the share of its bad responses exceeds that of the old
#: version by this much, plus half of the latter.
BAD_EXCESS = 0.15
_RELATIVE_EXCESS = 0.5
#: Bounds of the share of bad responses that is assumed of the old version.
MIN_BASE_SHARE = 0.02
MAX_BASE_SHARE = 0.6
_MAX_BAD_SHARE = 0.95
#: Responses at the least share of bad ones that are assumed of the old version
#: before any is seen.
_PRIOR_ANSWERS = 20
#: Bad responses without which no version is convicted.
MIN_BAD = 3
#: Responses of a route from which its own test counts beside that of all.
MIN_ROUTE_ANSWERS = 20
#: Time constant with which older responses of the old version lose weight, in
#: seconds.
MEMORY_S = 5.0

_ALARM = log((1 - MISSED_FAULT) / FALSE_ALARM)
_PASSED = log(MISSED_FAULT / (1 - FALSE_ALARM))
#: A route with a higher alarm is not clear yet.
_SUSPICION = _ALARM * 0.7
#: An upstream with a higher alarm shares in what speaks against its version.
_SHARED = _SUSPICION


class Verdict(StrEnum):
    """What the evidence says of a new version."""

    OPEN = 'open'
    GOOD = 'good'
    BAD = 'bad'


class RouteCounts(NamedTuple):
    """What a route's responses say; `old` counts lose weight with age.

    `alarm` and `passed` are log-likelihood ratios of the version being bad:
    since the last time at which nothing spoke for it, and over all responses.
    """

    old_answers: float = 0
    old_bad: float = 0
    answers: int = 0
    bad: int = 0
    alarm: float = 0
    passed: float = 0

    @property
    def base_share(self) -> float:
        """The share of bad responses that is expected of a good version."""
        bad = self.old_bad + _PRIOR_ANSWERS * MIN_BASE_SHARE
        share = bad / (self.old_answers + _PRIOR_ANSWERS)
        return min(max(share, MIN_BASE_SHARE), MAX_BASE_SHARE)

    def fade(self, share: float) -> 'RouteCounts':
        """Keeps a share of the weight of the old version's responses."""
        return self._replace(
            old_answers=self.old_answers * share,
            old_bad=self.old_bad * share,
        )

    def add_old(self, answers: int, bad: int) -> 'RouteCounts':
        """Adds responses of the old version."""
        return self._replace(
            old_answers=self.old_answers + answers,
            old_bad=self.old_bad + bad,
        )

    def add_new(self, answers: int, bad: int) -> 'RouteCounts':
        """Adds responses of the new version."""
        base = self.base_share
        suspected = base + BAD_EXCESS + base * _RELATIVE_EXCESS
        suspected = min(suspected, _MAX_BAD_SHARE)
        against = bad * log(suspected / base)
        favourable = (answers - bad) * log((1 - suspected) / (1 - base))
        change = against + favourable
        return self._replace(
            answers=self.answers + answers,
            bad=self.bad + bad,
            alarm=max(0, self.alarm + change),
            passed=self.passed + change,
        )


class Judgement:
    """The sequential tests of one roll-out: of each route and of all."""

    def __init__(self, version: str, now: float) -> None:
        """Judges `version`; `now` is monotonic time, in seconds."""
        self._version = version
        self._routes: dict[str, RouteCounts] = {}
        self._whole = RouteCounts()
        self._upstreams: dict[str, RouteCounts] = {}
        self._faded_at = now

    @property
    def routes(self) -> dict[str, RouteCounts]:
        """The evidence of each route, by its name."""
        return dict(self._routes)

    @property
    def answers(self) -> int:
        """Responses of the new version."""
        return self._whole.answers

    @property
    def bad(self) -> int:
        """Bad responses of the new version."""
        return self._whole.bad

    @property
    def verdict(self) -> Verdict:
        """What the evidence says so far."""
        tests = (self._whole, *self._routes.values())
        if any(test.alarm >= _ALARM and test.bad >= MIN_BAD for test in tests):
            return self._judge_alarm()
        if self._whole.passed > _PASSED:
            return Verdict.OPEN
        is_clear = all(
            test.alarm <= _SUSPICION
            for test in self._routes.values()
            if test.answers >= MIN_ROUTE_ANSWERS
        )
        return Verdict.GOOD if is_clear else Verdict.OPEN

    def add(self, evidence: Iterable[RouteEvidence], now: float) -> None:
        """Adds the responses in a report that arrived at `now`.

        Those of the old version come first: what both meet at the same time
        must not count against the new one.
        """
        self._fade(now)
        ordered = sorted(evidence, key=self._is_new)
        for seen in ordered:
            known = self._routes.get(seen.route, RouteCounts())
            self._routes[seen.route] = self._count(known, seen)
            self._count_upstream(seen)
            self._whole = self._count(self._whole, seen)

    def _judge_alarm(self) -> Verdict:
        """Returns whether an alarm is about the version or one ill upstream.

        The others must have passed without it to acquit the version.
        """
        ranked = sorted(
            self._upstreams.values(),
            key=lambda test: test.alarm,
            reverse=True,
        )
        is_shared = len(ranked) == 1 or ranked[1].alarm >= _SHARED
        if is_shared:
            return Verdict.BAD
        others = sum(test.passed for test in ranked[1:])
        return Verdict.GOOD if others <= _PASSED else Verdict.OPEN

    def _is_new(self, seen: RouteEvidence) -> bool:
        return seen.version == self._version

    def _count(self, known: RouteCounts, seen: RouteEvidence) -> RouteCounts:
        if self._is_new(seen):
            return known.add_new(seen.answers, seen.bad)
        return known.add_old(seen.answers, seen.bad)

    def _count_upstream(self, seen: RouteEvidence) -> None:
        if not self._is_new(seen):
            return
        known = self._upstreams.get(seen.upstream, RouteCounts())
        known = known._replace(
            old_answers=self._whole.old_answers,
            old_bad=self._whole.old_bad,
        )
        self._upstreams[seen.upstream] = self._count(known, seen)

    def _fade(self, now: float) -> None:
        kept = max(0, 1 - (now - self._faded_at) / MEMORY_S)
        self._faded_at = now
        self._whole = self._whole.fade(kept)
        for route, counts in self._routes.items():
            self._routes[route] = counts.fade(kept)
