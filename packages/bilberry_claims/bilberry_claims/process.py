"""One attempt to claim a key, without its sockets and timers.

A `ClaimProcess` votes in rounds. Each round has a token of its own, so a
late reply never counts in a later round. A round that another token keeps
from a majority is withdrawn; then the process pauses and votes again, or
waits for the other's answer.
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
    find_rivals,
    find_settled,
    find_winner,
    is_full,
    is_granted,
    is_possible,
    judge_winner,
    list_withdrawn,
)
from bilberry_claims.quorum import list_members, number_epoch

#: Between repeated votes of one round, in seconds.
RESEND_S = 0.25
#: First and longest pause before the next round, in seconds.
MIN_PAUSE_S = 0.005
MAX_PAUSE_S = 0.2
#: Newest rounds whose tokens are withdrawn again at the end.
MAX_ROUNDS = 64


class Sent(NamedTuple):
    """A message to a holder."""

    instance: str
    message: ClaimRequest


class Tools(NamedTuple):
    """What a process needs of its client: request numbers and chance."""

    next_request: Callable[[], int]
    random: RandomSource


class _Phase(Enum):
    VOTING = auto()
    PAUSED = auto()
    WAITING = auto()


class ClaimProcess:
    """Rounds of votes until an outcome."""

    def __init__(self, attempt: Attempt, tools: Tools) -> None:
        """Starts without an epoch; `begin` gives one."""
        self.outcome: ClaimOutcome | None = None
        self.token = b''
        self.withdrawn: tuple[bytes, ...] = ()
        self.request = 0
        self.wait_s = RESEND_S
        self._attempt = attempt
        self._tools = tools
        self._phase = _Phase.VOTING
        self._epoch: ClaimEpoch | None = None
        self._replies: dict[str, ClaimState] = {}
        self._rivals: dict[str, ClaimState] = {}
        self._dead: set[bytes] = set()
        self._pauses = 0

    def is_ended(self) -> bool:
        """Returns whether there is an outcome."""
        return self.outcome is not None

    def begin(self, epoch: ClaimEpoch) -> tuple[Sent, ...]:
        """Acts in this epoch from now on, unless there is an outcome."""
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
    ) -> tuple[Sent, ...]:
        """Takes a holder's reply."""
        if self.outcome is not None or not self.request:
            return ()
        if reply.request != self.request or isinstance(reply, ClaimRefused):
            return ()
        self._replies[instance] = reply
        self._dead |= list_withdrawn({instance: reply})
        return self._judge()

    def tick(self) -> tuple[Sent, ...]:
        """Goes on after `wait_s` without an outcome."""
        if self.outcome is not None or self._epoch is None:
            return ()
        if self._phase is _Phase.VOTING:
            return self._vote_again()
        if self._phase is _Phase.PAUSED:
            return self._vote()
        return self._look()

    def give_up(self, detail: str) -> tuple[Sent, ...]:
        """Ends without a grant, for good."""
        if self.outcome is None:
            self.outcome = Taken() if self._rivals else Unavailable(detail)
        return self._withdraw()

    def _vote(self) -> tuple[Sent, ...]:
        self._phase = _Phase.VOTING
        self.wait_s = RESEND_S
        self._replies.clear()
        self.request = self._tools.next_request()
        self.token = self._attempt.attempt + self.request.to_bytes(8, 'big')
        return _address(
            self._messages().vote(self.request, self.token),
            list_members(self._epoch),
        )

    def _vote_again(self) -> tuple[Sent, ...]:
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
            *_address(self._messages().vote(self.request, self.token), missing),
        )

    def _look(self) -> tuple[Sent, ...]:
        self._replies.clear()
        self.request = self._tools.next_request()
        self._lengthen_wait()
        look = self._messages().look(self.request)
        return _address(look, list_members(self._epoch))

    def _judge(self) -> tuple[Sent, ...]:
        self.outcome = find_settled(self._replies, self._attempt)
        if self.outcome is not None:
            return self._withdraw()
        rivals = find_rivals(self._replies, self.token, self._dead)
        self._rivals.update(rivals)
        for name in self._replies.keys() - rivals.keys():
            self._rivals.pop(name, None)
        if self._phase is _Phase.WAITING:
            return self._judge_look(rivals)
        return self._judge_votes(rivals)

    def _judge_votes(self, rivals: dict[str, ClaimState]) -> tuple[Sent, ...]:
        if is_granted(self._epoch, self._replies, self.token):
            self.outcome = Granted()
            return ()
        if is_possible(self._epoch, rivals):
            if is_full(self._epoch, self._replies, rivals):
                return self.give_up('the claim holders are full')
            return ()
        winner = find_winner(self._epoch, rivals)
        if winner is None:
            self._phase = _Phase.PAUSED
        else:
            self._phase = _Phase.WAITING
            self.outcome = judge_winner(winner, self._attempt)
        self._lengthen_wait()
        return (*self._withdraw(), *self._repair())

    def _judge_look(self, rivals: dict[str, ClaimState]) -> tuple[Sent, ...]:
        winner = find_winner(self._epoch, rivals)
        if winner is not None:
            self.outcome = judge_winner(winner, self._attempt)
            return ()
        unheard = list_members(self._epoch).keys() - self._replies.keys()
        if not is_possible(self._epoch, unheard | rivals.keys()):
            return ()
        return (*self._repair(), *self._vote())

    def _lengthen_wait(self) -> None:
        longest = min(MAX_PAUSE_S, MIN_PAUSE_S * 2**self._pauses)
        self._pauses += 1
        self.wait_s = self._tools.random.uniform(0, longest)

    def _repair(self) -> tuple[Sent, ...]:
        """Tells holders that missed a withdrawal about it."""
        found = {
            name: tuple(self._dead.intersection(reply.tokens))
            for name, reply in self._replies.items()
        }
        return tuple(
            Sent(name, self._messages().withdraw(0, tokens))
            for name, tokens in found.items()
            if tokens
        )

    def _messages(self) -> AttemptMessages:
        return AttemptMessages(self._attempt, number_epoch(self._epoch))

    def _withdraw(self) -> tuple[Sent, ...]:
        """Ends the round: its token is never granted after this."""
        if self._epoch is None or not self.token:
            return ()
        token = self.token
        self.token = b''
        self.request = 0
        self.withdrawn = (*self.withdrawn, token)[-MAX_ROUNDS:]
        self._dead.add(token)
        return _address(
            self._messages().withdraw(0, self.withdrawn),
            list_members(self._epoch),
        )


def _address(
    message: ClaimRequest,
    instances: Iterable[str],
) -> tuple[Sent, ...]:
    return tuple(Sent(instance, message) for instance in instances)
