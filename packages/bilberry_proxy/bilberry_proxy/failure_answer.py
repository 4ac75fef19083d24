"""Builds the HTTP response that reports a failed request to its caller.

A table maps each failure code to its status, so that the status does not
depend on where the failure was detected.
"""

from math import ceil

from bilberry_core.clock import MS_PER_S
from bilberry_core.http import HttpResponse
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.http_headers import (
    CODE,
    RETRIED,
    RETRY_AFTER,
    RETRY_AFTER_MS,
)

_STATUS_BY_CODE = {
    FailureCode.UNKNOWN_SERVICE: 404,
    FailureCode.NO_ENDPOINT: 503,
    FailureCode.NO_CONFIGURATION: 503,
    FailureCode.OVERLOADED: 503,
    FailureCode.DRAINING: 503,
    FailureCode.UPSTREAM_DECLINED: 503,
    FailureCode.NO_FREE_SLOT: 503,
    FailureCode.DEADLINE: 504,
    FailureCode.ENDPOINT_SILENT: 504,
    FailureCode.CANCELLED: 499,
    FailureCode.UPSTREAM_UNREACHABLE: 502,
    FailureCode.UPSTREAM_CLOSED: 502,
    FailureCode.UPSTREAM_MALFORMED: 502,
    FailureCode.UPSTREAM_CRASHED: 502,
    FailureCode.STREAM_LOST: 502,
    FailureCode.QUARANTINED: 429,
    FailureCode.CLAIM_UNAVAILABLE: 503,
    FailureCode.CLAIM_CONFLICT: 422,
    FailureCode.CLAIM_TAKEN: 409,
    FailureCode.BAD_REQUEST: 400,
    FailureCode.TOO_LARGE: 413,
    FailureCode.UNAUTHORIZED: 401,
    FailureCode.QUOTA_EXCEEDED: 429,
    FailureCode.QUOTA_UNAVAILABLE: 503,
}
_STATUS_UNKNOWN = 502
_STATUS_UNAVAILABLE = 503
#: Statuses that tell the caller that the request did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def build_failure_answer(
    failure: Failure,
    dialect: HttpDialect = OWN_DIALECT,
) -> HttpResponse:
    """Returns the response that reports `failure` to a caller."""
    body = f'{failure.code}: {failure.detail}\n'.encode()
    headers = [
        (dialect.verdict, failure.verdict.encode()),
        (CODE, failure.code.encode()),
        (b'content-type', b'text/plain; charset=utf-8'),
    ]
    if failure.retried:
        headers.append((dialect.retried or RETRIED, b'1'))
    if failure.retry_after_ms:
        milliseconds = failure.retry_after_ms
        seconds = milliseconds / MS_PER_S
        if not dialect.fractional_retry_after:
            seconds = ceil(seconds)
        headers.append((RETRY_AFTER, str(seconds).encode()))
        headers.append((RETRY_AFTER_MS, str(milliseconds).encode()))
    return HttpResponse(get_status(failure), tuple(headers), body)


def get_status(failure: Failure) -> int:
    """Returns the HTTP status of a failure.

    A status that implies that the request did not run is returned only if that
    is proven.
    """
    status = _STATUS_BY_CODE.get(failure.code, _STATUS_UNKNOWN)
    if _may_be_retried(failure):
        status = _STATUS_UNAVAILABLE
    if status in _NOT_RUN_STATUSES and failure.verdict is not Verdict.NOT_RUN:
        return _STATUS_UNKNOWN
    return status


def _may_be_retried(failure: Failure) -> bool:
    """Returns whether a request that got no slot in time may be retried."""
    if failure.code is not FailureCode.DEADLINE or not failure.retry_after_ms:
        return False
    return failure.verdict is Verdict.NOT_RUN
