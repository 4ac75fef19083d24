"""The verdict on a failed request: whether an upstream may have run it.

Every request that ends without a response from its upstream ends with a
`Failure`. Its verdict decides whether the request may be retried.
"""

from enum import StrEnum
from typing import NamedTuple

from bilberry_core.bounds import SignedNumber


class Verdict(StrEnum):
    """Whether an upstream may have run a request."""

    #: Proven: no byte of the request reached an upstream.
    NOT_RUN = 'not_run'
    #: Not known: at least one byte may have reached an upstream.
    MAY_HAVE_RUN = 'may_have_run'
    #: Proven: an upstream began to respond.
    RAN = 'ran'


class FailureCode(StrEnum):
    """The cause of a failure; the codes are stable for scripts and alarms."""

    UNKNOWN_SERVICE = 'unknown_service'
    NO_ENDPOINT = 'no_endpoint'
    NO_CONFIGURATION = 'no_configuration'
    OVERLOADED = 'overloaded'
    DRAINING = 'draining'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    UPSTREAM_UNREACHABLE = 'upstream_unreachable'
    UPSTREAM_CLOSED = 'upstream_closed'
    UPSTREAM_MALFORMED = 'upstream_malformed'
    STREAM_LOST = 'stream_lost'
    QUARANTINED = 'quarantined'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    CLAIM_CONFLICT = 'claim_conflict'
    CLAIM_TAKEN = 'claim_taken'
    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    UPSTREAM_CRASHED = 'upstream_crashed'
    NO_FREE_SLOT = 'no_free_slot'
    UPSTREAM_DECLINED = 'upstream_declined'
    ENDPOINT_SILENT = 'endpoint_silent'
    UNAUTHORIZED = 'unauthorized'
    QUOTA_EXCEEDED = 'quota_exceeded'
    QUOTA_UNAVAILABLE = 'quota_unavailable'


class Failure(NamedTuple):
    """Why a request ended without a response from its upstream.

    `verdict`
        Whether an upstream may have run the request.
    `code`
        The cause.
    `detail`
        One human-readable sentence: what failed and where.
    `retry_after_ms`
        Time after which the caller may retry, in milliseconds; 0 if unknown.
    `retried`
        True if a daemon has already spent retries on the request, so that
        no other daemon adds retries of its own.
    """

    verdict: Verdict
    code: FailureCode
    detail: str = ''
    retry_after_ms: SignedNumber = 0
    retried: bool = False
