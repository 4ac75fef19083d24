"""Claims a request before it is dispatched and settles it afterwards.

A claimed request runs to completion even if its caller disconnects, so that a
resend gets the stored response. A claim is released only if the request
provably did not run.
"""

from asyncio import get_running_loop
from collections.abc import Coroutine
from logging import getLogger
from typing import Protocol
from uuid import uuid4

from bilberry_core.claim import (
    MAX_ANSWER_BYTES,
    Answered,
    Attempt,
    ClaimKey,
    ClaimOutcome,
    Granted,
    Mismatch,
    StoredAnswer,
    Taken,
    Unavailable,
)
from bilberry_core.error import BilberryError
from bilberry_core.messages.call import ReplyChunk, ReplyStart
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.context import ProxyContext
from bilberry_proxy.plan import Plan

_log = getLogger(__name__)

#: Longest time to store a response or to release a claim, in seconds.
SETTLE_TIMEOUT_S = 5.0
#: Time after which a caller may retry the claim, in milliseconds.
CLAIM_RETRY_AFTER_MS = 500

_FAILURES: dict[type, Failure] = {
    Taken: Failure(
        Verdict.MAY_HAVE_RUN,
        FailureCode.CLAIM_TAKEN,
        'another request with this key has no response yet',
        CLAIM_RETRY_AFTER_MS,
    ),
    Mismatch: Failure(
        Verdict.NOT_RUN,
        FailureCode.CLAIM_CONFLICT,
        'this key was already used for a different request',
    ),
    Unavailable: Failure(
        Verdict.NOT_RUN,
        FailureCode.CLAIM_UNAVAILABLE,
        'no majority of claim holders answered',
        CLAIM_RETRY_AFTER_MS,
    ),
}


class GateOwner(Protocol):
    """The request that is claimed."""

    def on_grant(self) -> None:
        """Handles a granted claim: the request may be dispatched."""

    def on_stored_answer(self, answer: StoredAnswer) -> None:
        """Handles the stored response of an earlier run of the request."""

    def on_failure(self, failure: Failure) -> None:
        """Handles a failed claim: the request may not be dispatched."""


class ClaimGate:
    """The claim of one request, and the response that settles it."""

    def __init__(
        self,
        context: ProxyContext,
        owner: GateOwner,
        plan: Plan,
        fingerprint: bytes,
    ) -> None:
        self.is_granted = False
        self._context = context
        self._owner = owner
        self._deadline = plan.deadline
        self._attempt = Attempt(
            ClaimKey(plan.service, plan.request.key),
            uuid4().bytes,
            fingerprint,
            plan.decision.policy.claim_retention_s,
        )
        self._start: ReplyStart | None = None
        self._body = b''

    def claim(self) -> None:
        """Starts the claim; the owner is notified of the outcome."""
        self._spawn(self._claim())

    def buffer_start(self, reply: ReplyStart) -> None:
        """Buffers the start of the response."""
        self._start = reply
        self._buffer(reply.body, reply.last)

    def buffer_chunk(self, chunk: ReplyChunk) -> None:
        """Buffers more of the response body; settles the claim at its end."""
        self._buffer(chunk.body, chunk.last)

    def release(self) -> None:
        """Releases the claim: the request provably did not run."""
        if self.is_granted:
            self.is_granted = False
            claims = self._context.claims
            self._spawn(claims.release(self._attempt, SETTLE_TIMEOUT_S))

    def _buffer(self, body: bytes, last: bool) -> None:
        if len(self._body) <= MAX_ANSWER_BYTES:
            self._body += body
        if last and len(self._body) <= MAX_ANSWER_BYTES:
            self._spawn(self._settle())

    async def _claim(self) -> None:
        remaining_s = max(self._deadline - self._context.clock.now(), 0)
        try:
            outcome = await self._context.claims.claim(
                self._attempt, remaining_s
            )
        except (BilberryError, OSError, TimeoutError) as error:
            outcome = Unavailable(str(error))
        self._on_outcome(outcome)

    def _on_outcome(self, outcome: ClaimOutcome) -> None:
        if isinstance(outcome, Granted):
            self.is_granted = True
            self._owner.on_grant()
        elif isinstance(outcome, Answered):
            self._owner.on_stored_answer(outcome.answer)
        else:
            self._owner.on_failure(_FAILURES[type(outcome)])

    async def _settle(self) -> None:
        reply = self._start
        answer = StoredAnswer(reply.status, reply.headers, self._body)
        settled = await self._context.claims.settle(
            self._attempt,
            answer,
            SETTLE_TIMEOUT_S,
        )
        if not settled:
            _log.warning(
                'claim_not_settled',
                extra={'service': self._attempt.claim.service},
            )

    def _spawn(self, coroutine: Coroutine) -> None:
        task = get_running_loop().create_task(coroutine)
        self._context.tasks.add(task)
        task.add_done_callback(self._context.tasks.discard)
