"""Delays the acknowledgement of a departure or a drain until it is kept.

What was acknowledged must outlive this daemon, which has no disk. The replicas
keep it.
"""

from asyncio import timeout
from logging import getLogger

from bilberry_core.announced_state import (
    AnnouncedState,
    AnnouncedStateTable,
    merge_states,
)
from bilberry_core.board import Board
from bilberry_core.settings import Role, Settings

_log = getLogger(__name__)

#: Longest time that an upstream waits for an acknowledgement, in seconds; one
#: that arrives after a second is none.
MAX_WAIT_S = 0.8
#: Maximum number of states that are not kept yet; the oldest are dropped first.
MAX_UNKEPT = 64


class StateAcknowledgement:
    """The states of upstreams beside this daemon that are not kept yet."""

    def __init__(self, settings: Settings, board: Board) -> None:
        """Writes `board.unkept_states`."""
        self._board = board
        self._kept = AnnouncedStateTable()
        self._has_replicas = bool(
            settings.relays
            or settings.replicas
            or settings.discovers_relays
            or Role.REPLICA in settings.roles
        )

    def ask(self, announced: AnnouncedState) -> None:
        """Asks the relays to have a state kept, unless it is.

        A fleet without replicas keeps none.
        """
        unkept = self._board.unkept_states.value
        if not self._has_replicas or announced in unkept:
            return
        if self._kept.covers(announced):
            return
        left = [one for one in unkept if not _covers(announced, one)]
        self._board.unkept_states.put((*left, announced)[-MAX_UNKEPT:])

    def resolve(self, told: tuple[AnnouncedState, ...]) -> None:
        """Removes states that are kept, or that kept ones have superseded."""
        self._kept = self._kept.add(told)
        unkept = self._board.unkept_states.value
        left = tuple(one for one in unkept if not self._kept.covers(one))
        if left != unkept:
            self._board.unkept_states.put(left)

    async def wait(self, upstream_id: str) -> bool:
        """Waits until every state of an upstream is kept; False if too long."""

        def is_kept(unkept: tuple[AnnouncedState, ...]) -> bool:
            return all(
                one.upstream.upstream_id != upstream_id for one in unkept
            )

        try:
            async with timeout(MAX_WAIT_S):
                await self._board.unkept_states.wait_for(is_kept)
        except TimeoutError:
            _log.warning('state_not_kept', extra={'upstream': upstream_id})
            return False
        return True


def _covers(announced: AnnouncedState, other: AnnouncedState) -> bool:
    """Returns whether `other` need not be kept beside a state."""
    if announced.upstream.upstream_id != other.upstream.upstream_id:
        return False
    return merge_states(announced, other) is announced
