"""A holder's record of one key, and its encoding in journals and pages."""

from typing import NamedTuple

from bilberry_core.claim import ClaimKey, StoredAnswer
from bilberry_core.error import JournalError
from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_claims.limit import MAX_DISPUTED, MAX_WITHDRAWN


class Vote(NamedTuple):
    """A vote that is not withdrawn, with the fingerprint of its attempt."""

    token: bytes
    fingerprint: bytes


#: Replaces the votes beyond `MAX_DISPUTED`; it is never withdrawn.
_OVERFLOW_VOTE = Vote(b'?', b'')


class ClaimRecord(NamedTuple):
    """A holder's vote on a key, and the response once there is one.

    `votes` is empty while the key is free and has one vote otherwise. It has
    several if the holder copied conflicting votes from others; the holder
    then votes for no token until all but one are withdrawn. `expires_ms` is
    wall clock time in milliseconds. `is_dropped` is set if the response was
    too large to store.
    """

    claim: ClaimKey
    votes: tuple[Vote, ...] = ()
    expires_ms: int = 0
    answer: StoredAnswer | None = None
    is_dropped: bool = False
    withdrawn: tuple[bytes, ...] = ()

    @property
    def is_settled(self) -> bool:
        """Whether the request is known to have run."""
        return self.answer is not None or self.is_dropped

    @property
    def tokens(self) -> tuple[bytes, ...]:
        """The tokens of the live votes."""
        return tuple(vote.token for vote in self.votes)

    @property
    def fingerprint(self) -> bytes:
        """The fingerprint of the only live vote; empty if not exactly one."""
        return self.votes[0].fingerprint if len(self.votes) == 1 else b''


def encode_record(record: ClaimRecord) -> bytes:
    """Encodes a record."""
    return packb(record)


def decode_record(encoded: bytes) -> ClaimRecord:
    """Decodes a record; raises `JournalError` if it is malformed."""
    try:
        return convert(unpackb(encoded, use_list=False), ClaimRecord)
    except (ValueError, ValidationError) as error:
        raise JournalError(f'malformed claim record: {error}') from error


def withdraw_token(record: ClaimRecord, token: bytes) -> ClaimRecord:
    """Returns the record with a token withdrawn.

    Votes of a settled record stay.
    """
    if token in record.withdrawn:
        return record
    withdrawn = (*record.withdrawn, token)[-MAX_WITHDRAWN:]
    freed = record._replace(withdrawn=withdrawn)
    if record.is_settled:
        return freed
    votes = tuple(vote for vote in record.votes if vote.token != token)
    return freed._replace(votes=votes)


def merge_records(own: ClaimRecord, other: ClaimRecord) -> ClaimRecord:
    """Merges the records of two holders for one key.

    Live votes for different tokens are all kept, since any of them may have
    been granted.
    """
    for token in other.withdrawn:
        own = withdraw_token(own, token)
    for token in own.withdrawn:
        other = withdraw_token(other, token)
    expires_ms = max(own.expires_ms, other.expires_ms)
    chosen = _choose(own, other)
    return chosen._replace(expires_ms=expires_ms, withdrawn=own.withdrawn)


def _choose(own: ClaimRecord, other: ClaimRecord) -> ClaimRecord:
    if own.is_settled:
        return own
    if other.is_settled:
        return other
    votes = sorted({*own.votes, *other.votes})
    if len(votes) > MAX_DISPUTED:
        votes = [*votes[: MAX_DISPUTED - 1], _OVERFLOW_VOTE]
    return own._replace(votes=tuple(votes))
