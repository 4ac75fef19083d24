"""Detects on a replica that the beacon has stopped advancing."""

from logging import getLogger

from bilberry_core.board import Board
from bilberry_core.clock import MS_PER_S
from bilberry_core.settings import Settings

from bilberry_spread.runtime import Runtime

_log = getLogger(__name__)


class BeaconMonitor:
    """Monitor that sets `board.stale_since` on a daemon without a source."""

    def __init__(
        self,
        settings: Settings,
        board: Board,
        runtime: Runtime,
    ) -> None:
        """Treats the beacon on the blackboard as received now."""
        self._stale_s = settings.timing.stale_ms / MS_PER_S
        self._board = board
        self._runtime = runtime
        self._beacon = board.beacon.value
        self._last_advance = runtime.clock.now()

    def tick(self) -> None:
        """Checks whether the beacon has advanced or become stale."""
        now = self._runtime.clock.now()
        if self._board.beacon.value != self._beacon:
            self._beacon = self._board.beacon.value
            self._last_advance = now
        put_stale_since(
            self._board,
            self._runtime,
            self._last_advance
            if now - self._last_advance >= self._stale_s
            else None,
        )


def put_stale_since(
    board: Board,
    runtime: Runtime,
    stale_since: float | None,
) -> None:
    """Updates `board.stale_since`; logs a change and sets the metric."""
    if board.stale_since.value == stale_since:
        return
    board.stale_since.put(stale_since)
    is_stale = stale_since is not None
    runtime.metrics.gauge('spread.stale', int(is_stale))
    event = 'beacon_stale' if is_stale else 'beacon_current'
    beacon = board.beacon.value
    source = board.source.value
    _log.warning(
        event,
        extra={
            'version': beacon.version if beacon else 0,
            'source': source.instance if source else '',
        },
    )
