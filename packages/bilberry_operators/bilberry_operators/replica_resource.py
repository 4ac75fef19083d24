"""Removes replicas from the fleet, on a daemon with the replica role."""

from http import HTTPStatus
from logging import getLogger
from typing import Protocol

from bilberry_core.board import Board
from bilberry_core.http import HttpResponse

from bilberry_operators.answer import RefusedError, build_json_response
from bilberry_operators.precondition import check_token
from bilberry_operators.router import RoutedRequest

_log = getLogger(__name__)

#: Timeout of a removal through the leader, in seconds.
REMOVAL_TIMEOUT_S = 5.0


class Membership(Protocol):
    """The membership of the replicas, changed through the replicated log."""

    async def remove_replica(self, instance: str, timeout_s: float) -> bool:
        """Removes a replica through the leader.

        Returns False where the leader did not append the removal to its log.
        """


class ReplicaResource:
    """The HTTP resource of the replicas of the fleet."""

    def __init__(
        self, membership: Membership, board: Board, token: str
    ) -> None:
        self._membership = membership
        self._board = board
        self._token = token

    async def remove(self, routed: RoutedRequest) -> HttpResponse:
        """Removes the replica named in the path.

        Raises `RefusedError` where it is not a member or the leader did not
        log the removal.
        """
        check_token(routed.request, self._token)
        status = self._board.replica.value
        members = status.members if status else ()
        if routed.segment not in members:
            raise RefusedError(
                HTTPStatus.NOT_FOUND,
                'unknown_replica',
                f'"{routed.segment[:63]}" is not a replica; the replicas are:'
                f' {", ".join(members) or "none known"}',
            )
        proposed = await self._membership.remove_replica(
            routed.segment,
            REMOVAL_TIMEOUT_S,
        )
        _log.info(
            'replica_removal',
            extra={'replica': routed.segment, 'proposed': proposed},
        )
        if proposed:
            return build_json_response(
                {'removing': routed.segment},
                HTTPStatus.ACCEPTED,
            )
        raise RefusedError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'not_removed',
            f'no leader logged the removal of "{routed.segment}"',
        )
