"""Orders, shows and cancels roll-outs, on a daemon with the replica role."""

from http import HTTPStatus
from typing import Annotated, Any, Protocol

from bilberry_core.acceptance import (
    Accepted,
    Conflict,
    NotAccepted,
    Refusal,
)
from bilberry_core.board import Board
from bilberry_core.bounds import Line
from bilberry_core.http import HttpResponse
from bilberry_core.json_body import decode_json
from bilberry_core.rollout import (
    WHOLE_PPM,
    Rollout,
    RolloutOrder,
    RolloutTable,
)
from msgspec import Meta, Struct
from returns.result import Failure, Result

from bilberry_operators.answer import RefusedError, build_json_response
from bilberry_operators.precondition import check_token
from bilberry_operators.router import RoutedRequest

#: Timeout of an order, a cancellation or a read, in seconds.
ROLLOUT_TIMEOUT_S = 3.0
_OPERATOR = 'operator'
_MAX_DURATION_MS = 7 * 24 * 3_600_000
_Name = Annotated[Line, Meta(min_length=1)]


class OrderBody(Struct, forbid_unknown_fields=True):
    """The JSON body of an order."""

    service: _Name
    version: _Name
    duration_ms: Annotated[int, Meta(ge=1, le=_MAX_DURATION_MS)]


class RolloutOrders(Protocol):
    """The roll-outs in the replicated log."""

    async def order(
        self, order: RolloutOrder, author: str, timeout_s: float
    ) -> Result[Accepted, Refusal]:
        """Orders a roll-out."""

    async def cancel(
        self, service: str, author: str, timeout_s: float
    ) -> Result[Accepted, Refusal]:
        """Rolls an open roll-out back."""

    async def read(self, timeout_s: float) -> Result[RolloutTable, NotAccepted]:
        """Returns the newest roll-outs, confirmed by a quorum."""


class RouteEvidenceView(Protocol):
    """The evidence on one route."""

    answers: int
    bad: int
    old_answers: float
    old_bad: float


class EvidenceReader(Protocol):
    """What this replica knows of the evidence on a roll-out."""

    def read_evidence(self, service: str) -> dict[str, RouteEvidenceView]:
        """Returns the evidence by route; empty if nothing is known."""


class RolloutResource:
    """The HTTP resource of the roll-outs of services."""

    def __init__(
        self,
        orders: RolloutOrders,
        evidence: EvidenceReader,
        board: Board,
        token: str,
    ) -> None:
        self._orders = orders
        self._evidence = evidence
        self._board = board
        self._token = token

    async def order(self, routed: RoutedRequest) -> HttpResponse:
        """Orders a roll-out.

        Raises `RefusedError` for an invalid order, an unknown service, or
        while another roll-out of the service is open.
        """
        check_token(routed.request, self._token)
        try:
            body = decode_json(routed.request.body, OrderBody)
        except ValueError as error:
            raise RefusedError(
                HTTPStatus.BAD_REQUEST, 'bad_request', str(error)
            ) from error
        self._check_service(body.service)
        outcome = await self._orders.order(
            RolloutOrder(body.service, body.version, body.duration_ms),
            _OPERATOR,
            ROLLOUT_TIMEOUT_S,
        )
        return _build_outcome(body.service, outcome)

    async def show(self, routed: RoutedRequest) -> HttpResponse:
        """Returns the newest roll-out of a service, with its evidence."""
        table = await self._orders.read(ROLLOUT_TIMEOUT_S)
        if isinstance(table, Failure):
            raise RefusedError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no_quorum',
                table.failure().detail,
            )
        rollout = table.unwrap().find(routed.segment)
        if rollout is None:
            raise RefusedError(
                HTTPStatus.NOT_FOUND,
                'no_rollout',
                f'service "{routed.segment[:63]}" had no roll-out',
            )
        evidence = self._evidence.read_evidence(rollout.service)
        return build_json_response(_describe(rollout, evidence))

    async def cancel(self, routed: RoutedRequest) -> HttpResponse:
        """Rolls the open roll-out of a service back."""
        check_token(routed.request, self._token)
        outcome = await self._orders.cancel(
            routed.segment, _OPERATOR, ROLLOUT_TIMEOUT_S
        )
        return _build_outcome(routed.segment, outcome)

    def _check_service(self, service: str) -> None:
        accepted = self._board.accepted.value
        known = accepted.configuration.services if accepted else ()
        if service not in {declared.name for declared in known}:
            raise RefusedError(
                HTTPStatus.NOT_FOUND,
                'unknown_service',
                f'the configuration declares no service "{service}"',
            )


def _build_outcome(
    service: str, outcome: Result[Accepted, Refusal]
) -> HttpResponse:
    if not isinstance(outcome, Failure):
        accepted = outcome.unwrap()
        return build_json_response(
            {
                'service': service,
                'number': accepted.version,
                'resent': accepted.resent,
            },
            HTTPStatus.ACCEPTED,
        )
    refusal = outcome.failure()
    if isinstance(refusal, Conflict):
        raise RefusedError(
            HTTPStatus.CONFLICT,
            'rollout_conflict',
            'another roll-out of the service is open, or none to cancel',
        )
    if isinstance(refusal, NotAccepted):
        raise RefusedError(
            HTTPStatus.SERVICE_UNAVAILABLE, 'not_accepted', refusal.detail
        )
    raise RefusedError(
        HTTPStatus.GATEWAY_TIMEOUT,
        'outcome_unknown',
        'the order may still be accepted: send the same one again',
    )


def _describe(
    rollout: Rollout, evidence: dict[str, RouteEvidenceView]
) -> dict[str, Any]:
    return {
        'service': rollout.service,
        'version': rollout.version,
        'state': rollout.state.value,
        'share': rollout.share_ppm / WHOLE_PPM,
        'upstreams': rollout.upstreams,
        'started_ms': rollout.started_ms,
        'duration_ms': rollout.duration_ms,
        'changed_ms': rollout.changed_ms,
        'reason': rollout.reason,
        'routes': [
            {
                'route': route,
                'answers': seen.answers,
                'bad': seen.bad,
                'old_answers': round(seen.old_answers),
                'old_bad': round(seen.old_bad),
            }
            for route, seen in sorted(evidence.items())
        ],
    }
