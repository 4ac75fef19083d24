"""Which services this proxy routes to, and how long to wait for endpoints.

Endpoints are asked for on the first use of a service, so the first requests
wait a bounded time for them; later ones are answered at once.
"""

from bilberry_core.board import Board

#: Longest wait for the endpoints of a service on its first use, in seconds.
FIRST_USE_WAIT_S = 1.0


class ServiceInterest:
    """The services that callers of this proxy have asked for."""

    def __init__(self, board: Board) -> None:
        """Starts with no service."""
        self._board = board
        self._registered_at: dict[str, float] = {}

    def register(self, service: str, now: float) -> None:
        """Asks for the endpoints of a service."""
        if service in self._registered_at:
            return
        self._registered_at[service] = now
        wanted = self._board.wanted_services
        wanted.put(wanted.value | {service})

    def get_wait_deadline(self, service: str) -> float:
        """Returns until when requests wait for endpoints, monotonic time."""
        return self._registered_at[service] + FIRST_USE_WAIT_S
