"""Quarantine: requests that crash each upstream that runs them.

The daemon beside a crashed upstream names what was in flight as suspects. A
fingerprint named in the crashes of two different upstream processes is
quarantined until the older of the two suspicions expires. A request that is
suspected once runs alone, so a crash while it runs can only be its own.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from bilberry_core.board import Suspect

SuspectKey = tuple[bytes, str, int]
Suspects = Mapping[SuspectKey, Suspect]

#: Crashes that quarantine a fingerprint.
CRASHES_TO_QUARANTINE = 2
#: Longest time that a suspicion lasts, in milliseconds.
MAX_SUSPICION_MS = 86_400_000
#: Most suspicions kept; those that expire first are dropped.
MAX_SUSPECTS = 4096


class Quarantine(NamedTuple):
    """Why a request is refused, and until when.

    `crashes` are the live suspicions against the fingerprint, the longest
    lasting first; `expires_ms` is wall clock time in milliseconds.
    """

    fingerprint: bytes
    crashes: tuple[Suspect, ...]
    expires_ms: int


class InFlight(NamedTuple):
    """A request that an upstream had begun when it crashed."""

    fingerprint: bytes
    service: str


class Crash(NamedTuple):
    """The end of an upstream process, seen by the daemon beside it.

    `at_ms` is wall clock time and `suspicion_ms` how long the requests in
    flight stay suspected, both in milliseconds.
    """

    instance: str
    incarnation: int
    at_ms: int
    suspicion_ms: int


def find_suspicions(
    suspects: Suspects,
    fingerprint: bytes,
    now_ms: int,
) -> tuple[Suspect, ...]:
    """Returns the live suspicions, the longest lasting first."""
    live = [
        suspect
        for suspect in suspects.values()
        if suspect.fingerprint == fingerprint and suspect.expires_ms > now_ms
    ]
    live.sort(key=_get_expiry, reverse=True)
    return tuple(live)


def find_quarantined(
    suspects: Suspects,
    fingerprint: bytes,
    now_ms: int,
) -> Quarantine | None:
    """Returns the evidence against a request that must be refused."""
    crashes = find_suspicions(suspects, fingerprint, now_ms)
    if len(crashes) < CRASHES_TO_QUARANTINE:
        return None
    expires_ms = crashes[CRASHES_TO_QUARANTINE - 1].expires_ms
    return Quarantine(fingerprint, crashes, expires_ms)


def must_run_alone(
    suspects: Suspects,
    fingerprint: bytes,
    now_ms: int,
    completed: Collection[bytes] = frozenset(),
) -> bool:
    """Returns whether a request is suspected and not yet cleared here.

    `completed` holds the fingerprints that this upstream answered since it
    last crashed: they did not crash it, so they run beside others again.
    """
    if not suspects or fingerprint in completed:
        return False
    return bool(find_suspicions(suspects, fingerprint, now_ms))


def may_run_beside(
    suspects: Suspects,
    fingerprint: bytes,
    running: Collection[bytes],
    now_ms: int,
    completed: Collection[bytes] = frozenset(),
) -> bool:
    """Returns whether a request may start beside those that run.

    `running` holds the fingerprints of what the upstream runs now. A
    suspected request starts only when nothing runs, and nothing starts
    beside it. While one waits for that at the head of its queue, the
    admission must start nothing else, or it would wait for ever.
    """
    if not running or not suspects:
        return True
    beside = frozenset((fingerprint, *running))
    return not any(
        must_run_alone(suspects, other, now_ms, completed) for other in beside
    )


def name_suspects(
    crash: Crash,
    in_flight: Collection[InFlight],
    completed: Collection[bytes] = frozenset(),
) -> tuple[Suspect, ...]:
    """Returns the suspects of a crash, one for each fingerprint.

    Fingerprints that the same upstream process answered before are left out,
    unless that would leave nobody: a request that crashes each upstream that
    runs it is never among them, and popular reads are.
    """
    named = [one for one in in_flight if one.fingerprint not in completed]
    expires_ms = crash.at_ms + crash.suspicion_ms
    found = {
        one.fingerprint: Suspect(
            one.fingerprint,
            one.service,
            crash.instance,
            crash.incarnation,
            expires_ms,
        )
        for one in named or in_flight
    }
    return tuple(found.values())


def merge_suspects(
    held: Suspects,
    told: Iterable[Suspect],
    now_ms: int,
) -> Suspects:
    """Returns the live suspicions of both; `held` itself if unchanged.

    The later expiry of one suspicion counts, but none lasts longer than
    `MAX_SUSPICION_MS` from now.
    """
    merged = dict(expire_suspects(held, now_ms))
    latest_ms = now_ms + MAX_SUSPICION_MS
    for suspect in told:
        expires_ms = min(suspect.expires_ms, latest_ms)
        key = (suspect.fingerprint, suspect.instance, suspect.incarnation)
        known = merged.get(key)
        known_ms = now_ms if known is None else known.expires_ms
        if expires_ms > known_ms:
            merged[key] = suspect._replace(expires_ms=expires_ms)
    return held if merged == held else _keep_latest(merged)


def expire_suspects(held: Suspects, now_ms: int) -> Suspects:
    """Returns the live suspicions; `held` itself if all of them are."""
    live = {
        key: suspect
        for key, suspect in held.items()
        if suspect.expires_ms > now_ms
    }
    return held if len(live) == len(held) else live


def _keep_latest(suspects: dict[SuspectKey, Suspect]) -> Suspects:
    if len(suspects) <= MAX_SUSPECTS:
        return suspects
    latest = sorted(suspects.values(), key=_get_expiry, reverse=True)
    return {
        (one.fingerprint, one.instance, one.incarnation): one
        for one in latest[:MAX_SUSPECTS]
    }


def _get_expiry(suspect: Suspect) -> int:
    return suspect.expires_ms
