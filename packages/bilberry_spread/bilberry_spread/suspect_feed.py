"""Exchanges the suspects of a proxy with its relay."""

from bilberry_core.board import Board, Suspect
from bilberry_core.clock import Clock
from bilberry_core.messages.spread import SuspectUpdate

from bilberry_spread.suspects import SuspectKey, merge_suspects


class SuspectFeed:
    """The suspects on the board, and which of them the relay knows."""

    def __init__(self, board: Board, clock: Clock) -> None:
        """Starts with nothing reported to the relay."""
        self._board = board
        self._clock = clock
        self._reported: dict[SuspectKey, Suspect] = {}

    def restart(self) -> None:
        """Marks every suspect as not reported; called for a new relay."""
        self._reported = {}

    def collect_new(self) -> tuple[Suspect, ...]:
        """Returns what is not reported yet and marks it as reported."""
        known = self._board.suspects.value
        new = tuple(
            suspect
            for key, suspect in known.items()
            if self._reported.get(key) != suspect
        )
        self._reported = known
        return new

    def expire(self) -> None:
        """Removes expired suspects."""
        if self._board.suspects.value:
            self.receive(SuspectUpdate(()))

    def receive(self, update: SuspectUpdate) -> None:
        """Merges suspects from the relay."""
        merged = merge_suspects(
            self._board.suspects.value,
            update.suspects,
            self._clock.wall_ms(),
        )
        self._reported = merged
        self._board.suspects.put(merged)
