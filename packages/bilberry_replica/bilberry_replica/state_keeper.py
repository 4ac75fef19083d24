"""Has the states that a relay is asked to keep stored by a quorum."""

from asyncio import Event, sleep
from logging import getLogger
from typing import Self

from bilberry_core.acceptance import Acceptor
from bilberry_core.announced_state import AnnouncedState
from bilberry_core.board import Board
from bilberry_core.metric import Metrics
from returns.result import Success

from bilberry_replica.state_log import build_state_change

_log = getLogger(__name__)

#: Longest time that a change may take, in seconds.
SUBMIT_TIMEOUT_S = 2.0
#: Wait before states are logged again that were not, in seconds.
RETRY_S = 0.1
#: Maximum number of states in a change.
MAX_BATCH = 256


class StateKeeper:
    """Logs `board.states_to_keep` and writes `board.logged_states`.

    A change is logged at a time, with all states that are to be kept by then.
    One that was not confirmed is logged again; that changes nothing if it was.
    """

    def __init__(
        self, board: Board, acceptor: Acceptor, metrics: Metrics
    ) -> None:
        """Watches the board."""
        self._board = board
        self._acceptor = acceptor
        self._metrics = metrics
        self._is_asked = Event()
        board.states_to_keep.watch(self._on_states)

    @classmethod
    def from_board(
        cls, board: Board, acceptor: Acceptor, metrics: Metrics
    ) -> Self:
        """Builds the keeper of one replica."""
        return cls(board, acceptor, metrics)

    async def run(self) -> None:
        """Logs states until cancelled."""
        while True:
            await self._is_asked.wait()
            states = self._board.states_to_keep.value[:MAX_BATCH]
            if not states:
                self._is_asked.clear()
            elif not await self.keep(states):
                await sleep(RETRY_S)

    async def stop(self) -> None:
        """Does nothing: what was not logged is asked for again."""

    async def keep(self, states: tuple[AnnouncedState, ...]) -> bool:
        """Logs states; returns whether a quorum is known to have them."""
        change = build_state_change(states)
        decision = await self._acceptor.submit(change, SUBMIT_TIMEOUT_S)
        if not isinstance(decision, Success):
            self._metrics.incr('replica.states_unlogged', len(states))
            _log.warning(
                'states_unlogged',
                extra={
                    'upstreams': [one.upstream.upstream_id for one in states],
                    'cause': str(decision.failure()),
                },
            )
            return False
        self._metrics.incr('replica.states_logged', len(states))
        self._board.logged_states.put(states)
        return True

    def _on_states(self, states: tuple[AnnouncedState, ...]) -> None:
        if states:
            self._is_asked.set()
