"""Parses the parts of a caller's HTTP request that routing uses."""

from hashlib import blake2b
from typing import NamedTuple

from bilberry_core.verdict import Failure, FailureCode, Verdict
from h11 import Request
from returns.result import Failure as Refused
from returns.result import Result, Success

from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.http_headers import (
    Headers,
    select_request_headers,
)

#: Longest `Idempotency-Key`, in bytes.
MAX_KEY_BYTES = 255
#: Longest deadline that a caller may request, in milliseconds.
MAX_DEADLINE_MS = 600_000
_MAX_DEADLINE_DIGITS = 32
_FINGERPRINT_BYTES = 16


class CallerRequest(NamedTuple):
    """A request as received from the caller, without its body.

    `deadline_ms` is 0 if the caller set no deadline. `retried` tells whether
    a daemon nearer to the caller has already retried the request.
    """

    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    deadline_ms: int
    key: str
    retried: bool


def parse_caller_request(
    start: Request,
    dialect: HttpDialect = OWN_DIALECT,
    caller_service: str = '',
) -> Result[CallerRequest, Failure]:
    """Returns the parsed request, or why it is invalid.

    If a header is repeated, its last occurrence is used. `caller_service` is
    the service beside this proxy.
    """
    headers = tuple(start.headers)
    found = dict(headers)
    deadline = found.get(dialect.deadline, b'')
    key = found.get(dialect.idempotency_key, b'')
    target = start.target
    refusal = _validate(start.method, target, key, dialect)
    if deadline and not _is_deadline(deadline):
        refusal = (
            f'header "{dialect.deadline.decode()}": expected 1 to '
            f'{MAX_DEADLINE_MS}, got {deadline!r}'
        )
    if refusal:
        return Refused(
            Failure(Verdict.NOT_RUN, FailureCode.BAD_REQUEST, refusal),
        )
    forwarded = select_request_headers(headers, dialect)
    if dialect.caller_service:
        forwarded += ((dialect.caller_service, caller_service.encode()),)
    host = found.get(b'host', b'').decode('latin-1').lower()
    return Success(
        CallerRequest(
            start.method,
            target,
            host.partition(':')[0],
            target.partition(b'?')[0].decode('latin-1'),
            forwarded,
            int(deadline or 0),
            key.decode('latin-1'),
            dialect.retried in found,
        ),
    )


class RequestOrigin(NamedTuple):
    """Who sends a request, and where it goes.

    `caller` is the service beside the proxy that received the request,
    `organisation` the name of the one whose key it bears; empty if unknown.
    """

    service: str
    caller: str = ''
    organisation: str = ''


def compute_content_digest(
    service: str,
    method: bytes,
    target: bytes,
    body: bytes,
) -> bytes:
    """Returns a digest that is the same for equal requests of all callers."""
    head = b'%b\n%b\n%b\n' % (service.encode(), method, target)
    digest = blake2b(head, digest_size=_FINGERPRINT_BYTES)
    digest.update(body)
    return digest.digest()


def compute_fingerprint(
    origin: RequestOrigin,
    method: bytes,
    target: bytes,
    body: bytes,
) -> bytes:
    """Returns a digest that is the same for equal requests of one caller."""
    digest = blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (*(name.encode() for name in origin), method, target):
        digest.update(b'%d:%b' % (len(part), part))
    digest.update(body)
    return digest.digest()


def _validate(
    method: bytes,
    target: bytes,
    key: bytes,
    dialect: HttpDialect,
) -> str:
    if len(key) > MAX_KEY_BYTES:
        return (
            f'header "{dialect.idempotency_key.decode()}": expected at most '
            f'{MAX_KEY_BYTES} bytes'
        )
    if method == b'CONNECT' or not target.startswith(b'/'):
        return 'expected a request target that begins with "/"'
    return ''


def _is_deadline(text: bytes) -> bool:
    if not text.isdigit() or len(text) > _MAX_DEADLINE_DIGITS:
        return False
    return 0 < int(text) <= MAX_DEADLINE_MS
