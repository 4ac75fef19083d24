"""Tells requests that crash upstreams from those that were only there.

A crash names as suspects the requests in flight. A suspect runs alone from
then on, so a second crash names it alone. A request is quarantined once two
crashes have nothing but it in common and weigh enough: a herd of upstreams
that dies while each runs the same popular read weighs nothing.
"""

from collections.abc import Iterable
from enum import IntEnum
from itertools import combinations
from typing import NamedTuple

from bilberry_core.board import Suspect
from bilberry_core.verdict import Failure, FailureCode, Verdict

#: How long a suspect is remembered, in milliseconds.
SUSPECT_MS = 300_000
#: Weight of two crashes that quarantines what they have in common.
WEIGHT_TO_QUARANTINE = 2
#: Weight of a crash while the request ran alone as a suspect.
WEIGHT_ALONE = 2
#: Weight of a crash while the request ran beside others.
WEIGHT_CONCURRENT = 1
#: Weight of a crash where the request had run well a moment before.
WEIGHT_CLEARED = 0


class SuspicionLevel(IntEnum):
    """What is held against a request."""

    CLEAR = 0
    SUSPECT = 1
    QUARANTINED = 2


class Assessment(NamedTuple):
    """A level and the wall clock time when it ends, in milliseconds."""

    level: SuspicionLevel
    expires_ms: int


CLEAR = Assessment(SuspicionLevel.CLEAR, 0)


def assess_suspects(suspects: Iterable[Suspect]) -> dict[bytes, Assessment]:
    """Returns what is held against each fingerprint."""
    crashes: dict[tuple[str, int], dict[bytes, int]] = {}
    expiries: dict[bytes, int] = {}
    for suspect in suspects:
        crash = (suspect.instance, suspect.incarnation)
        fingerprint = suspect.fingerprint
        crashes.setdefault(crash, {})[fingerprint] = suspect.weight
        known = expiries.get(fingerprint, suspect.expires_ms)
        expiries[fingerprint] = max(known, suspect.expires_ms)
    quarantined = _find_quarantined(crashes.values())
    return {
        fingerprint: Assessment(
            SuspicionLevel.QUARANTINED
            if fingerprint in quarantined
            else SuspicionLevel.SUSPECT,
            expires_ms,
        )
        for fingerprint, expires_ms in expiries.items()
    }


def build_quarantined(assessment: Assessment, now_ms: int) -> Failure:
    """Returns the refusal of a request that is quarantined."""
    return Failure(
        Verdict.MAY_HAVE_RUN,
        FailureCode.QUARANTINED,
        'two upstreams crashed while they ran this request',
        max(assessment.expires_ms - now_ms, 1),
    )


def _find_quarantined(crashes: Iterable[dict[bytes, int]]) -> set[bytes]:
    quarantined: set[bytes] = set()
    for one, other in combinations(crashes, 2):
        common = one.keys() & other.keys()
        if len(common) != 1:
            continue
        weight = sum(one[each] + other[each] for each in common)
        if weight >= WEIGHT_TO_QUARANTINE:
            quarantined |= common
    return quarantined
