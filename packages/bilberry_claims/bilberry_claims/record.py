"""What a holder keeps of one key, and its encoding in journals and pages."""

from typing import NamedTuple

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_claims.limit import MAX_WITHDRAWN
from bilberry_core.claim import ClaimKey, StoredAnswer
from bilberry_core.error import JournalError

#: Stands in a vote's place where votes were lost: never given to anyone.
UNKNOWN_TOKEN = b'?'


class ClaimRecord(NamedTuple):
    """A holder's vote on a key, and the answer once there is one.

    `token` is empty while the key is free. `expires_ms` is wall clock time
    in milliseconds. `is_dropped` where the answer was too large to store.
    """

    claim: ClaimKey
    token: bytes = b''
    fingerprint: bytes = b''
    expires_ms: int = 0
    answer: StoredAnswer | None = None
    is_dropped: bool = False
    withdrawn: tuple[bytes, ...] = ()

    @property
    def is_settled(self) -> bool:
        """Whether the request is known to have run."""
        return self.answer is not None or self.is_dropped


def encode_record(record: ClaimRecord) -> bytes:
    """Returns the encoding of a record."""
    return packb(record)


def decode_record(encoded: bytes) -> ClaimRecord:
    """Returns the record; raises `JournalError` where it is none."""
    try:
        return convert(unpackb(encoded, use_list=False), ClaimRecord)
    except (ValueError, ValidationError) as error:
        raise JournalError(f'no claim: {error}') from error


def free_record(record: ClaimRecord, token: bytes) -> ClaimRecord:
    """Returns the record after the withdrawal of a token."""
    if token in record.withdrawn:
        return record
    withdrawn = (*record.withdrawn, token)[-MAX_WITHDRAWN:]
    freed = record._replace(withdrawn=withdrawn)
    if record.token != token or record.is_settled:
        return freed
    return freed._replace(token=b'', fingerprint=b'')


def merge_records(own: ClaimRecord, other: ClaimRecord) -> ClaimRecord:
    """Returns what two holders know of one key, on the safe side.

    Two live votes of which neither is settled leave the key to nobody:
    either may have been granted.
    """
    for token in other.withdrawn:
        own = free_record(own, token)
    for token in own.withdrawn:
        other = free_record(other, token)
    expires_ms = max(own.expires_ms, other.expires_ms)
    chosen = _choose(own, other)
    return chosen._replace(expires_ms=expires_ms, withdrawn=own.withdrawn)


def _choose(own: ClaimRecord, other: ClaimRecord) -> ClaimRecord:
    if own.is_settled or not other.token:
        return own
    if other.is_settled or not own.token or own.token == other.token:
        return other
    return own._replace(token=UNKNOWN_TOKEN, fingerprint=b'')
