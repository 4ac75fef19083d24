"""State machine of one attempt to claim a key, without sockets and timers.

A `ClaimProcess` asks for votes in rounds. Each round has a token of its own,
so that a late reply never counts in a later round. If votes for another token
prevent a majority, the round's token is withdrawn. The process then pauses
and starts another round, or waits for the other attempt's response.
"""

from collections.abc import Callable, Iterable
from enum import Enum, auto
from typing import NamedTuple

from bilberry_core.board import ClaimEpoch
from bilberry_core.claim import (
    Attempt,
    ClaimOutcome,
    Granted,
    Taken,
    Unavailable,
)
from bilberry_core.clock import RandomSource
from bilberry_core.messages.claim import (
    ClaimRefused,
    ClaimRequest,
    ClaimState,
    HolderPhase,
)

from bilberry_claims.attempt_messages import AttemptMessages
from bilberry_claims.decision import (
    check_winner,
    find_rivals,
    find_settled,
    find_winner,
    is_blocked_by_full_stores,
    is_granted,
    is_majority_possible,
    list_withdrawn,
)
from bilberry_claims.quorum import get_epoch_number, list_members

#: Interval at which requests for votes are repeated, in seconds.
RESEND_S = 0.25
#: Bounds of the longest random pause before a round, in seconds. It starts at
#: the minimum and doubles with each pause up to the maximum.
MIN_PAUSE_S = 0.005
MAX_PAUSE_S = 0.2
#: Most tokens in a withdrawal, which repeats the newest ones.
MAX_REPEATED_TOKENS = 64


class OutgoingMessage(NamedTuple):
    """A message to a holder."""

    instance: str
    message: ClaimRequest


class ProcessDependencies(NamedTuple):
    """Source of request numbers and of random pauses for a process."""

    next_request: Callable[[], int]
    random: RandomSource


class _Phase(Enum):
    VOTING = auto()
    PAUSED = auto()
    WAITING = auto()


