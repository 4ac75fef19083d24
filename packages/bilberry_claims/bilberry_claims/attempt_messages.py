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
    """An attempt, and the number of the epoch that its messages carry."""

    attempt: Attempt
    epoch: int

    def vote(self, request: int, token: bytes) -> ClaimVote:
        """Returns the message that asks for a vote."""
        return ClaimVote(
            request,
            self.epoch,
            self.attempt.claim,
            token,
            self.attempt.fingerprint,
            self.attempt.retention_s,
        )

    def query(self, request: int) -> ClaimQuery:
        """Returns the message that asks for the state of the key."""
        return ClaimQuery(request, self.epoch, self.attempt.claim)

    def withdraw(
        self,
        request: int,
        tokens: tuple[bytes, ...],
    ) -> ClaimWithdraw:
        """Returns the message that withdraws tokens."""
        return ClaimWithdraw(request, self.epoch, self.attempt.claim, tokens)

    def settle(
        self,
        request: int,
        token: bytes,
        answer: StoredAnswer,
    ) -> ClaimSettle:
        """Returns the message that stores the response of the request."""
        return ClaimSettle(
            request,
            self.epoch,
            self.attempt.claim,
            token,
            self.attempt.fingerprint,
            self.attempt.retention_s,
            answer,
        )
