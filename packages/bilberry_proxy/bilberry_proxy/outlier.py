"""Ejects endpoints that fail again and again, and probes them back.

An ejected endpoint gets no calls for a while that grows with each ejection.
When the while is over it gets one call at a time; one more failure ejects it
again, one success clears it. Only a share of a service may be ejected at once.
"""

from collections.abc import Sequence

from bilberry_core.verdict import Failure, FailureCode

from bilberry_proxy.endpoint_load import EndpointLoad

#: Failures in a row that eject an endpoint.
FAILURES_TO_EJECT = 3
#: Length of the first ejection, in seconds.
EJECTION_S = 1.0
#: Longest ejection, in seconds.
MAX_EJECTION_S = 30.0
#: Largest share of a service's endpoints that may be ejected at once.
MAX_EJECTED_SHARE = 0.5

#: Failures that speak against the endpoint itself.
_ENDPOINT_FAILURE_CODES = frozenset(
    (
        FailureCode.UPSTREAM_UNREACHABLE,
        FailureCode.UPSTREAM_CLOSED,
        FailureCode.UPSTREAM_MALFORMED,
        FailureCode.UPSTREAM_CRASHED,
        FailureCode.STREAM_LOST,
        FailureCode.NO_ENDPOINT,
        FailureCode.ENDPOINT_SILENT,
    ),
)
#: Failures that eject an endpoint the first time: a daemon that doesn't even
#: answer a probe keeps every call that goes there until its time is over.
_EJECT_AT_ONCE_CODES = frozenset((FailureCode.ENDPOINT_SILENT,))
#: An attempt that took this many times the usual latency speaks against it.
LATE_FACTOR = 5
_US_PER_S = 1_000_000


def count_success(load: EndpointLoad) -> None:
    """Clears an endpoint."""
    load.failures = 0
    load.ejections = 0
    load.ejected_until = 0


def count_failure(
    load: EndpointLoad,
    peers: Sequence[EndpointLoad],
    failure: Failure,
    now: float,
    lasted_s: float = 0,
) -> bool:
    """Counts a failure; True where it ejects the endpoint.

    `peers` are all endpoints of the service, `now` is monotonic time and
    `lasted_s` the time that the attempt took, in seconds.
    """
    if load.ejected_until > now or not _is_endpoint_failure(
        load, failure, lasted_s
    ):
        return False
    ejects_at_once = failure.code in _EJECT_AT_ONCE_CODES
    load.failures += FAILURES_TO_EJECT if ejects_at_once else 1
    if load.failures < FAILURES_TO_EJECT and not load.ejections:
        return False
    if not may_eject(peers, now):
        return False
    length = EJECTION_S * (1 << load.ejections)
    load.ejected_until = now + min(length, MAX_EJECTION_S)
    load.ejections = min(load.ejections + 1, 5)
    load.failures = 0
    return True


def may_eject(peers: Sequence[EndpointLoad], now: float) -> bool:
    """Tells whether one more of a service's endpoints may be ejected."""
    ejected = sum(1 for peer in peers if peer.ejected_until > now)
    return ejected + 1 <= len(peers) * MAX_EJECTED_SHARE


def _is_endpoint_failure(
    load: EndpointLoad, failure: Failure, lasted_s: float
) -> bool:
    if failure.code is FailureCode.DEADLINE:
        return lasted_s * _US_PER_S > load.latency_us * LATE_FACTOR
    return failure.code in _ENDPOINT_FAILURE_CODES
