"""Identifies the organisation of a request by its key.

Only the organisation's name goes on to the upstream, whatever the caller sent;
its key never does. A key that is given is checked, also where none is needed.
In a configuration without organisations requests are forwarded as they came.
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
from bilberry_proxy.http_headers import AUTHORIZATION

_SCHEME = b'bearer'

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

    `needs_no_key` tells that it is a call for a running request, which need not
    carry one. Credentials that are given have to be a key of one organisation
    in any case.
    """
    known = snapshot.organisations_by_key
    if known is None:
        return Success(IdentifiedRequest(request))
    holders = {
        _find_organisation(credentials, known)
        for name, credentials in request.headers
        if name == AUTHORIZATION and credentials
    }
    if not holders and (policy.anonymous or needs_no_key):
        return Success(_forward(request, None, dialect))
    if len(holders) != 1 or None in holders:
        return Refused(_UNAUTHORIZED)
    return Success(_forward(request, holders.pop(), dialect))


def _forward(
    request: CallerRequest,
    organisation: Organisation | None,
    dialect: HttpDialect,
) -> IdentifiedRequest:
    headers = tuple(
        header
        for header in request.headers
        if header[0] not in {AUTHORIZATION, dialect.organisation}
    )
    if organisation is not None:
        name = organisation.name.encode()
        headers = (*headers, (dialect.organisation, name))
    return IdentifiedRequest(request._replace(headers=headers), organisation)


def _find_organisation(
    credentials: bytes, known: dict[str, Organisation]
) -> Organisation | None:
    scheme, _, key = credentials.partition(b' ')
    if scheme.lower() != _SCHEME:
        return None
    return known.get(compute_key_digest(key.strip()))
