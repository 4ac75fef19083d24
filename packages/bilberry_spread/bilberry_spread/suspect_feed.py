"""The suspects of a proxy: what it tells its relay, and what it hears."""

from bilberry_core.board import Board, Suspect
from bilberry_core.clock import Clock
from bilberry_core.messages.spread import SuspectUpdate

from bilberry_spread.suspects import SuspectKey, merge_suspects


class SuspectFeed:
    """Keeps `board.suspects` in step with the relay."""

    def __init__(self, board: Board, clock: Clock) -> None:
        """Has told the relay nothing."""
        self._board = board
        self._clock = clock
        self._reported: dict[SuspectKey, Suspect] = {}

    def restart(self) -> None:
        """Notes that another relay has to be told everything."""
        self._reported = {}

    def collect_new(self) -> tuple[Suspect, ...]:
        """Returns the suspects that the relay was not told."""
        known = self._board.suspects.value
        new = tuple(known[key] for key in known if key not in self._reported)
        self._reported = known
        return new

    def expire(self) -> None:
        """Removes suspects whose time is over."""
        if self._board.suspects.value:
            self.receive(SuspectUpdate(()))

    def receive(self, update: SuspectUpdate) -> None:
        """Takes suspects that the relay tells."""
        merged = merge_suspects(
            self._board.suspects.value,
            update.suspects,
            self._clock.wall_ms(),
        )
        self._reported = merged
        self._board.suspects.put(merged)
