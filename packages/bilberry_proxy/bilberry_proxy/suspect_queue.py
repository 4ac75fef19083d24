"""Schedules suspects so that each runs alone at the upstream.

A suspect is a request that was in flight when an upstream crashed.
"""

from collections import deque
from typing import Generic, TypeVar

QueuedCall = TypeVar('QueuedCall')

#: Maximum number of suspects that wait for their turn.
MAX_SUSPECTS = 8


class SuspectQueue(Generic[QueuedCall]):
    """Suspects that wait for an idle upstream, and the one that runs.

    Between two suspects the other calls get one turn, so that suspects can't
    monopolise an upstream.
    """

    def __init__(self) -> None:
        self._waiting: deque[QueuedCall] = deque()
        self._running: QueuedCall | None = None
        self._is_suspects_turn = True

    @property
    def is_active(self) -> bool:
        """Whether a suspect waits or runs."""
        return bool(self._waiting) or self._running is not None

    @property
    def is_full(self) -> bool:
        """Whether no further suspect may wait."""
        return len(self._waiting) >= MAX_SUSPECTS

    @property
    def blocks_others(self) -> bool:
        """Whether no other call may start now."""
        if self._running is not None:
            return True
        return bool(self._waiting) and self._is_suspects_turn

    def push(self, call: QueuedCall) -> None:
        """Adds a suspect to the queue."""
        self._waiting.append(call)

    def start_next(self, outstanding: int) -> QueuedCall | None:
        """Removes and returns the suspect that may run now, or None.

        `outstanding` is the number of calls that run at the upstream.
        """
        if not self.blocks_others or self._running is not None or outstanding:
            return None
        self._running = self._waiting.popleft()
        return self._running

    def end(self, call: QueuedCall) -> None:
        """Ends the run of a suspect and gives other calls their turn."""
        if call is self._running:
            self._running = None
            self._is_suspects_turn = False

    def end_turn_of_others(self) -> None:
        """Ends the turn of the other calls."""
        self._is_suspects_turn = True

    def remove(self, call: QueuedCall) -> bool:
        """Removes a waiting suspect; returns whether it was queued."""
        if call not in self._waiting:
            return False
        self._waiting.remove(call)
        return True

    def clear(self) -> list[QueuedCall]:
        """Removes and returns every waiting suspect."""
        waiting = list(self._waiting)
        self._waiting.clear()
        return waiting
