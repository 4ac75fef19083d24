"""Tracks which proxies run an older version than the accepted one."""

from collections.abc import Mapping

from bilberry_core.board import Board
from bilberry_core.clock import Clock
from bilberry_core.settings import Role, Settings


def compute_behind_since(
    behind_since: Mapping[str, float],
    versions: Mapping[str, int],
    accepted: int,
    now: float,
) -> dict[str, float]:
    """Returns the time at which each lagging proxy fell behind.

    A proxy that is in `behind_since` keeps its time; others get `now`. Times
    are monotonic, in seconds.
    """
    return {
        instance: behind_since.get(instance, now)
        for instance, version in versions.items()
        if version < accepted
    }


def collect_versions(settings: Settings, board: Board) -> dict[str, int]:
    """Returns the version of each known proxy, including this daemon."""
    versions = dict(board.proxies.value)
    if Role.PROXY in settings.roles:
        snapshot = board.snapshot.value
        versions[settings.instance] = snapshot.version if snapshot else 0
    return versions


class LagTracker:
    """The proxies that run an older version than the accepted one.

    They are updated when a version on the blackboard changes.
    """

    def __init__(self, settings: Settings, board: Board, clock: Clock) -> None:
        """Subscribes to the accepted version and the proxies' versions."""
        self._settings = settings
        self._board = board
        self._clock = clock
        self._behind_since: dict[str, float] = {}
        self._cancel_callbacks = (
            board.accepted.watch(self._update),
            board.proxies.watch(self._update),
            board.snapshot.watch(self._update),
        )
        self._update(None)

    @property
    def behind_since(self) -> dict[str, float]:
        """The monotonic time in seconds at which each instance fell behind."""
        return self._behind_since

    def stop(self) -> None:
        """Cancels the subscriptions to the blackboard."""
        for cancel in self._cancel_callbacks:
            cancel()

    def _update(self, _changed: object) -> None:
        accepted = self._board.accepted.value
        self._behind_since = compute_behind_since(
            self._behind_since,
            collect_versions(self._settings, self._board),
            accepted.version if accepted else 0,
            self._clock.now(),
        )
