"""What this daemon holds against requests, from its own and others' crashes."""

from collections.abc import Iterable

from bilberry_core.board import Board, Suspect
from bilberry_core.clock import Clock
from bilberry_core.endpoint import Endpoint

from bilberry_proxy.poison import (
    CLEAR,
    SUSPECT_MS,
    Finding,
    Judgement,
    judge_suspects,
)

#: Requests remembered to have run without a crash.
MAX_CLEARED = 4096


class Suspicion:
    """Judges requests by the suspects on the blackboard."""

    def __init__(self, board: Board, clock: Clock) -> None:
        """Follows the suspects that other daemons name."""
        self._board = board
        self._clock = clock
        self._findings: dict[bytes, Finding] = {}
        self._cleared: dict[bytes, None] = {}
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
        """
        if fingerprint in self._cleared:
            return False
        return told or self.judge(fingerprint).judgement > Judgement.CLEAR

    def clear(self, fingerprint: bytes) -> None:
        """Remembers that a request ran here and nothing crashed."""
        self._cleared.pop(fingerprint, None)
        self._cleared[fingerprint] = None
        if len(self._cleared) > MAX_CLEARED:
            del self._cleared[next(iter(self._cleared))]

    def is_cleared(self, fingerprint: bytes) -> bool:
        """Tells whether a request has run here without a crash."""
        return fingerprint in self._cleared

    def name(self, fingerprints: Iterable[bytes], endpoint: Endpoint) -> None:
        """Names the requests in flight when an endpoint crashed."""
        expires_ms = self._clock.wall_ms() + SUSPECT_MS
        named = {
            (fingerprint, endpoint.instance, endpoint.incarnation): Suspect(
                fingerprint,
                endpoint.service,
                endpoint.instance,
                endpoint.incarnation,
                expires_ms,
            )
            for fingerprint in fingerprints
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
        self._findings = judge_suspects(suspects.values())
