"""The attempts of one request: chooses, opens, tries again or gives up.

Every attempt goes by the snapshot that the request began with. Only a request
that found no endpoint at all takes over a newer one while it waits.
"""

from typing import Protocol

from bilberry_core.messages.call import (
    NO_WAIT_LIMIT_MS,
    ReplyChunk,
    ReplyStart,
)
from bilberry_core.snapshot import Snapshot
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.attempt import Attempt
from bilberry_proxy.call_start import build_call_start
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.decision_log import Outcome
from bilberry_proxy.endpoint_wait import EndpointWait
from bilberry_proxy.placement import Placement
from bilberry_proxy.plan import Plan
from bilberry_proxy.poison import SuspicionLevel
from bilberry_proxy.request_body import RequestBody
from bilberry_proxy.retry import AttemptState, decide_retry, has_arrived
from bilberry_proxy.selection import Selection
from bilberry_proxy.silence import SilenceWatch

#: When a caller may come back to a service without ready endpoints.
NO_ENDPOINT_RETRY_AFTER_MS = 500
#: Endpoints at most that one request is sent to, refusals included.
MAX_PLACEMENTS = 6
_UPSTREAM_SILENT = Failure(
    Verdict.MAY_HAVE_RUN,
    FailureCode.DEADLINE,
    'the upstream has fallen silent',
)
_DAEMON_SILENT = Failure(
    Verdict.MAY_HAVE_RUN,
    FailureCode.ENDPOINT_SILENT,
    'the daemon beside the upstream has fallen silent',
)


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
        self._has_other = False
        self._arrivals = 0
        self._placement = Placement(context.router)
        self._silence: SilenceWatch | None = None
        self._wait = EndpointWait(
            context,
            self._adopt,
            self._fail_without_endpoint,
        )

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
        """Makes the first attempt, unless it would be shed."""
        self._plan = plan
        self._fingerprint = fingerprint
        refusal = self._context.router.find_refusal(
            plan.snapshot.routes[plan.service],
            plan.decision.policy.priority,
        )
        if refusal is None:
            self._choose()
        else:
            self._owner.take_failure(refusal)

    def cancel(self) -> None:
        """Ends the attempt under way; nothing more is received."""
        self._wait.stop()
        if self._attempt is not None:
            self._attempt.cancel()

    def grant(self, size: int) -> None:
        """Lets the answer go on by this many bytes."""
        if self._attempt is not None:
            self._attempt.grant(size)

    # The attempt's side.

    def take_reply(self, attempt: Attempt, reply: ReplyStart) -> None:
        """Passes the start of an answer on and learns from it."""
        context = self._context
        latency_s = context.clock.now() - attempt.started_at
        if self._silence is not None:
            self._silence.stop()
        self._owner.take_reply(reply)
        context.router.note_answer(attempt.endpoint, latency_s, reply.load)
        context.router.service_times.learn(
            self._plan.route_key,
            latency_s,
            reply.load.waited_us,
        )

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
        self._body.detach()
        if failure.code is FailureCode.NO_FREE_SLOT:
            self._take_full(attempt)
            return
        quarantined = self._learn(attempt, failure)
        state = AttemptState(
            plan.idempotent,
            self._body.is_replayable,
            attempt.began,
            self._count_retries_left(failure),
            plan.deadline - self._context.clock.now(),
            quarantined,
            self._has_other,
        )
        budget = self._context.router.find_budget(plan.service)
        decision = decide_retry(failure, state, budget)
        self._outcome.note_attempt_failed(failure, decision.reason)
        if decision.again:
            self._choose()
        else:
            self._owner.take_failure(failure)

    def _count_retries_left(self, failure: Failure) -> int:
        self._arrivals += has_arrived(failure)
        placements_left = MAX_PLACEMENTS - len(self._outcome.tried)
        return min(self._plan.retries + 1 - self._arrivals, placements_left)

    def _learn(self, attempt: Attempt, failure: Failure) -> bool:
        context = self._context
        plan = self._plan
        context.router.note_failure(
            attempt.endpoint,
            plan.snapshot.routes[plan.service],
            failure,
            context.clock.now() - attempt.started_at,
        )
        if failure.code is FailureCode.OVERLOADED:
            context.router.note_shed(
                attempt.endpoint,
                plan.decision.policy.priority,
                failure.retry_after_ms,
            )
        if failure.code is FailureCode.UPSTREAM_CRASHED:
            weights = {self._fingerprint: attempt.weight}
            context.suspect_tracker.name(weights, attempt.endpoint)
        assessment = context.suspect_tracker.assess(self._fingerprint)
        return assessment.level is SuspicionLevel.QUARANTINED

    def _choose(self) -> None:
        plan = self._plan
        place = self._placement.choose(plan, self._outcome.tried)
        if place is not None:
            self._open(*place)
        elif self._outcome.tried or not self._wait.start(plan.service):
            self._fail_without_endpoint()

    def _take_full(self, attempt: Attempt) -> None:
        self._outcome.forget_attempt()
        load = attempt.reported
        refusal = self._placement.note_full(attempt.endpoint, load)
        if refusal is None:
            self._choose()
        else:
            self._owner.take_failure(refusal)

    def _open(
        self,
        selection: Selection,
        max_wait_ms: int = NO_WAIT_LIMIT_MS,
    ) -> None:
        context = self._context
        endpoint = selection.endpoint
        now = context.clock.now()
        assessment = context.suspect_tracker.assess(self._fingerprint)
        start = build_call_start(
            self._plan,
            self._body,
            self._fingerprint,
            now,
            bool(self._outcome.tried),
            assessment.level > SuspicionLevel.CLEAR,
            context.dialect.retried,
            max_wait_ms,
        )
        self._outcome.note_attempt(selection)
        load = context.router.find_load(endpoint)
        attempt = Attempt(self, endpoint, load, now)
        self._attempt = attempt
        self._has_other = selection.has_other
        attempt.open(context.find_target(endpoint), start)
        if attempt.ended:
            return
        if not start.last:
            self._body.attach(attempt)
        self._watch(attempt)

    def _watch(self, attempt: Attempt) -> None:
        plan = self._plan
        retries_left = plan.retries - self._arrivals
        if not plan.idempotent or not self._has_other or retries_left <= 0:
            return
        self._silence = SilenceWatch(
            attempt,
            self._context.timers,
            self._context.clock.now,
            self._leave,
        )
        self._silence.start(
            plan.deadline - self._outcome.started_at,
            plan.deadline - attempt.started_at,
        )

    def _leave(self, attempt: Attempt) -> None:
        silent = (
            _DAEMON_SILENT if attempt.is_daemon_silent else _UPSTREAM_SILENT
        )
        attempt.cancel()
        self.take_failure(attempt, silent)

    def _adopt(self, snapshot: Snapshot) -> None:
        plan = self._plan
        route = snapshot.routes.get(plan.service)
        if route is None:
            return
        selection = self._context.router.choose(route, plan.decision, [])
        if selection is None:
            return
        self._wait.stop()
        self._plan = plan._replace(snapshot=snapshot)
        self._open(selection)
        self._owner.control_reading()

    def _fail_without_endpoint(self) -> None:
        self._owner.take_failure(
            Failure(
                self._outcome.verdict,
                FailureCode.NO_ENDPOINT,
                f'service "{self._plan.service}" has no ready upstream',
                NO_ENDPOINT_RETRY_AFTER_MS,
            ),
        )
