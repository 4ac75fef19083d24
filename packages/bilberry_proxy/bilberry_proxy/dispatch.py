"""The attempts of one request: chooses, opens, tries again or gives up.

Every attempt goes by the snapshot that the request began with. Only a request
that found no endpoint at all takes over a newer one while it waits.
"""

from collections.abc import Callable
from typing import Protocol

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.call import CallStart, ReplyChunk, ReplyStart
from bilberry_core.snapshot import Snapshot
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.attempt import Attempt
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.decision_log import Outcome
from bilberry_proxy.http_headers import RETRIED
from bilberry_proxy.plan import Plan
from bilberry_proxy.poison import Judgement
from bilberry_proxy.request_body import RequestBody
from bilberry_proxy.retry import AttemptState, decide_retry
from bilberry_proxy.selection import Selection

#: When a caller may come back to a service without ready endpoints.
NO_ENDPOINT_RETRY_AFTER_MS = 500
_RETRIED_HEADER = (RETRIED, b'1')


class DispatchOwner(Protocol):
    """The request that the attempts belong to."""

    def take_reply(self, reply: ReplyStart) -> None:
        """Takes the start of the answer."""

    def take_chunk(self, chunk: ReplyChunk) -> None:
        """Takes more of the answer."""

    def take_failure(self, failure: Failure) -> None:
        """Takes the failure of the last attempt."""

    def control_reading(self) -> None:
        """Reads as much of the request as its body wants."""


class Dispatch:
    """The attempts of one request, one at a time."""

    def __init__(
        self,
        context: ProxyContext,
        owner: DispatchOwner,
        outcome: Outcome,
        body: RequestBody,
    ) -> None:
        """Starts without an attempt."""
        self._context = context
        self._owner = owner
        self._outcome = outcome
        self._body = body
        self._plan: Plan | None = None
        self._fingerprint = b''
        self._attempt: Attempt | None = None
        self._stop_waiting: Callable[[], None] | None = None

    @property
    def verdict(self) -> Verdict:
        """Whether an upstream may have run the request, as of now."""
        attempt = self._attempt
        if attempt is None or attempt.ended:
            return self._outcome.verdict
        if attempt.began:
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN

    def start(self, plan: Plan, fingerprint: bytes) -> None:
        """Makes the first attempt."""
        self._plan = plan
        self._fingerprint = fingerprint
        self._choose()

    def cancel(self) -> None:
        """Ends the attempt under way; nothing more is received."""
        self._cancel_waiting()
        if self._attempt is not None:
            self._attempt.cancel()

    def grant(self, size: int) -> None:
        """Lets the answer go on by this many bytes."""
        if self._attempt is not None:
            self._attempt.grant(size)

    # The attempt's side.

    def take_reply(self, attempt: Attempt, reply: ReplyStart) -> None:
        """Learns from the start of an answer and passes it on."""
        context = self._context
        latency_s = context.clock.now() - attempt.started_at
        context.router.note_answer(attempt.endpoint, latency_s, reply.load)
        self._owner.take_reply(reply)

    def take_chunk(self, chunk: ReplyChunk) -> None:
        """Passes more of the answer on."""
        self._owner.take_chunk(chunk)

    def take_credit(self, size: int) -> None:
        """Takes leave to send more of the request."""
        self._body.credit(size)
        self._owner.control_reading()

    def take_failure(self, attempt: Attempt, failure: Failure) -> None:
        """Tries again, or ends the request."""
        plan = self._plan
        router = self._context.router
        self._body.detach()
        route = plan.snapshot.routes[plan.service]
        router.note_failure(attempt.endpoint, route, failure)
        suspicion = self._context.suspicion
        if failure.code is FailureCode.UPSTREAM_CRASHED:
            suspicion.name((self._fingerprint,), attempt.endpoint)
        finding = suspicion.judge(self._fingerprint)
        state = AttemptState(
            plan.idempotent,
            self._body.is_replayable,
            attempt.began,
            plan.retries + 1 - len(self._outcome.tried),
            plan.deadline - self._context.clock.now(),
            finding.judgement is Judgement.QUARANTINED,
        )
        budget = router.find_budget(plan.service)
        decision = decide_retry(failure, state, budget)
        self._outcome.note_attempt_failed(failure, decision.reason)
        if decision.again:
            self._choose()
        else:
            self._owner.take_failure(failure)

    def _choose(self) -> None:
        plan = self._plan
        selection = self._context.router.choose(
            plan.snapshot.routes[plan.service],
            plan.decision,
            self._outcome.tried,
        )
        if selection is None:
            self._wait_for_endpoints()
            return
        self._open(selection)

    def _open(self, selection: Selection) -> None:
        context = self._context
        endpoint = selection.endpoint
        now = context.clock.now()
        start = self._build_start(now)
        self._outcome.note_attempt(selection)
        load = context.router.find_load(endpoint)
        attempt = Attempt(self, endpoint, load, now)
        self._attempt = attempt
        attempt.open(context.find_target(endpoint), start)
        if not attempt.ended and not start.last:
            self._body.attach(attempt)

    def _build_start(self, now: float) -> CallStart:
        plan = self._plan
        request = plan.request
        headers = request.headers
        if self._outcome.tried or request.retried:
            headers = (*headers, _RETRIED_HEADER)
        finding = self._context.suspicion.judge(self._fingerprint)
        left_ms = int((plan.deadline - now) * MS_PER_S)
        return CallStart(
            0,
            plan.service,
            request.method,
            request.target,
            headers,
            self._body.kept,
            self._body.is_whole,
            max(left_ms, 1),
            plan.decision.policy.priority,
            self._fingerprint,
            finding.judgement > Judgement.CLEAR,
        )

    def _wait_for_endpoints(self) -> None:
        context = self._context
        until = context.interest.find_wait_until(self._plan.service)
        if until <= context.clock.now() or self._outcome.tried:
            self._fail_without_endpoint()
            return
        timer = context.timers.schedule(until, self._fail_without_endpoint)
        unwatch = context.board.snapshot.watch(self._adopt)

        def stop() -> None:
            timer.cancel()
            unwatch()

        self._stop_waiting = stop

    def _adopt(self, snapshot: Snapshot) -> None:
        plan = self._plan
        route = snapshot.routes.get(plan.service)
        if route is None:
            return
        selection = self._context.router.choose(route, plan.decision, [])
        if selection is None:
            return
        self._plan = plan._replace(snapshot=snapshot)
        self._cancel_waiting()
        self._open(selection)
        self._owner.control_reading()

    def _fail_without_endpoint(self) -> None:
        self._cancel_waiting()
        self._owner.take_failure(
            Failure(
                self._outcome.verdict,
                FailureCode.NO_ENDPOINT,
                f'service "{self._plan.service}" has no ready upstream',
                NO_ENDPOINT_RETRY_AFTER_MS,
            ),
        )

    def _cancel_waiting(self) -> None:
        stop = self._stop_waiting
        self._stop_waiting = None
        if stop is not None:
            stop()
