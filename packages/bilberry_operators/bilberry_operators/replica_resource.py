"""Removes a replica that is gone for good, on a daemon that is a replica."""

from http import HTTPStatus
from logging import getLogger
from typing import Protocol

from bilberry_core.board import Board
from bilberry_core.http import HttpResponse

from bilberry_operators.answer import RefusedError, answer_json
from bilberry_operators.precondition import check_token
from bilberry_operators.router import RoutedRequest

_log = getLogger(__name__)

#: Longest time that a removal waits for the leader, in seconds.
REMOVAL_TIMEOUT_S = 5.0


class Membership(Protocol):
    """Changes who the replicas are, through the replicated log."""

    async def remove_replica(self, instance: str, timeout_s: float) -> bool:
        """Has the leader log a removal; False where it did not."""


class ReplicaResource:
    """The replicas of the fleet."""

    def __init__(
        self, membership: Membership, board: Board, token: str
    ) -> None:
        """Keeps the membership and the operators' token."""
        self._membership = membership
        self._board = board
        self._token = token

    async def remove(self, routed: RoutedRequest) -> HttpResponse:
        """Removes the replica that the path names."""
        check_token(routed.request, self._token)
        status = self._board.replica.value
        members = status.members if status else ()
        if routed.segment not in members:
            raise RefusedError(
                HTTPStatus.NOT_FOUND,
                'unknown_replica',
                f'"{routed.segment[:63]}" is no replica; replicas are:'
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
            return answer_json(
                {'removing': routed.segment},
                HTTPStatus.ACCEPTED,
            )
        raise RefusedError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'not_removed',
            f'no leader logged the removal of "{routed.segment}"',
        )
