"""What a caller asks: the parts of an HTTP request that routing reads."""

from hashlib import blake2b
from typing import NamedTuple

from h11 import Request
from returns.result import Failure as Refused
from returns.result import Result, Success

from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.http_headers import (
    DEADLINE,
    IDEMPOTENCY_KEY,
    RETRIED,
    Headers,
    find_header,
    select_request_headers,
)

#: Longest `Idempotency-Key`, in bytes.
MAX_KEY_BYTES = 255
#: Longest deadline that a caller may ask for, in milliseconds.
MAX_DEADLINE_MS = 600_000
_FINGERPRINT_BYTES = 16


class CallerRequest(NamedTuple):
    """One request as its caller sent it, without its body.

    `deadline_ms` is 0 where the caller set none. `retried` tells that a
    daemon nearer to the caller has spent retries on it already.
    """

    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    deadline_ms: int
    key: str
    retried: bool


def parse_caller_request(start: Request) -> Result[CallerRequest, Failure]:
    """Returns what a caller asks, or why that can't be served."""
    headers = start.headers
    deadline = find_header(headers, DEADLINE)
    if deadline and not _is_deadline(deadline):
        return _refuse(f'header "bilberry-deadline-ms": {deadline!r}')
    key = find_header(headers, IDEMPOTENCY_KEY)
    if len(key) > MAX_KEY_BYTES:
        return _refuse('header "idempotency-key" is longer than 255 bytes')
    if start.method == b'CONNECT' or not start.target.startswith(b'/'):
        return _refuse('expected a request target that begins with "/"')
    host = find_header(headers, b'host').decode('latin-1').lower()
    target = start.target
    return Success(
        CallerRequest(
            start.method,
            target,
            host.partition(':')[0],
            target.partition(b'?')[0].decode('latin-1'),
            select_request_headers(headers),
            int(deadline or 0),
            key.decode('latin-1'),
            bool(find_header(headers, RETRIED)),
        ),
    )


def compute_fingerprint(
    service: str,
    method: bytes,
    target: bytes,
    body: bytes,
) -> bytes:
    """Returns the digest by which equal requests are known again."""
    head = b'%b\n%b\n%b\n' % (service.encode(), method, target)
    digest = blake2b(head, digest_size=_FINGERPRINT_BYTES)
    digest.update(body)
    return digest.digest()


def _is_deadline(text: bytes) -> bool:
    return text.isdigit() and 0 < int(text[:7]) <= MAX_DEADLINE_MS


def _refuse(detail: str) -> Result[CallerRequest, Failure]:
    return Refused(Failure(Verdict.NOT_RUN, FailureCode.BAD_REQUEST, detail))
