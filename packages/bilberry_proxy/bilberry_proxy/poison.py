"""Identifies requests that crash upstreams.

The requests in flight at a crash become suspects. A suspect runs alone from
then on, so a second crash has it as the only suspect. A request is
quarantined once it is the only one that two crashes have in common and the
weights of these crashes reach `WEIGHT_TO_QUARANTINE`. If many upstreams crash
while each runs the same popular read, these crashes have weight 0, so the
read isn't quarantined.
"""

from collections.abc import Iterable
from enum import IntEnum
from itertools import combinations
from typing import NamedTuple

from bilberry_core.board import Suspect
from bilberry_core.verdict import Failure, FailureCode, Verdict

#: Time after which a suspect expires, in milliseconds.
SUSPECT_MS = 300_000
#: Minimum total weight of two crashes that quarantines their common request.
WEIGHT_TO_QUARANTINE = 2
#: Weight of a crash while the request ran alone as a suspect.
WEIGHT_ALONE = 2
#: Weight of a crash while the request ran together with others.
WEIGHT_CONCURRENT = 1
#: Weight of a crash where the request had completed shortly before.
WEIGHT_CLEARED = 0


class SuspicionLevel(IntEnum):
    """How strongly a request is suspected of crashing upstreams."""

    CLEAR = 0
    SUSPECT = 1
    QUARANTINED = 2


class Assessment(NamedTuple):
    """A suspicion level; `expires_ms` is wall clock time, in milliseconds."""

    level: SuspicionLevel
    expires_ms: int


CLEAR = Assessment(SuspicionLevel.CLEAR, 0)


def assess_suspects(suspects: Iterable[Suspect]) -> dict[bytes, Assessment]:
    """Returns the assessment of each suspect's fingerprint."""
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


def build_quarantine_failure(assessment: Assessment, now_ms: int) -> Failure:
    """Returns the failure with which a quarantined request is refused."""
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
        weight = sum(
            one[fingerprint] + other[fingerprint] for fingerprint in common
        )
        if weight >= WEIGHT_TO_QUARANTINE:
            quarantined |= common
    return quarantined
