"""Ejects endpoints that fail repeatedly, and readmits them after a probe.

An ejected endpoint gets no calls for a time that grows with each ejection.
Afterwards it gets one call at a time: a failure ejects it again, a success
readmits it. Only a share of a service's endpoints may be ejected at once.
"""

from collections.abc import Sequence

from bilberry_core.verdict import Failure, FailureCode

from bilberry_proxy.endpoint_load import EndpointLoad

#: Consecutive failures that eject an endpoint.
FAILURES_TO_EJECT = 3
#: Length of the first ejection, in seconds.
EJECTION_S = 1.0
#: Longest ejection, in seconds.
MAX_EJECTION_S = 30.0
#: Largest share of a service's endpoints that may be ejected at once.
MAX_EJECTED_SHARE = 0.5

#: Failures that are attributed to the endpoint itself.
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
#: Failures that eject an endpoint at once. If a daemon does not even answer a
#: probe, every call to it would wait until its deadline.
_EJECT_AT_ONCE_CODES = frozenset((FailureCode.ENDPOINT_SILENT,))
#: A deadline failure is attributed to the endpoint if the attempt took more
#: than this multiple of the endpoint's usual latency.
LATE_FACTOR = 5
_US_PER_S = 1_000_000


def count_success(load: EndpointLoad) -> None:
    """Resets the failures and ejections of an endpoint."""
    load.failures = 0
    load.ejections = 0
    load.ejected_until = 0


def count_failure(
    load: EndpointLoad,
    peers: Sequence[EndpointLoad],
    failure: Failure,
    now: float,
    duration_s: float = 0,
) -> bool:
    """Counts a failure; returns whether it ejects the endpoint.

    `peers` are the endpoints of the service in the proxy's subset. `now` is
    monotonic time and `duration_s` the duration of the attempt, in seconds.
    """
    if load.ejected_until > now or not _is_endpoint_failure(
        load, failure, duration_s
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
    """Returns whether one more endpoint of a service may be ejected."""
    ejected = sum(1 for peer in peers if peer.ejected_until > now)
    return ejected + 1 <= len(peers) * MAX_EJECTED_SHARE


def _is_endpoint_failure(
    load: EndpointLoad, failure: Failure, duration_s: float
) -> bool:
    if failure.code is FailureCode.DEADLINE:
        return duration_s * _US_PER_S > load.latency_us * LATE_FACTOR
    return failure.code in _ENDPOINT_FAILURE_CODES
