"""Builds the messages of one attempt in one epoch."""

from typing import NamedTuple

from bilberry_core.claim import Attempt, StoredAnswer
from bilberry_core.messages.claim import (
    ClaimQuery,
    ClaimSettle,
    ClaimVote,
    ClaimWithdraw,
)


class AttemptMessages(NamedTuple):
    """An attempt, and the epoch as messages number it."""

    attempt: Attempt
    epoch: int

    def vote(self, request: int, token: bytes) -> ClaimVote:
        """Asks for a vote."""
        return ClaimVote(
            request,
            self.epoch,
            self.attempt.claim,
            token,
            self.attempt.fingerprint,
            self.attempt.retention_s,
        )

    def look(self, request: int) -> ClaimQuery:
        """Asks what is known of the key."""
        return ClaimQuery(request, self.epoch, self.attempt.claim)

    def withdraw(
        self,
        request: int,
        tokens: tuple[bytes, ...],
    ) -> ClaimWithdraw:
        """Withdraws tokens."""
        return ClaimWithdraw(request, self.epoch, self.attempt.claim, tokens)

    def settle(
        self,
        request: int,
        token: bytes,
        answer: StoredAnswer,
    ) -> ClaimSettle:
        """Stores the answer of the token's request."""
        return ClaimSettle(
            request,
            self.epoch,
            self.attempt.claim,
            token,
            self.attempt.fingerprint,
            self.attempt.retention_s,
            answer,
        )
