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
from bilberry_claims.process import RESEND_S, Sent, Tools
from bilberry_claims.quorum import is_epoch_quorum, list_members, number_epoch

#: Longest time between two times that a holder is told, in seconds.
_MAX_WAIT_S = 4.0


class Fact(NamedTuple):
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

    def is_known(self, state: ClaimState) -> bool:
        """Returns whether the holder knows it durably."""
        if self.answer is None:
            return not set(self.tokens).intersection(state.tokens)
        is_settled = state.answer is not None or state.is_dropped
        return is_settled and state.tokens == self.tokens


class Broadcast:
    """One fact on its way to the holders."""

    def __init__(self, fact: Fact, tools: Tools) -> None:
        """Starts without an epoch; `begin` gives one."""
        self.request = 0
        self.wait_s = RESEND_S
        self.is_confirmed = False
        self._fact = fact
        self._tools = tools
        self._epoch: ClaimEpoch | None = None
        self._known: dict[str, ClaimState] = {}

    def is_ended(self) -> bool:
        """Returns whether a majority knows."""
        return self.is_confirmed

    def begin(self, epoch: ClaimEpoch) -> tuple[Sent, ...]:
        """Tells the holders of this epoch."""
        self._epoch = epoch
        self._known.clear()
        self.request = self._tools.next_request()
        self.wait_s = RESEND_S
        return self._tell()

    def receive(
        self,
        instance: str,
        reply: ClaimState | ClaimRefused,
    ) -> tuple[Sent, ...]:
        """Takes a holder's reply."""
        if not self.request or reply.request != self.request:
            return ()
        if isinstance(reply, ClaimState) and self._fact.is_known(reply):
            self._known[instance] = reply
            self.is_confirmed = self._has_majority()
        return ()

    def tick(self) -> tuple[Sent, ...]:
        """Tells those again that have not confirmed."""
        if self._epoch is None:
            return ()
        self.wait_s = min(2 * self.wait_s, _MAX_WAIT_S)
        return self._tell()

    def _tell(self) -> tuple[Sent, ...]:
        number = number_epoch(self._epoch)
        message = self._fact.build_message(self.request, number)
        return tuple(
            Sent(name, message)
            for name in list_members(self._epoch)
            if name not in self._known
        )

    def _has_majority(self) -> bool:
        if self._fact.answer is None:
            return is_epoch_quorum(self._epoch, self._known)
        return is_confirmed(self._epoch, self._known, self._known)
