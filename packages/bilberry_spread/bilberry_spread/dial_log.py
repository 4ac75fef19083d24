"""Records how each dial of a source ended.

A dial ends when its source sends a beacon, or when the stream is given up or
lost before that. Without this record a daemon that can't reach any relay looks
like one that does not try.
"""

from enum import StrEnum
from logging import getLogger

from bilberry_core.clock import MS_PER_S, Clock
from bilberry_core.metric import Metrics

from bilberry_spread.source import Source

_log = getLogger(__name__)

#: Decimals of the durations in log lines, in seconds.
_DECIMALS = 3


class DialOutcome(StrEnum):
    """The way in which a dial ended."""

    #: The source sent a beacon.
    BEACON = 'beacon'
    #: The source refused the join and asked to retry later.
    BUSY = 'busy'
    #: The connection or the handshake failed, or the stream was closed.
    CLOSED = 'closed'
    #: No beacon arrived in the time that this daemon waits for one.
    TIMEOUT = 'timeout'
    #: Another source became current first.
    OBSOLETE = 'obsolete'


class DialLog:
    """Logs and counts the outcome of each dial."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics

    def record(self, source: Source, outcome: DialOutcome) -> None:
        """Records the first outcome of a source; ignores later ones."""
        if source.is_dial_recorded:
            return
        source.is_dial_recorded = True
        seconds = self._clock.now() - source.since
        self._metrics.incr(f'spread.dials.{outcome}')
        self._metrics.timing(f'spread.dial.{outcome}', seconds * MS_PER_S)
        _log.info(
            'relay_dial_ended',
            extra={
                'chosen': source.peer.instance,
                'why': source.why,
                'outcome': outcome,
                'seconds': round(seconds, _DECIMALS),
                'open_after_s': _compute_open_after(source),
            },
        )

    def record_late_open(self, source: Source) -> None:
        """Records that a stream opened after its dial had ended."""
        self._metrics.incr('spread.dials.late')
        _log.info(
            'relay_dial_late',
            extra={
                'chosen': source.peer.instance,
                'why': source.why,
                'seconds': round(self._clock.now() - source.since, _DECIMALS),
            },
        )


def _compute_open_after(source: Source) -> float | None:
    if source.opened is None:
        return None
    return round(source.opened - source.since, _DECIMALS)
