"""Tells on the blackboard whether the beacon moves, on a replica."""

from logging import getLogger

from bilberry_core.board import Board
from bilberry_core.clock import MS_PER_S
from bilberry_core.settings import Settings

from bilberry_spread.edges import Edges

_log = getLogger(__name__)


class BeaconWatch:
    """Puts `board.stale_since` where no source is attached to."""

    def __init__(self, settings: Settings, board: Board, edges: Edges) -> None:
        """Starts with the beacon on the blackboard, as if it came now."""
        self._stale_s = settings.timing.stale_ms / MS_PER_S
        self._board = board
        self._edges = edges
        self._beacon = board.beacon.value
        self._moved = edges.clock.now()

    def tick(self) -> None:
        """Notes a beacon that moved, or one that stands still."""
        now = self._edges.clock.now()
        if self._board.beacon.value != self._beacon:
            self._beacon = self._board.beacon.value
            self._moved = now
        put_stale_since(
            self._board,
            self._edges,
            self._moved if now - self._moved >= self._stale_s else None,
        )


def put_stale_since(
    board: Board,
    edges: Edges,
    stale_since: float | None,
) -> None:
    """Puts since when no beacon has moved, and tells log and metrics."""
    if board.stale_since.value == stale_since:
        return
    board.stale_since.put(stale_since)
    is_stale = stale_since is not None
    edges.metrics.gauge('spread.stale', int(is_stale))
    event = 'beacon_stale' if is_stale else 'beacon_current'
    beacon = board.beacon.value
    _log.warning(event, extra={'version': beacon.version if beacon else 0})
