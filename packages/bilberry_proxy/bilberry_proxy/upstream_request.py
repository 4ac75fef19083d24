"""Builds requests to the upstream and classifies its responses."""

from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.call import CallStart
from bilberry_core.verdict import Verdict

from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.http_headers import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Headers,
    find_header,
)

_STATUS_MISDIRECTED = 421
_STATUS_CLASS_SIZE = 100
_DECLINING_STATUSES = frozenset((429, 503))


class UpstreamRequest(NamedTuple):
    """The start of a request to the upstream; `last` if no body follows.

    `request_id` is the identifier that the response echoes, empty if it
    echoes none.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    last: bool
    request_id: bytes = b''


def build_upstream_request(
    start: CallStart,
    remaining_s: float,
    dialect: HttpDialect = OWN_DIALECT,
    upstream_id: str = '',
) -> UpstreamRequest:
    """Returns the request of a call that has `remaining_s` seconds left.

    `upstream_id` is the identity of the upstream that may run it.
    """
    remaining_ms = max(1, int(remaining_s * MS_PER_S))
    added = [(dialect.deadline, str(remaining_ms).encode())]
    if dialect.expected_upstream and upstream_id:
        added.append((dialect.expected_upstream, upstream_id.encode()))
    return UpstreamRequest(
        start.method,
        start.target,
        (*start.headers, *added),
        start.body,
        start.last,
        find_header(start.headers, dialect.request_id),
    )


def frame_request(request: UpstreamRequest) -> list[tuple[bytes, bytes]]:
    """Returns the headers, with those that frame the body."""
    headers = list(request.headers)
    if find_header(headers, CONTENT_LENGTH):
        return headers
    if not request.last:
        headers.append((TRANSFER_ENCODING, b'chunked'))
    elif request.body:
        headers.append((CONTENT_LENGTH, str(len(request.body)).encode()))
    return headers


def is_declined(
    status: int,
    headers: Headers,
    dialect: HttpDialect = OWN_DIALECT,
) -> bool:
    """Returns whether an upstream declares that it did not run a request."""
    if is_misdirected(status, dialect):
        return True
    if dialect.not_run:
        return bool(find_header(headers, dialect.not_run))
    if status not in _DECLINING_STATUSES:
        return False
    return find_header(headers, dialect.verdict) == Verdict.NOT_RUN.encode()


def is_misdirected(status: int, dialect: HttpDialect) -> bool:
    """Returns whether a response is that of another upstream."""
    return bool(dialect.expected_upstream) and status == _STATUS_MISDIRECTED


def find_answer_fault(
    status: int,
    headers: Headers,
    dialect: HttpDialect,
) -> str:
    """Returns why a response can't be passed on; empty if it can."""
    is_success = status // _STATUS_CLASS_SIZE == 2
    if dialect.signature and is_success:
        if not find_header(headers, dialect.signature):
            return 'the response lacks the signature of its upstream'
    return ''


def is_stray(
    request: UpstreamRequest,
    headers: Headers,
    dialect: HttpDialect,
) -> bool:
    """Returns whether a response belongs to another request."""
    if not request.request_id:
        return False
    return find_header(headers, dialect.request_id) != request.request_id
