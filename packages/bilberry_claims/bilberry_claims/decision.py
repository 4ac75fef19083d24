"""Evaluates the holders' replies about one key on a proxy.

Pure functions over the replies of one round in one epoch. A rival is a holder
that voted for the token of another attempt.
"""

from collections.abc import Collection, Iterable, Mapping

from bilberry_core.board import ClaimEpoch
from bilberry_core.claim import (
    Answered,
    Attempt,
    ClaimOutcome,
    Mismatch,
    Taken,
)
from bilberry_core.messages.claim import ClaimState, HolderPhase

from bilberry_claims.quorum import (
    find_outdated,
    is_epoch_quorum,
    list_members,
)

Replies = Mapping[str, ClaimState]


def is_granted(epoch: ClaimEpoch, replies: Replies, token: bytes) -> bool:
    """Returns whether a majority of the holders voted for the token."""
    voters = [name for name, one in replies.items() if one.tokens == (token,)]
    return bool(token) and is_confirmed(epoch, replies, voters)


def is_confirmed(
    epoch: ClaimEpoch,
    replies: Replies,
    agreeing: Collection[str],
) -> bool:
    """Returns whether the agreeing holders are a majority.

    Holders whose phase is not `FULL`, or whose data folder was lost after
    their reply, do not count.
    """
    standings = {name: one.standing for name, one in replies.items()}
    full = {
        name for name in agreeing if standings[name].phase is HolderPhase.FULL
    }
    return is_epoch_quorum(epoch, full - find_outdated(standings))


def find_settled(replies: Replies, attempt: Attempt) -> ClaimOutcome | None:
    """Returns the outcome if a holder knows that the request has run."""
    for reply in replies.values():
        if reply.answer is None and not reply.is_dropped:
            continue
        if reply.fingerprint != attempt.fingerprint:
            return Mismatch()
        if reply.answer is None:
            return Taken()
        return Answered(reply.answer)
    return None


def find_rivals(
    replies: Replies,
    own_token: bytes,
    withdrawn_tokens: Collection[bytes],
) -> dict[str, ClaimState]:
    """Returns the replies of holders that voted for another live token.

    A token is live until it is withdrawn.
    """
    excluded = {own_token, *withdrawn_tokens}
    return {
        name: reply
        for name, reply in replies.items()
        if not excluded.issuperset(reply.tokens)
    }


def is_majority_possible(epoch: ClaimEpoch, without: Iterable[str]) -> bool:
    """Returns whether the holders other than these are a majority."""
    remaining = frozenset(list_members(epoch)) - frozenset(without)
    return is_epoch_quorum(epoch, remaining)


def is_blocked_by_full_stores(
    epoch: ClaimEpoch,
    replies: Replies,
    rivals: Collection[str],
) -> bool:
    """Returns whether full stores and rivals prevent any majority."""
    refusing = [
        name
        for name, reply in replies.items()
        if reply.is_full_store and not reply.tokens
    ]
    return not is_majority_possible(epoch, {*refusing, *rivals})


def find_winner(
    epoch: ClaimEpoch,
    rivals: Mapping[str, ClaimState],
) -> ClaimState | None:
    """Returns the reply of a rival whose token prevents other majorities."""
    for reply in rivals.values():
        voters = [
            name for name, one in rivals.items() if one.tokens == reply.tokens
        ]
        if not is_majority_possible(epoch, voters):
            return reply
    return None


def check_winner(winner: ClaimState, attempt: Attempt) -> ClaimOutcome | None:
    """Returns `Mismatch` if the winner claimed the key for another body."""
    if winner.fingerprint in {b'', attempt.fingerprint}:
        return None
    return Mismatch()


def list_withdrawn(replies: Replies) -> frozenset[bytes]:
    """Returns the tokens that any holder reports as withdrawn."""
    return frozenset(
        token for reply in replies.values() for token in reply.withdrawn
    )
