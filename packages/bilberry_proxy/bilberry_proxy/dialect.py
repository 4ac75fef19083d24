"""The header names that callers and upstreams of a deployment use.

The proxy speaks its own names unless it is given others. An empty name
switches off what the header is for.
"""

from typing import NamedTuple


class HttpDialect(NamedTuple):
    """Names of headers, in lower case, and what answers must hold.

    `deadline`
        Milliseconds that the caller, or the proxy towards an upstream, waits.
    `retried`
        Set where a proxy has spent retries on the request.
    `verdict`
        The verdict of a failure, for callers; upstreams use it to decline.
    `not_run`
        Set by an upstream on an answer to a request that it did not run.
    `request_id`
        The caller's name of the request, which upstreams repeat.
    `signature`
        What each successful answer of an upstream bears.
    `caller_service`
        The service beside the proxy that the caller reached.
    `expected_upstream`
        The identity of the upstream that may run the request.
    `fractional_retry_after`
        Whether `Retry-After` has fractions of a second (default: False).
    `close_delimited`
        Whether an answer may end with its connection (default: False).
    """

    deadline: bytes = b'bilberry-deadline-ms'
    retried: bytes = b'bilberry-retried'
    verdict: bytes = b'bilberry-verdict'
    not_run: bytes = b''
    request_id: bytes = b''
    signature: bytes = b''
    caller_service: bytes = b''
    expected_upstream: bytes = b''
    fractional_retry_after: bool = False
    close_delimited: bool = False


#: The names of the product's own interface.
OWN_DIALECT = HttpDialect()
