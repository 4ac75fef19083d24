"""Table of one holder's claims: bounded, expiring, encoded in memory.

Each method that changes a record returns its encoding, which the caller must
make durable before it replies, or None if nothing changed.
"""

from collections.abc import Mapping
from heapq import heappop, heappush

from bilberry_core.claim import ClaimKey
from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.claim import ClaimSettle, ClaimVote
from msgpack import packb

from bilberry_claims.limit import (
    MIN_RETENTION_S,
    WITHDRAWN_MS,
    ClaimLimits,
)
from bilberry_claims.record import (
    ClaimRecord,
    Vote,
    decode_record,
    encode_record,
    merge_records,
    withdraw_token,
)


class ClaimTable:
    """Encoded claim records by key, within the limits of a store."""

    def __init__(self, limits: ClaimLimits) -> None:
        """Starts empty; `limits` bound the number and size of claims."""
        self._limits = limits
        self._encoded: dict[bytes, bytes] = {}
        self._expiries: list[tuple[int, bytes]] = []
        self._bytes = 0

    def __len__(self) -> int:
        """Returns the number of keys."""
        return len(self._encoded)

    @property
    def encoded_bytes(self) -> int:
        """Size of all keys and records, in bytes."""
        return self._bytes

    @property
    def stored(self) -> Mapping[bytes, bytes]:
        """Encoded records by encoded key."""
        return self._encoded

    def read(self, claim: ClaimKey) -> ClaimRecord:
        """Returns the record of a key, or a record without votes."""
        encoded = self._encoded.get(_encode_key(claim))
        return ClaimRecord(claim) if encoded is None else decode_record(encoded)

    def is_full(self) -> bool:
        """Returns whether new keys must be refused."""
        return (
            len(self._encoded) >= self._limits.max_claims
            or self._bytes >= self._limits.max_bytes
        )

    def vote(self, message: ClaimVote, now_ms: int) -> bytes | None:
        """Votes for a token if the key is free and the table has room."""
        record = self.read(message.claim)
        if record.votes or message.token in record.withdrawn:
            return None
        if not self._has_room(record):
            return None
        return self._write(
            record._replace(
                votes=(Vote(message.token, message.fingerprint),),
                expires_ms=now_ms + _get_retention_ms(message),
            ),
            now_ms,
        )

    def settle(self, message: ClaimSettle, now_ms: int) -> bytes | None:
        """Stores the response of a granted token.

        If it is too large, only the fact that the request ran is stored.
        """
        record = self.read(message.claim)
        if record.is_settled or not self._has_room(record):
            return None
        size = len(packb(message.answer))
        is_dropped = (
            size > self._limits.max_answer_bytes
            or self._bytes + size > self._limits.max_bytes
        )
        return self._write(
            record._replace(
                votes=(Vote(message.token, message.fingerprint),),
                expires_ms=now_ms + _get_retention_ms(message),
                answer=None if is_dropped else message.answer,
                is_dropped=is_dropped,
            ),
            now_ms,
        )

    def withdraw(
        self,
        claim: ClaimKey,
        tokens: tuple[bytes, ...],
        now_ms: int,
    ) -> bytes | None:
        """Withdraws tokens, which get no vote while recorded as withdrawn."""
        record = self.read(claim)
        freed = record
        for token in tokens:
            freed = withdraw_token(freed, token)
        if freed is record or not self._has_room(record):
            return None
        if not freed.votes:
            freed = freed._replace(expires_ms=now_ms + WITHDRAWN_MS)
        return self._write(freed, now_ms)

    def merge(self, encoded: bytes, now_ms: int) -> bytes | None:
        """Merges another holder's record, unless it has expired."""
        other = decode_record(encoded)
        if other.expires_ms <= now_ms:
            return None
        own = self.read(other.claim)
        merged = merge_records(own, other)
        return None if merged == own else self._write(merged, now_ms)

    def load(self, encoded: bytes, now_ms: int) -> None:
        """Loads a record from the journal; it replaces earlier ones."""
        record = decode_record(encoded)
        self._write(record, now_ms)
        if record.expires_ms <= now_ms:
            self._drop(_encode_key(record.claim))

    def expire(self, now_ms: int) -> int:
        """Removes expired records and returns how many were removed."""
        before = len(self._encoded)
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key = heappop(self._expiries)
            encoded = self._encoded.get(key)
            if encoded is None:
                continue
            expires_ms = decode_record(encoded).expires_ms
            if expires_ms > now_ms:
                heappush(self._expiries, (expires_ms, key))
            else:
                self._drop(key)
        return before - len(self._encoded)

    def _has_room(self, record: ClaimRecord) -> bool:
        return bool(record.expires_ms) or not self.is_full()

    def _write(self, record: ClaimRecord, now_ms: int) -> bytes:
        check_ms = now_ms + WITHDRAWN_MS
        key = _encode_key(record.claim)
        encoded = encode_record(record)
        outdated = self._encoded.get(key)
        if outdated is None:
            heappush(self._expiries, (min(record.expires_ms, check_ms), key))
            self._bytes += len(key)
        else:
            self._bytes -= len(outdated)
        self._encoded[key] = encoded
        self._bytes += len(encoded)
        return encoded

    def _drop(self, key: bytes) -> None:
        encoded = self._encoded.pop(key)
        self._bytes -= len(encoded) + len(key)


def _get_retention_ms(message: ClaimVote | ClaimSettle) -> int:
    return max(message.retention_s, MIN_RETENTION_S) * MS_PER_S


def _encode_key(claim: ClaimKey) -> bytes:
    return packb(claim)
