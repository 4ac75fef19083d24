"""What a caller is answered when a request fails: status, headers, body.

A table maps each failure code to its status, so that a status never depends
on the place that noticed the failure.
"""

from math import ceil

from bilberry_core.clock import MS_PER_S
from bilberry_core.http import HttpResponse
from bilberry_core.verdict import Failure, FailureCode

from bilberry_proxy.http_headers import (
    CODE,
    RETRIED,
    RETRY_AFTER,
    RETRY_AFTER_MS,
    VERDICT,
)

_STATUS_BY_CODE = {
    FailureCode.UNKNOWN_SERVICE: 404,
    FailureCode.NO_ENDPOINT: 503,
    FailureCode.NO_CONFIGURATION: 503,
    FailureCode.OVERLOADED: 503,
    FailureCode.DRAINING: 503,
    FailureCode.DEADLINE: 504,
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
}
_STATUS_UNKNOWN = 502


def build_failure_answer(failure: Failure) -> HttpResponse:
    """Returns the answer that tells a caller of `failure`."""
    body = f'{failure.code}: {failure.detail}\n'.encode()
    headers = [
        (VERDICT, failure.verdict.encode()),
        (CODE, failure.code.encode()),
        (b'content-type', b'text/plain; charset=utf-8'),
    ]
    if failure.retried:
        headers.append((RETRIED, b'1'))
    if failure.retry_after_ms:
        milliseconds = failure.retry_after_ms
        seconds = ceil(milliseconds / MS_PER_S)
        headers.append((RETRY_AFTER, str(seconds).encode()))
        headers.append((RETRY_AFTER_MS, str(milliseconds).encode()))
    status = _STATUS_BY_CODE.get(failure.code, _STATUS_UNKNOWN)
    return HttpResponse(status, tuple(headers), body)
