"""State machine of a claim holder, without sockets and disk.

`HolderCore` returns the reply to each message and the journal records that
must be durable before the reply is sent.
"""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from bilberry_core.board import ClaimEpoch
from bilberry_core.claim import ClaimKey
from bilberry_core.messages.claim import (
    ClaimPage,
    ClaimPageRequest,
    ClaimQuery,
    ClaimRefused,
    ClaimSettle,
    ClaimState,
    ClaimVote,
    ClaimWithdraw,
    HolderProbe,
    HolderReply,
    HolderStatus,
)

from bilberry_claims.limit import ClaimLimits
from bilberry_claims.membership import (
    Membership,
    decode_membership,
    encode_membership,
)
from bilberry_claims.quorum import get_epoch_number
from bilberry_claims.table import ClaimTable

_CLAIM_TAG = b'C'
_MEMBERSHIP_TAG = b'M'
#: Most claims in a page. A page ends earlier above `_PAGE_BYTES` bytes.
_PAGE_CLAIMS = 1000
_PAGE_BYTES = 1 << 20


class Answered(NamedTuple):
    """A reply, and the records that must be durable before it is sent."""

    reply: HolderReply
    records: tuple[bytes, ...] = ()


class HolderCore:
    """The claims and the membership of one holder."""

    def __init__(self, instance: str, limits: ClaimLimits) -> None:
        """Starts empty; `load` adds what the journal has."""
        self.instance = instance
        self.membership = Membership()
        self.epoch: ClaimEpoch | None = None
        self.table = ClaimTable(limits)
        self._page_keys: dict[str, list[bytes]] = {}

    @property
    def is_caught_up(self) -> bool:
        """Whether this holder has the claims of the previous holders."""
        if self.epoch is None:
            return False
        return self.membership.is_caught_up(self.epoch)

    def load(self, records: Iterable[bytes], now_ms: int) -> None:
        """Applies the records of the journal in order."""
        for record in records:
            if record[:1] == _CLAIM_TAG:
                self.table.load(record[1:], now_ms)
            else:
                self.membership = decode_membership(record[1:])

    def dump(self) -> Iterable[bytes]:
        """Yields the records of a compacted journal."""
        yield _MEMBERSHIP_TAG + encode_membership(self.membership)
        for encoded in tuple(self.table.stored.values()):
            yield _CLAIM_TAG + encoded

    def adopt(self, epoch: ClaimEpoch) -> tuple[bytes, ...]:
        """Switches to an epoch, unless it is older than the current one.

        Returns the records to make durable.
        """
        if get_epoch_number(epoch) < self.membership.epoch:
            return ()
        self.epoch = epoch
        return self.update_membership(
            self.membership._replace(epoch=get_epoch_number(epoch)),
        )

    def update_membership(self, membership: Membership) -> tuple[bytes, ...]:
        """Sets the membership; returns its record if it has changed."""
        if membership == self.membership:
            return ()
        self.membership = membership
        return (_MEMBERSHIP_TAG + encode_membership(membership),)

    def merge(
        self,
        encoded: Iterable[bytes],
        now_ms: int,
    ) -> tuple[bytes, ...]:
        """Merges claims of another holder and returns the changed records."""
        merged = [self.table.merge(record, now_ms) for record in encoded]
        return tuple(_CLAIM_TAG + record for record in merged if record)

    def handle(self, message: object, now_ms: int) -> Answered | None:
        """Returns the reply to a message; None for an unknown type."""
        self.table.expire(now_ms)
        if isinstance(message, ClaimWithdraw):
            return self._withdraw(message, now_ms)
        if isinstance(message, HolderProbe):
            return self._build_status(message)
        if not isinstance(
            message, (ClaimVote, ClaimQuery, ClaimSettle, ClaimPageRequest)
        ):
            return None
        if not self._is_current_epoch(message.epoch):
            return Answered(
                ClaimRefused(message.request, self.membership.epoch)
            )
        if isinstance(message, ClaimPageRequest):
            return self._handle_page_request(message)
        return self._handle_claim(message, now_ms)

    def _is_current_epoch(self, epoch: int) -> bool:
        return self.epoch is not None and self.membership.epoch == epoch

    def _handle_claim(
        self,
        message: ClaimVote | ClaimQuery | ClaimSettle,
        now_ms: int,
    ) -> Answered:
        changed = None
        if isinstance(message, ClaimVote) and self.membership.is_full:
            changed = self.table.vote(message, now_ms)
        if isinstance(message, ClaimSettle):
            changed = self.table.settle(message, now_ms)
        return self._build_state(message.request, message.claim, changed)

    def _withdraw(self, message: ClaimWithdraw, now_ms: int) -> Answered:
        changed = self.table.withdraw(message.claim, message.tokens, now_ms)
        return self._build_state(message.request, message.claim, changed)

    def _build_state(
        self,
        request: int,
        claim: ClaimKey,
        changed: bytes | None,
    ) -> Answered:
        record = self.table.read(claim)
        state = ClaimState(
            request,
            self.membership.epoch,
            self.membership.standing,
            record.tokens,
            record.fingerprint,
            record.answer,
            record.is_dropped,
            record.withdrawn,
            self.table.is_full(),
        )
        records = () if changed is None else (_CLAIM_TAG + changed,)
        return Answered(state, records)

    def _build_status(self, message: HolderProbe) -> Answered:
        status = HolderStatus(
            message.request,
            self.membership.epoch,
            self.membership.standing,
            self.is_caught_up,
        )
        return Answered(status)

    def _handle_page_request(self, message: ClaimPageRequest) -> Answered:
        updated = self.membership.record_store(message.instance, message.store)
        records = self.update_membership(updated)
        if not message.after or message.instance not in self._page_keys:
            self._page_keys[message.instance] = sorted(self.table.stored)
        page, last = self._read_page(
            self._page_keys[message.instance], message.after
        )
        if not last:
            self._page_keys.pop(message.instance)
        reply = ClaimPage(
            message.request,
            message.epoch,
            self.membership.standing,
            page,
            last,
        )
        return Answered(reply, records)

    def _read_page(
        self,
        keys: list[bytes],
        after: bytes,
    ) -> tuple[tuple[bytes, ...], bytes]:
        page: list[bytes] = []
        size = 0
        end = bisect_right(keys, after)
        for key in keys[end : end + _PAGE_CLAIMS]:
            encoded = self.table.stored.get(key)
            end += 1
            if encoded is not None:
                page.append(encoded)
                size += len(encoded)
            if size > _PAGE_BYTES:
                break
        return tuple(page), keys[end - 1] if end < len(keys) else b''
