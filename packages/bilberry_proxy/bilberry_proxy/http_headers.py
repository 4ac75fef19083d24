"""Header names of requests and responses, and which headers are forwarded.

Hop-by-hop headers are not forwarded.
"""

from collections.abc import Iterable

from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect

Headers = tuple[tuple[bytes, bytes], ...]

AUTHORIZATION = b'authorization'
RETRIED = OWN_DIALECT.retried
CODE = b'bilberry-code'
RETRY_AFTER = b'retry-after'
RETRY_AFTER_MS = b'bilberry-retry-after-ms'
CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'
CLOSE = (b'connection', b'close')

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        TRANSFER_ENCODING,
        b'upgrade',
        b'expect',
    ),
)


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Returns the first header named `name` (lower case), or no bytes."""
    for known, text in headers:
        if known == name:
            return text
    return b''


def select_request_headers(
    headers: Iterable[tuple[bytes, bytes]],
    dialect: HttpDialect = OWN_DIALECT,
) -> Headers:
    """Returns the headers of a request that go to the upstream.

    Headers that the proxy sets itself are left out.
    """
    overwritten = (
        dialect.deadline,
        dialect.retried,
        dialect.caller_service,
        dialect.expected_upstream,
    )
    return tuple(
        header
        for header in headers
        if header[0] not in _HOP_BY_HOP and header[0] not in overwritten
    )


def select_answer_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the headers of a response that go to the caller."""
    return tuple(header for header in headers if header[0] not in _HOP_BY_HOP)
