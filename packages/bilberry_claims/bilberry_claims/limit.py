"""Limits of a holder's store."""

from typing import NamedTuple

from bilberry_core.claim import MAX_ANSWER_BYTES


class ClaimLimits(NamedTuple):
    """Limits of one holder's store. New in version 0.1.

    `max_claims`
        Most keys stored; a full store refuses new ones (default: 500000).
    `max_bytes`
        Encoded size of all claims with their responses (default: 256 MiB).
    `max_answer_bytes`
        Largest response stored; of a larger one the store records only
        that the request ran (default: 64 KiB).
    `compact_bytes`
        Smallest size at which the journal is rewritten, provided that half
        of it is outdated (default: 16 MiB).
    """

    max_claims: int = 500_000
    max_bytes: int = 256 << 20
    max_answer_bytes: int = MAX_ANSWER_BYTES
    compact_bytes: int = 16 << 20


#: Shortest retention, in seconds: a claim must outlive its request.
MIN_RETENTION_S = 60
#: Longest idempotency key, in bytes.
MAX_KEY_BYTES = 256
#: Most withdrawn tokens stored for a key.
MAX_WITHDRAWN = 16
#: Most conflicting votes stored for a key. A key with more of them can't be
#: claimed until it expires.
MAX_DISPUTED = 8
#: How long the withdrawn tokens of a free key are stored, in milliseconds.
WITHDRAWN_MS = 60_000
