"""Telling the holders of an epoch one fact about a token.

The fact is an answer to store or a withdrawal. Every holder is told once, and
those that do not confirm it again until a majority has.
"""

from typing import NamedTuple

from bilberry_core.board import ClaimEpoch
from bilberry_core.claim import Attempt, StoredAnswer
from bilberry_core.messages.claim import (
    ClaimRefused,
    ClaimRequest,
    ClaimState,
)

from bilberry_claims.attempt_messages import AttemptMessages
from bilberry_claims.decision import is_confirmed
from bilberry_claims.process import (
    RESEND_S,
    OutgoingMessage,
    ProcessDependencies,
)
from bilberry_claims.quorum import (
    get_epoch_number,
    is_epoch_quorum,
    list_members,
)

#: Longest time between two times that a holder is told, in seconds.
_MAX_WAIT_S = 4.0


class TokenUpdate(NamedTuple):
    """What is told: the answer of a token, or the withdrawal of tokens."""

    attempt: Attempt
    tokens: tuple[bytes, ...]
    answer: StoredAnswer | None = None

    def build_message(self, request: int, epoch: int) -> ClaimRequest:
        """Returns the message that tells it."""
        messages = AttemptMessages(self.attempt, epoch)
        if self.answer is None:
            return messages.withdraw(request, self.tokens)
        return messages.settle(request, self.tokens[0], self.answer)

    def is_applied(self, state: ClaimState) -> bool:
        """Returns whether the holder knows it durably."""
        if self.answer is None:
            return not set(self.tokens).intersection(state.tokens)
        is_settled = state.answer is not None or state.is_dropped
        return is_settled and state.tokens == self.tokens


class Broadcast:
    """One fact on its way to the holders."""

    def __init__(
        self, update: TokenUpdate, dependencies: ProcessDependencies
    ) -> None:
        """Starts without an epoch; `begin` gives one."""
        self.request = 0
        self.wait_s = RESEND_S
        self.is_confirmed = False
        self._update = update
        self._dependencies = dependencies
        self._epoch: ClaimEpoch | None = None
        self._confirmations: dict[str, ClaimState] = {}

    def is_ended(self) -> bool:
        """Returns whether a majority knows."""
        return self.is_confirmed

    def begin(self, epoch: ClaimEpoch) -> tuple[OutgoingMessage, ...]:
        """Tells the holders of this epoch."""
        self._epoch = epoch
        self._confirmations.clear()
        self.request = self._dependencies.next_request()
        self.wait_s = RESEND_S
        return self._send_unconfirmed()

    def receive(
        self,
        instance: str,
        reply: ClaimState | ClaimRefused,
    ) -> tuple[OutgoingMessage, ...]:
        """Takes a holder's reply."""
        if not self.request or reply.request != self.request:
            return ()
        if isinstance(reply, ClaimState) and self._update.is_applied(reply):
            self._confirmations[instance] = reply
            self.is_confirmed = self._has_majority()
        return ()

    def tick(self) -> tuple[OutgoingMessage, ...]:
        """Tells those again that have not confirmed."""
        if self._epoch is None:
            return ()
        self.wait_s = min(2 * self.wait_s, _MAX_WAIT_S)
        return self._send_unconfirmed()

    def _send_unconfirmed(self) -> tuple[OutgoingMessage, ...]:
        number = get_epoch_number(self._epoch)
        message = self._update.build_message(self.request, number)
        return tuple(
            OutgoingMessage(name, message)
            for name in list_members(self._epoch)
            if name not in self._confirmations
        )

    def _has_majority(self) -> bool:
        if self._update.answer is None:
            return is_epoch_quorum(self._epoch, self._confirmations)
        return is_confirmed(
            self._epoch, self._confirmations, self._confirmations
        )
