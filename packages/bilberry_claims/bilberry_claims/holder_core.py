"""A claim holder without its sockets and disk.

`HolderCore` answers each message and names the journal records that must be
durable before the answer is sent.
"""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from bilberry_core.board import ClaimEpoch
from bilberry_core.claim import ClaimKey
from bilberry_core.messages.claim import (
    ClaimPage,
    ClaimPull,
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
from bilberry_claims.quorum import number_epoch
from bilberry_claims.table import ClaimTable

_CLAIM_TAG = b'C'
_MEMBERSHIP_TAG = b'M'
#: Claims in a page, and where a page ends even with fewer, in bytes.
_PAGE_CLAIMS = 1000
_PAGE_BYTES = 1 << 20


class Answered(NamedTuple):
    """A reply, and what must be durable before it is sent."""

    reply: HolderReply
    records: tuple[bytes, ...] = ()


class HolderCore:
    """The claims of one holder and its place in the epochs."""

    def __init__(self, instance: str, limits: ClaimLimits) -> None:
        """Starts with an empty folder."""
        self.instance = instance
        self.membership = Membership()
        self.epoch: ClaimEpoch | None = None
        self.table = ClaimTable(limits)
        self._pulled: dict[str, list[bytes]] = {}

    @property
    def is_caught_up(self) -> bool:
        """Whether this holder knows what the holders before knew."""
        if self.epoch is None:
            return False
        return self.membership.is_caught_up(self.epoch)

    def load(self, records: Iterable[bytes], now_ms: int) -> None:
        """Takes what the journal holds, in order."""
        for record in records:
            if record[:1] == _CLAIM_TAG:
                self.table.load(record[1:], now_ms)
            else:
                self.membership = decode_membership(record[1:])

    def dump(self) -> Iterable[bytes]:
        """Returns records that may replace the journal."""
        yield _MEMBERSHIP_TAG + encode_membership(self.membership)
        for encoded in tuple(self.table.stored.values()):
            yield _CLAIM_TAG + encoded

    def adopt(self, epoch: ClaimEpoch) -> tuple[bytes, ...]:
        """Acts in an epoch from now on, unless it is an older one."""
        if number_epoch(epoch) < self.membership.epoch:
            return ()
        self.epoch = epoch
        return self.keep(
            self.membership._replace(epoch=number_epoch(epoch)),
        )

    def keep(self, membership: Membership) -> tuple[bytes, ...]:
        """Changes the membership and returns its record."""
        if membership == self.membership:
            return ()
        self.membership = membership
        return (_MEMBERSHIP_TAG + encode_membership(membership),)

    def merge(
        self,
        encoded: Iterable[bytes],
        now_ms: int,
    ) -> tuple[bytes, ...]:
        """Takes over another holder's claims and returns the records."""
        merged = [self.table.merge(record, now_ms) for record in encoded]
        return tuple(_CLAIM_TAG + record for record in merged if record)

    def handle(self, asked: object, now_ms: int) -> Answered | None:
        """Answers a message; None for one that is none of a holder's."""
        self.table.expire(now_ms)
        if isinstance(asked, ClaimWithdraw):
            return self._withdraw(asked, now_ms)
        if isinstance(asked, HolderProbe):
            return self._tell_status(asked)
        if not isinstance(
            asked, (ClaimVote, ClaimQuery, ClaimSettle, ClaimPull)
        ):
            return None
        if not self._acts_in(asked.epoch):
            return Answered(ClaimRefused(asked.request, self.membership.epoch))
        if isinstance(asked, ClaimPull):
            return self._hand_over(asked)
        return self._change(asked, now_ms)

    def _acts_in(self, epoch: int) -> bool:
        return self.epoch is not None and self.membership.epoch == epoch

    def _change(
        self,
        asked: ClaimVote | ClaimQuery | ClaimSettle,
        now_ms: int,
    ) -> Answered:
        changed = None
        if isinstance(asked, ClaimVote) and self.membership.is_full:
            changed = self.table.vote(asked, now_ms)
        if isinstance(asked, ClaimSettle):
            changed = self.table.settle(asked, now_ms)
        return self._tell_state(asked.request, asked.claim, changed)

    def _withdraw(self, asked: ClaimWithdraw, now_ms: int) -> Answered:
        changed = self.table.withdraw(asked.claim, asked.tokens, now_ms)
        return self._tell_state(asked.request, asked.claim, changed)

    def _tell_state(
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

    def _tell_status(self, asked: HolderProbe) -> Answered:
        status = HolderStatus(
            asked.request,
            self.membership.epoch,
            self.membership.standing,
            self.is_caught_up,
        )
        return Answered(status)

    def _hand_over(self, asked: ClaimPull) -> Answered:
        noted = self.membership.note_store(asked.instance, asked.store)
        records = self.keep(noted)
        if not asked.after or asked.instance not in self._pulled:
            self._pulled[asked.instance] = sorted(self.table.stored)
        page, last = self._read_page(self._pulled[asked.instance], asked.after)
        if not last:
            self._pulled.pop(asked.instance)
        reply = ClaimPage(
            asked.request,
            asked.epoch,
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
