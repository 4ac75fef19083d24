"""Merges suspects into a bounded set in which each entry expires.

A request that was cleared of a crash stays cleared of it, whoever tells of the
crash later.
"""

from collections.abc import Iterable

from bilberry_core.board import WEIGHT_CLEARED_LATER, Suspect

#: Maximum number of suspects kept; those that expire first are dropped.
MAX_SUSPECTS = 1024
#: Maximum time from now until a suspect expires, in milliseconds.
MAX_SUSPICION_MS = 90_000_000

SuspectKey = tuple[bytes, str, int]


def get_suspect_key(suspect: Suspect) -> SuspectKey:
    """Returns the key under which the blackboard keeps a suspect."""
    return suspect.fingerprint, suspect.instance, suspect.incarnation


def merge_suspects(
    known: dict[SuspectKey, Suspect],
    received: Iterable[Suspect],
    wall_ms: int,
) -> dict[SuspectKey, Suspect]:
    """Returns `known` without expired suspects and with `received` merged.

    Returns the dictionary `known` itself if nothing changes.
    """
    merged = {
        key: suspect
        for key, suspect in known.items()
        if suspect.expires_ms > wall_ms
    }
    max_expires_ms = wall_ms + MAX_SUSPICION_MS
    for arrived in received:
        suspect = _cap(arrived, max_expires_ms)
        key = get_suspect_key(suspect)
        if suspect.expires_ms > wall_ms and _supersedes(
            suspect, merged.get(key)
        ):
            merged[key] = suspect
    if len(merged) > MAX_SUSPECTS:
        latest = sorted(merged.values(), key=_rank)[:MAX_SUSPECTS]
        merged = {get_suspect_key(kept): kept for kept in latest}
    if merged == known:
        return known
    return merged


def _cap(suspect: Suspect, max_expires_ms: int) -> Suspect:
    if suspect.expires_ms <= max_expires_ms:
        return suspect
    return suspect._replace(expires_ms=max_expires_ms)


def _supersedes(suspect: Suspect, known: Suspect | None) -> bool:
    if known is None:
        return True
    if _is_cleared(suspect) is not _is_cleared(known):
        return _is_cleared(suspect)
    return suspect.expires_ms > known.expires_ms


def _is_cleared(suspect: Suspect) -> bool:
    return suspect.weight <= WEIGHT_CLEARED_LATER


def _rank(suspect: Suspect) -> tuple[int, SuspectKey]:
    return -suspect.expires_ms, get_suspect_key(suspect)
