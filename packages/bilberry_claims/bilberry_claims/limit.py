"""Bounds on what a holder keeps."""

from typing import NamedTuple

from bilberry_core.claim import MAX_ANSWER_BYTES


class ClaimLimits(NamedTuple):
    """Bounds of one holder. New in version 0.1.

    `max_claims`
        Keys kept at once; a full store refuses new ones (default: 500000).
    `max_bytes`
        Encoded bytes of all claims, answers included (default: 256 MiB).
    `max_answer_bytes`
        Largest answer stored; of a larger one only the fact that there was
        one is kept (default: 64 KiB).
    `compact_bytes`
        Size of the journal from which on it is rewritten once half of it is
        outdated (default: 16 MiB).
    """

    max_claims: int = 500_000
    max_bytes: int = 256 << 20
    max_answer_bytes: int = MAX_ANSWER_BYTES
    compact_bytes: int = 16 << 20


#: Shortest retention, in seconds: a claim must outlive its request.
MIN_RETENTION_S = 60
#: Longest idempotency key, in bytes.
MAX_KEY_BYTES = 256
#: Withdrawn tokens remembered for a key.
MAX_WITHDRAWN = 16
#: Conflicting votes remembered for a key; beyond that it stays with nobody.
MAX_DISPUTED = 8
#: How long a free key remembers withdrawn tokens, in milliseconds.
WITHDRAWN_MS = 60_000