class ClaimProcess:
    """One attempt, which runs rounds of votes until it has an outcome."""

    def __init__(
        self, attempt: Attempt, dependencies: ProcessDependencies
    ) -> None:
        """Sends nothing until `begin` sets an epoch."""
        self.outcome: ClaimOutcome | None = None
        self.token = b''
        self.withdrawn: tuple[bytes, ...] = ()
        self.request = 0
        self.wait_s = RESEND_S
        self._attempt = attempt
        self._dependencies = dependencies
        self._phase = _Phase.VOTING
        self._epoch: ClaimEpoch | None = None
        self._replies: dict[str, ClaimState] = {}
        self._rivals: dict[str, ClaimState] = {}
        self._known_withdrawn: set[bytes] = set()
        self._pauses = 0

    def is_ended(self) -> bool:
        """Returns whether there is an outcome."""
        return self.outcome is not None

    def begin(self, epoch: ClaimEpoch) -> tuple[OutgoingMessage, ...]:
        """Starts a round in this epoch, unless there is an outcome."""
        if self.outcome is not None:
            return ()
        withdrawals = self._withdraw()
        self._epoch = epoch
        self._rivals.clear()
        return (*withdrawals, *self._vote())

    def receive(
        self,
        instance: str,
        reply: ClaimState | ClaimRefused,
    ) -> tuple[OutgoingMessage, ...]:
        """Handles a holder's reply; refusals and old replies are ignored."""
        if self.outcome is not None or not self.request:
            return ()
        if reply.request != self.request or isinstance(reply, ClaimRefused):
            return ()
        self._replies[instance] = reply
        self._known_withdrawn |= list_withdrawn({instance: reply})
        return self._evaluate()

    def tick(self) -> tuple[OutgoingMessage, ...]:
        """Handles the timer, which fires `wait_s` seconds after it is set.

        Repeats the vote, starts a round or polls the winner's state.
        """
        if self.outcome is not None or self._epoch is None:
            return ()
        if self._phase is _Phase.VOTING:
            return self._resend_votes()
        if self._phase is _Phase.PAUSED:
            return self._vote()
        return self._query()

    def give_up(self, detail: str) -> tuple[OutgoingMessage, ...]:
        """Ends the process and withdraws its token, so it is never granted."""
        if self.outcome is None:
            self.outcome = Taken() if self._rivals else Unavailable(detail)
        return self._withdraw()

    def _vote(self) -> tuple[OutgoingMessage, ...]:
        self._phase = _Phase.VOTING
        self.wait_s = RESEND_S
        self._replies.clear()
        self.request = self._dependencies.next_request()
        self.token = self._attempt.attempt + self.request.to_bytes(8, 'big')
        return _address_to_each(
            self._messages().vote(self.request, self.token),
            list_members(self._epoch),
        )

    def _resend_votes(self) -> tuple[OutgoingMessage, ...]:
        missing = [
            name
            for name in list_members(self._epoch)
            if name not in self._replies
            or self._replies[name].tokens != (self.token,)
            or self._replies[name].standing.phase is not HolderPhase.FULL
        ]
        repairs = self._repair()
        return (
            *repairs,
            *_address_to_each(
                self._messages().vote(self.request, self.token), missing
            ),
        )

    def _query(self) -> tuple[OutgoingMessage, ...]:
        self._replies.clear()
        self.request = self._dependencies.next_request()
        self._back_off()
        query = self._messages().query(self.request)
        return _address_to_each(query, list_members(self._epoch))

    def _evaluate(self) -> tuple[OutgoingMessage, ...]:
        self.outcome = find_settled(self._replies, self._attempt)
        if self.outcome is not None:
            return self._withdraw()
        rivals = find_rivals(self._replies, self.token, self._known_withdrawn)
        self._rivals.update(rivals)
        for name in self._replies.keys() - rivals.keys():
            self._rivals.pop(name, None)
        if self._phase is _Phase.WAITING:
            return self._evaluate_query(rivals)
        return self._evaluate_votes(rivals)

    def _evaluate_votes(
        self, rivals: dict[str, ClaimState]
    ) -> tuple[OutgoingMessage, ...]:
        if is_granted(self._epoch, self._replies, self.token):
            self.outcome = Granted()
            return ()
        if is_majority_possible(self._epoch, rivals):
            if is_blocked_by_full_stores(self._epoch, self._replies, rivals):
                return self.give_up('the stores of the claim holders are full')
            return ()
        winner = find_winner(self._epoch, rivals)
        if winner is None:
            self._phase = _Phase.PAUSED
        else:
            self._phase = _Phase.WAITING
            self.outcome = check_winner(winner, self._attempt)
        self._back_off()
        return (*self._withdraw(), *self._repair())

    def _evaluate_query(
        self, rivals: dict[str, ClaimState]
    ) -> tuple[OutgoingMessage, ...]:
        winner = find_winner(self._epoch, rivals)
        if winner is not None:
            self.outcome = check_winner(winner, self._attempt)
            return ()
        unanswered = list_members(self._epoch).keys() - self._replies.keys()
        if not is_majority_possible(self._epoch, unanswered | rivals.keys()):
            return ()
        return (*self._repair(), *self._vote())

    def _back_off(self) -> None:
        longest = min(MAX_PAUSE_S, MIN_PAUSE_S * 2**self._pauses)
        self._pauses += 1
        self.wait_s = self._dependencies.random.uniform(0, longest)

    def _repair(self) -> tuple[OutgoingMessage, ...]:
        """Repeats withdrawals to holders that missed them."""
        missed = {
            name: tuple(self._known_withdrawn.intersection(reply.tokens))
            for name, reply in self._replies.items()
        }
        return tuple(
            OutgoingMessage(name, self._messages().withdraw(0, tokens))
            for name, tokens in missed.items()
            if tokens
        )

    def _messages(self) -> AttemptMessages:
        return AttemptMessages(self._attempt, get_epoch_number(self._epoch))

    def _withdraw(self) -> tuple[OutgoingMessage, ...]:
        """Ends the round; its token is never granted after this."""
        if self._epoch is None or not self.token:
            return ()
        token = self.token
        self.token = b''
        self.request = 0
        self.withdrawn = (*self.withdrawn, token)[-MAX_REPEATED_TOKENS:]
        self._known_withdrawn.add(token)
        return _address_to_each(
            self._messages().withdraw(0, self.withdrawn),
            list_members(self._epoch),
        )


def _address_to_each(
    message: ClaimRequest,
    instances: Iterable[str],
) -> tuple[OutgoingMessage, ...]:
    return tuple(OutgoingMessage(instance, message) for instance in instances)
