"""Tracks the services that this proxy needs endpoints for.

A proxy subscribes to the endpoints of a service on its first use, so the first
requests wait a bounded time for them. Later requests do not wait.
"""

from bilberry_core.board import Board

#: Longest wait for the endpoints of a service on its first use, in seconds.
FIRST_USE_WAIT_S = 1.0


class ServiceInterest:
    """The services that callers of this proxy have used."""

    def __init__(self, board: Board) -> None:
        self._board = board
        self._registered_at: dict[str, float] = {}

    def register(self, service: str, now: float) -> None:
        """Subscribes to the endpoints of a service on its first use."""
        if service in self._registered_at:
            return
        self._registered_at[service] = now
        requested = self._board.requested_services
        requested.put(requested.value | {service})

    def get_wait_deadline(self, service: str) -> float:
        """Returns the monotonic time until which requests wait for endpoints.

        It is in seconds.
        """
        return self._registered_at[service] + FIRST_USE_WAIT_S
