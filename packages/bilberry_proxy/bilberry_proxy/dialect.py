"""What callers and upstreams of a deployment send, and what it means.

The proxy uses its own names unless it is given others. An empty name disables
the feature that the header serves.
"""

from typing import NamedTuple


class HttpDialect(NamedTuple):
    """Header names, in lower case, and what requests and responses may be.

    `deadline`
        How long the sender of the request waits for its response, in
        milliseconds: the caller, or the proxy that calls the upstream.
    `retried`
        Set if a proxy has already used retries for the request.
    `verdict`
        The verdict of a failure, for callers; upstreams set it to decline a
        request.
    `not_run`
        Set by an upstream on the response to a request that it did not run.
    `request_id`
        The caller's identifier of the request, which upstreams echo.
    `signature`
        Present on each successful response of an upstream.
    `caller_service`
        The service beside the proxy that received the request.
    `expected_upstream`
        The identity of the upstream that may run the request.
    `organisation`
        The organisation of a request, for its upstream.
    `rate_limit`
        The number of requests a second that the upstream accepts.
    `leaving`
        `1` on the responses of an upstream that is leaving.
    `fractional_retry_after`
        Whether `Retry-After` has fractions of a second (default: False).
    `close_delimited`
        Whether the end of the connection may delimit a response (default:
        False).
    `idempotency_key`
        The key by which a request is claimed, so that it runs at most once.
    `hosts_of_services`
        Whether the name and the hosts of a service lead to it where no route
        matches (default: True).
    """

    deadline: bytes = b'bilberry-deadline-ms'
    retried: bytes = b'bilberry-retried'
    verdict: bytes = b'bilberry-verdict'
    not_run: bytes = b''
    request_id: bytes = b''
    signature: bytes = b''
    caller_service: bytes = b''
    expected_upstream: bytes = b''
    organisation: bytes = b'bilberry-organisation'
    rate_limit: bytes = b'bilberry-rate-limit'
    leaving: bytes = b'bilberry-leaving'
    fractional_retry_after: bool = False
    close_delimited: bool = False
    idempotency_key: bytes = b'idempotency-key'
    hosts_of_services: bool = True


#: The default header names.
OWN_DIALECT = HttpDialect()
