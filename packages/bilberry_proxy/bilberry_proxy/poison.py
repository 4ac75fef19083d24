"""Tells requests that crash upstreams from those that were only there.

A crash names as suspects the requests in flight. A suspect runs alone from
then on, so a second crash names it alone. A request is quarantined once two
crashes have nothing but it in common; others that were in flight with it run
alone once, succeed, and are cleared.
"""

from collections.abc import Iterable
from enum import IntEnum
from itertools import combinations
from typing import NamedTuple

from bilberry_core.board import Suspect
from bilberry_core.verdict import Failure, FailureCode, Verdict

#: How long a suspect is remembered, in milliseconds.
SUSPECT_MS = 300_000


class Judgement(IntEnum):
    """What is held against a request."""

    CLEAR = 0
    SUSPECT = 1
    QUARANTINED = 2


class Finding(NamedTuple):
    """A judgement and the wall clock time when it ends, in milliseconds."""

    judgement: Judgement
    expires_ms: int


CLEAR = Finding(Judgement.CLEAR, 0)


def judge_suspects(suspects: Iterable[Suspect]) -> dict[bytes, Finding]:
    """Returns what is held against each fingerprint."""
    crashes: dict[tuple[str, int], set[bytes]] = {}
    expiries: dict[bytes, int] = {}
    for suspect in suspects:
        crash = (suspect.instance, suspect.incarnation)
        crashes.setdefault(crash, set()).add(suspect.fingerprint)
        known = expiries.get(suspect.fingerprint, suspect.expires_ms)
        expiries[suspect.fingerprint] = max(known, suspect.expires_ms)
    convicted = _find_convicted(crashes.values())
    return {
        fingerprint: Finding(
            Judgement.QUARANTINED
            if fingerprint in convicted
            else Judgement.SUSPECT,
            expires_ms,
        )
        for fingerprint, expires_ms in expiries.items()
    }


def build_quarantined(finding: Finding, now_ms: int) -> Failure:
    """Returns the refusal of a request that is quarantined."""
    return Failure(
        Verdict.MAY_HAVE_RUN,
        FailureCode.QUARANTINED,
        'two upstreams crashed while they ran this request',
        max(finding.expires_ms - now_ms, 1),
    )


def _find_convicted(crashes: Iterable[set[bytes]]) -> set[bytes]:
    convicted: set[bytes] = set()
    for one, other in combinations(crashes, 2):
        common = one & other
        if len(common) == 1:
            convicted |= common
    return convicted
