"""Maps the outcome of a change to an HTTP status and a response body."""

from datetime import UTC, datetime
from http import HTTPStatus
from typing import Any

from bilberry_core.acceptance import (
    Accepted,
    ChangeIdReused,
    Conflict,
    HistoryEntry,
    NotAccepted,
    OutcomeUnknown,
    Refusal,
)
from bilberry_core.clock import MS_PER_S
from bilberry_core.http import HttpResponse
from returns.result import Failure, Result

from bilberry_operators.answer import (
    RefusedError,
    build_etag,
    build_json_response,
)


def answer_outcome(outcome: Result[Accepted, Refusal]) -> HttpResponse:
    """Returns the response to a change; raises `RefusedError` if refused."""
    if isinstance(outcome, Failure):
        refusal = outcome.failure()
        raise _ERROR_BUILDERS[type(refusal)](refusal)
    accepted = outcome.unwrap()
    status = HTTPStatus.OK if accepted.resent else HTTPStatus.CREATED
    return build_json_response(
        {'version': accepted.version, 'resent': accepted.resent},
        status,
        build_etag(accepted.version),
    )


def describe_entry(entry: HistoryEntry) -> dict[str, Any]:
    """Returns the metadata of an accepted version, without its content."""
    accepted = datetime.fromtimestamp(entry.accepted_ms / MS_PER_S, UTC)
    return {
        'version': entry.version,
        'term': entry.term,
        'digest': entry.digest.hex(),
        'change_id': entry.change_id,
        'author': entry.author,
        'note': entry.note,
        'accepted': accepted.isoformat(timespec='milliseconds'),
    }


def build_not_accepted_error(refusal: NotAccepted) -> RefusedError:
    """Returns the error for a request that no quorum of replicas served."""
    return RefusedError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'not_accepted',
        refusal.detail,
    )


def _build_conflict_error(refusal: Conflict) -> RefusedError:
    versions = ', '.join(str(entry.version) for entry in refusal.newer)
    return RefusedError(
        HTTPStatus.PRECONDITION_FAILED,
        'conflict',
        f'version {refusal.base_version} is no longer current; accepted since:'
        f' {versions or "a newer version"}',
        base_version=refusal.base_version,
        newer=[describe_entry(entry) for entry in refusal.newer],
    )


def _build_reused_error(refusal: ChangeIdReused) -> RefusedError:
    return RefusedError(
        HTTPStatus.CONFLICT,
        'change_id_reused',
        f'change ID "{refusal.change_id}" was used for version'
        f' {refusal.version} with other content',
        change_id=refusal.change_id,
        version=refusal.version,
    )


def _build_unknown_error(refusal: OutcomeUnknown) -> RefusedError:
    return RefusedError(
        HTTPStatus.GATEWAY_TIMEOUT,
        'outcome_unknown',
        f'{refusal.detail}; resend with change ID "{refusal.change_id}"',
        change_id=refusal.change_id,
    )


_ERROR_BUILDERS = {
    Conflict: _build_conflict_error,
    ChangeIdReused: _build_reused_error,
    NotAccepted: build_not_accepted_error,
    OutcomeUnknown: _build_unknown_error,
}
