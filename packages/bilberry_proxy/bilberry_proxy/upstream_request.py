"""What is sent to the upstream, and whether it declined to run it."""

from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.call import CallStart
from bilberry_core.verdict import Verdict

from bilberry_proxy.http_headers import (
    CONTENT_LENGTH,
    DEADLINE,
    TRANSFER_ENCODING,
    VERDICT,
    Headers,
    find_header,
)

_DECLINING_STATUSES = frozenset((429, 503))


class UpstreamRequest(NamedTuple):
    """The start of a request to the upstream; `last` without more body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    last: bool


def build_upstream_request(start: CallStart, left_s: float) -> UpstreamRequest:
    """Returns the request of a call that has `left_s` seconds left."""
    left_ms = max(1, int(left_s * MS_PER_S))
    deadline = (DEADLINE, str(left_ms).encode())
    return UpstreamRequest(
        start.method,
        start.target,
        (*start.headers, deadline),
        start.body,
        start.last,
    )


def frame_request(request: UpstreamRequest) -> list[tuple[bytes, bytes]]:
    """Returns the headers, with a framing for the body."""
    headers = list(request.headers)
    if find_header(headers, CONTENT_LENGTH):
        return headers
    if not request.last:
        headers.append((TRANSFER_ENCODING, b'chunked'))
    elif request.body:
        headers.append((CONTENT_LENGTH, str(len(request.body)).encode()))
    return headers


def is_declined(status: int, headers: Headers) -> bool:
    """Tells whether an upstream says that it did not run the request."""
    if status not in _DECLINING_STATUSES:
        return False
    return find_header(headers, VERDICT) == Verdict.NOT_RUN.encode()
