"""Tracks which requests are suspected of crashing upstreams.

Suspects are reported after crashes of this daemon's upstream and of others.
"""

from collections.abc import Sequence
from typing import NamedTuple

from bilberry_core.board import Board, Suspect
from bilberry_core.clock import Clock
from bilberry_core.endpoint import Endpoint

from bilberry_proxy.poison import (
    CLEAR,
    SUSPECT_MS,
    WEIGHT_ALONE,
    WEIGHT_CLEARED,
    WEIGHT_CONCURRENT,
    Assessment,
    SuspicionLevel,
    assess_suspects,
)

#: Maximum number of completed requests that are remembered.
MAX_CLEARED = 4096
#: Time for which a completed run exempts a request from suspicion, in seconds.
CLEARED_S = 10.0


class InFlightRequest(NamedTuple):
    """A request in flight at a crash; `is_alone` is set for a suspect."""

    fingerprint: bytes
    is_alone: bool


class SuspectTracker:
    """The assessments of requests, from the suspects on the board."""

    def __init__(self, board: Board, clock: Clock) -> None:
        """Subscribes to the suspects on the board."""
        self._board = board
        self._clock = clock
        self._assessments: dict[bytes, Assessment] = {}
        self._cleared_at: dict[bytes, float] = {}
        self._reported_at: dict[bytes, float] = {}
        self._known: frozenset[tuple[bytes, str, int]] = frozenset()
        board.suspects.watch(self._update)

    def assess(self, fingerprint: bytes) -> Assessment:
        """Returns the current assessment of a request."""
        if not self._assessments:
            return CLEAR
        assessment = self._assessments.get(fingerprint, CLEAR)
        if assessment.expires_ms <= self._clock.wall_ms():
            return CLEAR
        return assessment

    def must_run_alone(self, fingerprint: bytes, is_reported: bool) -> bool:
        """Returns whether a request must run alone here.

        `is_reported` says that the daemon that sent the request treats it as
        a suspect. A completed run clears a request only of crashes that were
        reported before the run completed.
        """
        if self.assess(fingerprint).level is SuspicionLevel.CLEAR:
            return is_reported
        cleared_at = self._cleared_at.get(fingerprint, 0)
        return cleared_at <= self._reported_at[fingerprint]

    def clear(self, fingerprint: bytes) -> None:
        """Records that a request completed here without a crash."""
        self._cleared_at.pop(fingerprint, None)
        self._cleared_at[fingerprint] = self._clock.now()
        if len(self._cleared_at) > MAX_CLEARED:
            del self._cleared_at[next(iter(self._cleared_at))]

    def weigh_suspects(
        self, requests: Sequence[InFlightRequest]
    ) -> dict[bytes, int]:
        """Returns the weight of each suspect among requests in flight.

        Requests that completed here within `CLEARED_S` are no suspects; if
        all did, all are suspects of weight `WEIGHT_CLEARED`.
        """
        since = self._clock.now() - CLEARED_S
        weights = {
            request.fingerprint: WEIGHT_ALONE
            if request.is_alone
            else WEIGHT_CONCURRENT
            for request in requests
            if request.is_alone
            or self._cleared_at.get(request.fingerprint, 0) < since
        }
        self._cleared_at.clear()
        if weights:
            return weights
        return {request.fingerprint: WEIGHT_CLEARED for request in requests}

    def name(self, weights: dict[bytes, int], endpoint: Endpoint) -> None:
        """Publishes the suspects of a crash of `endpoint` on the board.

        `weights` maps the fingerprint of each to the weight of the crash.
        """
        expires_ms = self._clock.wall_ms() + SUSPECT_MS
        reported = {
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
        if not reported.keys() <= known.keys():
            self._board.suspects.put({**reported, **known})

    def forget_expired(self) -> None:
        """Removes expired suspects from the board."""
        now_ms = self._clock.wall_ms()
        known = self._board.suspects.value
        remaining = {
            key: suspect
            for key, suspect in known.items()
            if suspect.expires_ms > now_ms
        }
        if len(remaining) < len(known):
            self._board.suspects.put(remaining)

    def _update(self, suspects: dict[tuple[bytes, str, int], Suspect]) -> None:
        now = self._clock.now()
        for key in suspects.keys() - self._known:
            self._reported_at[key[0]] = now
        self._known = frozenset(suspects)
        self._assessments = assess_suspects(suspects.values())
        self._reported_at = {
            fingerprint: self._reported_at[fingerprint]
            for fingerprint in self._assessments
        }
