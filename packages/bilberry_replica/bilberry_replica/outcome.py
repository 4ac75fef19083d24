"""Converts decisions to messages and to results for operators."""

from bilberry_core.acceptance import (
    Accepted,
    Change,
    ChangeIdReused,
    Conflict,
    NotAccepted,
    OutcomeUnknown,
    Refusal,
)
from bilberry_core.messages.replica import SubmitReply
from returns.result import Failure, Result, Success

from bilberry_replica.acceptance import Unanswered
from bilberry_replica.register import Decision


def encode_reply(request: int, decision: Decision | Unanswered) -> SubmitReply:
    """Returns the message that carries a decision."""
    reply = SubmitReply(request)
    match decision:
        case Accepted():
            return reply._replace(accepted=decision)
        case Conflict():
            return reply._replace(newer=decision.newer)
        case ChangeIdReused():
            return reply._replace(reused=decision)
        case NotAccepted():
            return reply._replace(refused=decision.detail)
        case _:
            return reply._replace(unknown=decision.sent)


def decode_reply(
    change: Change,
    reply: SubmitReply | None,
) -> Decision | Unanswered:
    """Returns the decision that a message carries."""
    if reply is None:
        return Unanswered(sent=False)
    if reply.newer is not None:
        return Conflict(change.base_version, reply.newer)
    if reply.refused:
        return NotAccepted(reply.refused)
    return reply.accepted or reply.reused or Unanswered(reply.unknown)


def build_result(
    change: Change,
    decision: Decision | Unanswered,
) -> Result[Accepted, Refusal]:
    """Returns the result that is reported to the operator."""
    if isinstance(decision, Accepted):
        return Success(decision)
    if not isinstance(decision, Unanswered):
        return Failure(decision)
    if decision.sent:
        return Failure(
            OutcomeUnknown(
                change.change_id,
                'no quorum answered in time: resend with the same ID',
            ),
        )
    return Failure(NotAccepted('no leader was reached: resend it later'))
