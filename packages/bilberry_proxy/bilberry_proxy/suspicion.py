"""What this daemon holds against requests, from its own and others' crashes."""

from collections.abc import Sequence
from typing import NamedTuple

from bilberry_core.board import Board, Suspect
from bilberry_core.clock import Clock
from bilberry_core.endpoint import Endpoint

from bilberry_proxy.poison import (
    CLEAR,
    SUSPECT_MS,
    WEIGHT_ALONE,
    WEIGHT_BESIDE,
    WEIGHT_CLEARED,
    Finding,
    Judgement,
    judge_suspects,
)

#: Requests remembered to have run without a crash.
MAX_CLEARED = 4096
#: Time for which a run that went well speaks for a request, in seconds.
CLEARED_S = 10.0


class Flight(NamedTuple):
    """A request in flight at a crash; `is_alone` where it ran as a suspect."""

    fingerprint: bytes
    is_alone: bool


class Suspicion:
    """Judges requests by the suspects on the blackboard."""

    def __init__(self, board: Board, clock: Clock) -> None:
        """Follows the suspects that other daemons name."""
        self._board = board
        self._clock = clock
        self._findings: dict[bytes, Finding] = {}
        self._cleared_at: dict[bytes, float] = {}
        self._named_at: dict[bytes, float] = {}
        self._known: frozenset[tuple[bytes, str, int]] = frozenset()
        board.suspects.watch(self._follow)

    def judge(self, fingerprint: bytes) -> Finding:
        """Returns what is held against a request now."""
        if not self._findings:
            return CLEAR
        finding = self._findings.get(fingerprint, CLEAR)
        if finding.expires_ms <= self._clock.wall_ms():
            return CLEAR
        return finding

    def is_suspect(self, fingerprint: bytes, told: bool) -> bool:
        """Tells whether a request must run alone here.

        `told` says that the daemon that sent it holds something against it.
        A run that went well clears a request only of what was held against
        it before.
        """
        if self.judge(fingerprint).judgement is Judgement.CLEAR:
            return told
        cleared_at = self._cleared_at.get(fingerprint, 0)
        return cleared_at <= self._named_at[fingerprint]

    def clear(self, fingerprint: bytes) -> None:
        """Remembers that a request ran here and nothing crashed."""
        self._cleared_at.pop(fingerprint, None)
        self._cleared_at[fingerprint] = self._clock.now()
        if len(self._cleared_at) > MAX_CLEARED:
            del self._cleared_at[next(iter(self._cleared_at))]

    def weigh_suspects(self, flights: Sequence[Flight]) -> dict[bytes, int]:
        """Returns the weight of each suspect among requests in flight.

        Those that ran well here a moment ago are none, unless all did.
        """
        since = self._clock.now() - CLEARED_S
        weights = {
            flight.fingerprint: WEIGHT_ALONE
            if flight.is_alone
            else WEIGHT_BESIDE
            for flight in flights
            if flight.is_alone
            or self._cleared_at.get(flight.fingerprint, 0) < since
        }
        self._cleared_at.clear()
        if weights:
            return weights
        return {flight.fingerprint: WEIGHT_CLEARED for flight in flights}

    def name(self, weights: dict[bytes, int], endpoint: Endpoint) -> None:
        """Names the requests in flight when an endpoint crashed."""
        expires_ms = self._clock.wall_ms() + SUSPECT_MS
        named = {
            (fingerprint, endpoint.instance, endpoint.incarnation): Suspect(
                fingerprint,
                endpoint.service,
                endpoint.instance,
                endpoint.incarnation,
                expires_ms,
                weight,
            )
            for fingerprint, weight in weights.items()
        }
        known = self._board.suspects.value
        if not named.keys() <= known.keys():
            self._board.suspects.put({**named, **known})

    def forget_expired(self) -> None:
        """Takes suspects off the blackboard whose time is over."""
        now_ms = self._clock.wall_ms()
        known = self._board.suspects.value
        left = {
            key: suspect
            for key, suspect in known.items()
            if suspect.expires_ms > now_ms
        }
        if len(left) < len(known):
            self._board.suspects.put(left)

    def _follow(self, suspects: dict[tuple[bytes, str, int], Suspect]) -> None:
        now = self._clock.now()
        for key in suspects.keys() - self._known:
            self._named_at[key[0]] = now
        self._known = frozenset(suspects)
        self._findings = judge_suspects(suspects.values())
        self._named_at = {
            fingerprint: self._named_at[fingerprint]
            for fingerprint in self._findings
        }
