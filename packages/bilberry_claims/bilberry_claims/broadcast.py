"""Sends one update about tokens to all holders of an epoch.

The update is a response to store or a withdrawal of tokens. It is sent to
every holder once, and again to those that have not confirmed it until a
majority has.
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

#: Longest interval between two sends to one holder, in seconds.
_MAX_WAIT_S = 4.0


class TokenUpdate(NamedTuple):
    """The response of a token's request, or the withdrawal of tokens."""

    attempt: Attempt
    tokens: tuple[bytes, ...]
    answer: StoredAnswer | None = None

    def build_message(self, request: int, epoch: int) -> ClaimRequest:
        """Returns the message that carries the update."""
        messages = AttemptMessages(self.attempt, epoch)
        if self.answer is None:
            return messages.withdraw(request, self.tokens)
        return messages.settle(request, self.tokens[0], self.answer)

    def is_applied(self, state: ClaimState) -> bool:
        """Returns whether the holder's durable state includes the update."""
        if self.answer is None:
            return not set(self.tokens).intersection(state.tokens)
        is_settled = state.answer is not None or state.is_dropped
        return is_settled and state.tokens == self.tokens


class Broadcast:
    """The delivery of one update to the holders."""

    def __init__(
        self, update: TokenUpdate, dependencies: ProcessDependencies
    ) -> None:
        """Sends nothing until `begin` sets an epoch."""
        self.request = 0
        self.wait_s = RESEND_S
        self.is_confirmed = False
        self._update = update
        self._dependencies = dependencies
        self._epoch: ClaimEpoch | None = None
        self._confirmations: dict[str, ClaimState] = {}

    def is_ended(self) -> bool:
        """Returns whether a majority has confirmed the update."""
        return self.is_confirmed

    def begin(self, epoch: ClaimEpoch) -> tuple[OutgoingMessage, ...]:
        """Starts over with the holders of this epoch."""
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
        """Records a holder's confirmation; other replies are ignored."""
        if not self.request or reply.request != self.request:
            return ()
        if isinstance(reply, ClaimState) and self._update.is_applied(reply):
            self._confirmations[instance] = reply
            self.is_confirmed = self._has_majority()
        return ()

    def tick(self) -> tuple[OutgoingMessage, ...]:
        """Sends again to holders that have not confirmed; doubles `wait_s`."""
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
