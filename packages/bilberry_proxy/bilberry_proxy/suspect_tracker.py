"""Tracks which requests are suspected of crashing upstreams.

Suspects are reported after crashes of this daemon's upstream and of others, and
cleared by runs that complete here or elsewhere.
"""

from collections.abc import Sequence
from logging import getLogger
from typing import NamedTuple

from bilberry_core.board import WEIGHT_CLEARED_LATER, Board, Suspect
from bilberry_core.clock import Clock
from bilberry_core.endpoint import Endpoint

from bilberry_proxy.poison import (
    CLEAR,
    WEIGHT_ALONE,
    WEIGHT_CLEARED,
    WEIGHT_CONCURRENT,
    Assessment,
    SuspicionLevel,
    assess_suspects,
    get_lifetime_ms,
)

_log = getLogger(__name__)

#: Maximum number of completed requests that are remembered.
MAX_CLEARED = 4096
#: Time for which a completed run exempts a request from suspicion, in seconds.
CLEARED_S = 10.0

#: Key of a suspect on the board: fingerprint, instance and incarnation.
SuspectKey = tuple[bytes, str, int]


class InFlightRequest(NamedTuple):
    """A request in flight at a crash.

    `is_alone` is set for a suspect, `known_weight` is what was held against it
    when its run began.
    """

    fingerprint: bytes
    is_alone: bool
    known_weight: int = 0

    @property
    def weight(self) -> int:
        """The weight of the crash, if nothing exempts the request."""
        if self.is_alone:
            return max(WEIGHT_ALONE, self.known_weight + 1)
        return WEIGHT_CONCURRENT


class SuspectTracker:
    """The assessments of requests, from the suspects on the board."""

    def __init__(self, board: Board, clock: Clock) -> None:
        """Subscribes to the suspects on the board."""
        self._board = board
        self._clock = clock
        self._assessments: dict[bytes, Assessment] = {}
        self._cleared_at: dict[bytes, float] = {}
        self._reported_at: dict[bytes, float] = {}
        self._known: frozenset[SuspectKey] = frozenset()
        board.suspects.watch(self._update)

    def assess(self, fingerprint: bytes) -> Assessment:
        """Returns the current assessment of a request."""
        if not self._assessments:
            return CLEAR
        assessment = self._assessments.get(fingerprint, CLEAR)
        if assessment.expires_ms <= self._clock.wall_ms():
            return CLEAR
        if assessment.level is not SuspicionLevel.QUARANTINED:
            return assessment
        if self.get_hold_s(fingerprint) > 0:
            return assessment
        return assessment._replace(level=SuspicionLevel.EXAMINED)

    def get_hold_s(self, fingerprint: bytes) -> float:
        """Returns for how long a quarantined request is still refused."""
        assessment = self._assessments.get(fingerprint, CLEAR)
        reported_at = self._reported_at.get(fingerprint, 0)
        return reported_at + assessment.hold_s - self._clock.now()

    def must_run_alone(self, fingerprint: bytes, is_reported: bool) -> bool:
        """Returns whether a request must run alone here.

        `is_reported` says that the daemon that sent the request treats it as
        a suspect.
        """
        level = self.assess(fingerprint).level
        return is_reported or level is not SuspicionLevel.CLEAR

    def find_crashes(self, fingerprint: bytes) -> frozenset[SuspectKey]:
        """Returns the crashes that are held against a request."""
        if fingerprint not in self._assessments:
            return frozenset()
        return frozenset(key for key in self._known if key[0] == fingerprint)

    def clear(
        self,
        fingerprint: bytes,
        crashes: frozenset[SuspectKey] = frozenset(),
    ) -> None:
        """Records that a request completed here without a crash.

        It is cleared of `crashes`, those that were known when its run began.
        """
        self._cleared_at.pop(fingerprint, None)
        self._cleared_at[fingerprint] = self._clock.now()
        if len(self._cleared_at) > MAX_CLEARED:
            del self._cleared_at[next(iter(self._cleared_at))]
        if crashes:
            self._clear_of(fingerprint, crashes)

    def weigh_suspects(
        self, requests: Sequence[InFlightRequest]
    ) -> dict[bytes, int]:
        """Returns the weight of each suspect among requests in flight.

        Requests that completed here within `CLEARED_S` are no suspects; if
        all did, all are suspects of weight `WEIGHT_CLEARED`.
        """
        since = self._clock.now() - CLEARED_S
        weights = {
            request.fingerprint: request.weight
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
        now_ms = self._clock.wall_ms()
        reported = {
            (fingerprint, endpoint.instance, endpoint.incarnation): Suspect(
                fingerprint,
                endpoint.service,
                endpoint.instance,
                endpoint.incarnation,
                now_ms + get_lifetime_ms(weight),
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

    def _clear_of(
        self, fingerprint: bytes, crashes: frozenset[SuspectKey]
    ) -> None:
        known = self._board.suspects.value
        cleared = {
            key: known[key]._replace(weight=WEIGHT_CLEARED_LATER)
            for key in crashes
            if key in known
        }
        _log.info(
            'suspect_cleared',
            extra={
                'fingerprint': fingerprint.hex(),
                'crashes': len(cleared),
                'weight': self._assessments.get(fingerprint, CLEAR).weight,
            },
        )
        self._board.suspects.put({**known, **cleared})

    def _update(self, suspects: dict[SuspectKey, Suspect]) -> None:
        now = self._clock.now()
        held = frozenset(
            key
            for key, suspect in suspects.items()
            if suspect.weight > WEIGHT_CLEARED_LATER
        )
        for key in held - self._known:
            self._reported_at[key[0]] = now
        self._known = held
        before = self._assessments
        self._assessments = assess_suspects(suspects.values())
        self._reported_at = {
            fingerprint: self._reported_at[fingerprint]
            for fingerprint in self._assessments
        }
        self._log_quarantined(before)

    def _log_quarantined(self, before: dict[bytes, Assessment]) -> None:
        for fingerprint, assessment in self._assessments.items():
            if assessment.level is not SuspicionLevel.QUARANTINED:
                continue
            if assessment.weight > before.get(fingerprint, CLEAR).weight:
                _log.warning(
                    'request_quarantined',
                    extra={
                        'fingerprint': fingerprint.hex(),
                        'weight': assessment.weight,
                        'seconds': assessment.hold_s,
                    },
                )
