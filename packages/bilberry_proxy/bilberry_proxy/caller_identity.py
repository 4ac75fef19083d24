"""Identifies the organisation of a request by its key.

Only the organisation's name goes on to the upstream, whatever the caller sent;
its key never does. In a configuration without organisations requests are
forwarded as they came.
"""

from typing import NamedTuple

from bilberry_core.organisation import Organisation, compute_key_digest
from bilberry_core.policy import CallPolicy
from bilberry_core.snapshot import Snapshot
from bilberry_core.verdict import Failure, FailureCode, Verdict
from returns.result import Failure as Refused
from returns.result import Result, Success

from bilberry_proxy.caller_request import CallerRequest
from bilberry_proxy.dialect import HttpDialect
from bilberry_proxy.http_headers import AUTHORIZATION, Headers, find_header

_BEARER = b'bearer '

#: The same for a missing and for an unknown key, and it names neither.
_UNAUTHORIZED = Failure(
    Verdict.NOT_RUN,
    FailureCode.UNAUTHORIZED,
    'no organisation holds the key of the request',
)


class IdentifiedRequest(NamedTuple):
    """A request as it is forwarded, and its organisation; None if unknown."""

    request: CallerRequest
    organisation: Organisation | None = None


def identify_caller(
    request: CallerRequest,
    snapshot: Snapshot,
    policy: CallPolicy,
    dialect: HttpDialect,
    *,
    needs_no_key: bool,
) -> Result[IdentifiedRequest, Failure]:
    """Returns the request with its organisation, or refuses its key.

    `needs_no_key` tells that it is a call for a running request, which carries
    none.
    """
    known = snapshot.organisations_by_key
    if known is None:
        return Success(IdentifiedRequest(request))
    organisation = _find_organisation(request.headers, known)
    if organisation is None and not (policy.anonymous or needs_no_key):
        return Refused(_UNAUTHORIZED)
    headers = tuple(
        header
        for header in request.headers
        if header[0] not in {AUTHORIZATION, dialect.organisation}
    )
    if organisation is not None:
        name = organisation.name.encode()
        headers = (*headers, (dialect.organisation, name))
    return Success(
        IdentifiedRequest(request._replace(headers=headers), organisation)
    )


def _find_organisation(
    headers: Headers, known: dict[str, Organisation]
) -> Organisation | None:
    text = find_header(headers, AUTHORIZATION)
    if text[: len(_BEARER)].lower() != _BEARER:
        return None
    digest = compute_key_digest(text[len(_BEARER) :].strip())
    return known.get(digest)
