"""Identifies requests that crash upstreams.

The requests in flight at a crash become suspects. A suspect runs alone from
then on. Each crash names it with a weight: how many crashes in a row point to
it. A run alone adds one to what was known when it began; a crash beside others
counts 1, and 0 if the request had run well there shortly before. Two crashes
that have nothing else in common count 2.

From `MIN_QUARANTINE` on a request is refused for a time that grows with the
weight. It is examined then: it runs alone, once at a time in the fleet. A run
that completes clears it everywhere of the crashes known when it began.
"""

from collections.abc import Iterable
from enum import IntEnum
from itertools import combinations
from typing import NamedTuple

from bilberry_core.board import WEIGHT_CLEARED_LATER, Suspect
from bilberry_core.clock import MS_PER_S
from bilberry_core.verdict import Failure, FailureCode, Verdict

#: Time after which a suspect expires, in milliseconds.
SUSPECT_MS = 300_000
#: Time after which a quarantined request is forgotten, in milliseconds.
QUARANTINE_MS = 86_400_000
#: Weight from which a request is quarantined.
MIN_QUARANTINE = 2
#: Weight of a crash while the request ran alone as a suspect.
WEIGHT_ALONE = 2
#: Weight of a crash while the request ran together with others.
WEIGHT_CONCURRENT = 1
#: Weight of a crash where the request had completed shortly before.
WEIGHT_CLEARED = 0
#: Crashes that count like as many in a row, once there are that many.
EXAMINED_CRASHES = 3
#: Time for which a request of each weight is refused, in seconds.
HOLD_S = {2: 2.0, 3: 5.0, 4: 30.0, 5: 600.0}
#: The same for any greater weight.
LONGEST_HOLD_S = QUARANTINE_MS / MS_PER_S
#: Shortest time after which a refused caller may return, in milliseconds.
MIN_RETRY_AFTER_MS = 250


class SuspicionLevel(IntEnum):
    """How strongly a request is suspected of crashing upstreams.

    A suspect runs alone, an examined request besides once at a time in the
    fleet, and a quarantined one is refused.
    """

    CLEAR = 0
    SUSPECT = 1
    EXAMINED = 2
    QUARANTINED = 3


class Assessment(NamedTuple):
    """What is held against a request.

    `expires_ms` is wall clock time, in milliseconds. `weight` is the number of
    crashes in a row that point to the request.
    """

    level: SuspicionLevel
    expires_ms: int
    weight: int = 0

    @property
    def hold_s(self) -> float:
        """Time for which a quarantined request is refused, in seconds."""
        return HOLD_S.get(self.weight, LONGEST_HOLD_S)


CLEAR = Assessment(SuspicionLevel.CLEAR, 0)


def assess_suspects(suspects: Iterable[Suspect]) -> dict[bytes, Assessment]:
    """Returns the assessment of each suspect's fingerprint.

    Crashes of which a request has been cleared are not held against it.
    """
    crashes: dict[tuple[str, int], dict[bytes, int]] = {}
    found: dict[bytes, list[Suspect]] = {}
    for suspect in suspects:
        if suspect.weight <= WEIGHT_CLEARED_LATER:
            continue
        crash = (suspect.instance, suspect.incarnation)
        crashes.setdefault(crash, {})[suspect.fingerprint] = suspect.weight
        found.setdefault(suspect.fingerprint, []).append(suspect)
    common = _find_only_common(crashes.values())
    return {
        fingerprint: _assess(held, is_only_common=fingerprint in common)
        for fingerprint, held in found.items()
    }


def get_lifetime_ms(weight: int) -> int:
    """Returns for how long a crash of this weight is held against a request."""
    return QUARANTINE_MS if weight >= MIN_QUARANTINE else SUSPECT_MS


def build_quarantine_failure(left_s: float) -> Failure:
    """Returns the failure with which a request is refused before it is sent."""
    return Failure(
        Verdict.NOT_RUN,
        FailureCode.QUARANTINED,
        'upstreams crashed while they ran this request',
        max(int(left_s * MS_PER_S), MIN_RETRY_AFTER_MS),
    )


def _assess(held: list[Suspect], *, is_only_common: bool) -> Assessment:
    weight = max(suspect.weight for suspect in held)
    if is_only_common:
        weight = max(weight, MIN_QUARANTINE)
    level = SuspicionLevel.SUSPECT
    if weight >= MIN_QUARANTINE:
        level = SuspicionLevel.QUARANTINED
    if _count_unexplained(held) >= EXAMINED_CRASHES:
        weight = max(weight, EXAMINED_CRASHES)
        level = max(level, SuspicionLevel.EXAMINED)
    expires_ms = max(suspect.expires_ms for suspect in held)
    return Assessment(level, expires_ms, weight)


def _count_unexplained(held: list[Suspect]) -> int:
    return sum(suspect.weight > WEIGHT_CLEARED for suspect in held)


def _find_only_common(crashes: Iterable[dict[bytes, int]]) -> set[bytes]:
    """Returns the requests that alone two weighty crashes have in common."""
    found: set[bytes] = set()
    for one, other in combinations(crashes, 2):
        common = one.keys() & other.keys()
        if len(common) != 1:
            continue
        weight = sum(
            one[fingerprint] + other[fingerprint] for fingerprint in common
        )
        if weight >= MIN_QUARANTINE:
            found |= common
    return found
