"""Sends a request to endpoints until it succeeds or may not be retried.

Every attempt uses the snapshot with which the request started. A newer one is
used only by a request that waits because its service had no endpoint.

An attempt whose endpoint is silent stays open while another one is made: the
first response is used, and the request fails only when no attempt is left.
"""

from typing import Protocol

from bilberry_core.messages.call import ReplyChunk, ReplyStart
from bilberry_core.snapshot import Snapshot
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.attempt import Attempt
from bilberry_proxy.attempt_recorder import AttemptRecorder
from bilberry_proxy.call import SlotReservation
from bilberry_proxy.call_start import build_call_start
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.decision_log import Outcome, join_verdicts
from bilberry_proxy.endpoint_wait import EndpointWait
from bilberry_proxy.placement import PlacementChoice
from bilberry_proxy.plan import Plan
from bilberry_proxy.poison import SuspicionLevel
from bilberry_proxy.request_body import RequestBody
from bilberry_proxy.retry import (
    AttemptState,
    RetryDecision,
    decide_retry,
)
from bilberry_proxy.running_attempts import RunningAttempts
from bilberry_proxy.silence import SilenceWatch
from bilberry_proxy.slot_finder import SlotFinder
from bilberry_proxy.stop_limit import limit_by_stop

#: Time after which a caller may retry if a service has no ready endpoint.
NO_ENDPOINT_RETRY_AFTER_MS = 500
#: Maximum attempts of one request, including refused ones.
MAX_PLACEMENTS = 6
_OTHER_UNDER_WAY = 'another attempt is under way'
_UPSTREAM_SILENT = Failure(
    Verdict.MAY_HAVE_RUN,
    FailureCode.DEADLINE,
    'the upstream stopped responding',
)
_DAEMON_SILENT = Failure(
    Verdict.MAY_HAVE_RUN,
    FailureCode.ENDPOINT_SILENT,
    'the daemon beside the upstream stopped responding',
)
_BODY_LOST = Failure(
    Verdict.NOT_RUN,
    FailureCode.OVERLOADED,
    'a part of the body was sent to an upstream that refused it',
    NO_ENDPOINT_RETRY_AFTER_MS,
)


class DispatchOwner(Protocol):
    """The request to which the attempts belong."""

    def on_reply(self, reply: ReplyStart) -> None:
        """Handles the start of the response."""

    def on_chunk(self, chunk: ReplyChunk) -> None:
        """Handles more of the response body."""

    def on_failure(self, failure: Failure) -> None:
        """Handles the failure of the last attempt."""

    def update_reading(self) -> None:
        """Resumes reading if the body has room for more, else pauses it."""


class Dispatch:
    """The attempts of one request: one, and silent ones before it."""

    def __init__(
        self,
        context: ProxyContext,
        owner: DispatchOwner,
        outcome: Outcome,
        body: RequestBody,
    ) -> None:
        self._context = context
        self._owner = owner
        self._outcome = outcome
        self._body = body
        self._plan: Plan | None = None
        self._fingerprint = b''
        self._recorder: AttemptRecorder | None = None
        self._attempts = RunningAttempts()
        self._has_other = False
        self._finder: SlotFinder | None = None
        self._silence: SilenceWatch | None = None
        self._wait = EndpointWait(
            context,
            self._on_snapshot,
            self._fail_without_endpoint,
        )

    @property
    def verdict(self) -> Verdict:
        """Whether an upstream may have run the request so far."""
        return join_verdicts(self._attempts.verdict, self._outcome.verdict)

    def start(self, plan: Plan, fingerprint: bytes) -> None:
        """Starts the first attempt, unless every endpoint would shed it."""
        plan = limit_by_stop(plan, self._context.board)
        self._plan = plan
        self._fingerprint = fingerprint
        self._recorder = AttemptRecorder(self._context, plan, fingerprint)
        self._finder = SlotFinder(self._context, self, plan, self._outcome)
        refusal = self._context.router.get_shed_failure(
            plan.snapshot.routes[plan.service],
            plan.priority,
        )
        if refusal is None:
            self._choose()
        else:
            self._owner.on_failure(refusal)

    def cancel(self) -> None:
        """Cancels every attempt; no further callback follows."""
        self._wait.stop()
        if self._finder is not None:
            self._finder.cancel()
        self._attempts.cancel()

    def grant(self, size: int) -> None:
        """Grants credit for `size` more bytes of the response."""
        if self._attempts.current is not None:
            self._attempts.current.grant(size)

    # Callbacks of the attempt.

    def on_reply(self, attempt: Attempt, reply: ReplyStart) -> None:
        """Forwards the start of the response and updates the load data."""
        if self._silence is not None:
            self._silence.stop()
        self._attempts.keep_only(attempt)
        self._owner.on_reply(reply)
        self._recorder.record_reply(attempt, reply)
        self._recorder.record_body(reply.body, reply.last)

    def on_chunk(self, chunk: ReplyChunk) -> None:
        """Forwards more of the response body."""
        self._owner.on_chunk(chunk)
        self._recorder.record_body(chunk.body, chunk.last)

    def on_credit(self, size: int) -> None:
        """Allows `size` more bytes of the request body to be sent."""
        self._body.credit(size)
        self._owner.update_reading()

    def on_failure(self, attempt: Attempt, failure: Failure) -> None:
        """Retries the request, or reports its failure."""
        if attempt.reported_notice is not None:
            self._context.router.record_notice(
                attempt.endpoint, attempt.reported_notice
            )
        if self._attempts.remove_silent(attempt):
            self._recorder.record_failure(attempt, failure)
            self._outcome.record_attempt_failure(failure, _OTHER_UNDER_WAY)
            return
        self._body.detach()
        if failure.code is FailureCode.NO_FREE_SLOT:
            may_repeat = (
                self._body.is_replayable and not self._recorder.is_quarantined()
            )
            self._finder.find_after(attempt, failure, may_repeat=may_repeat)
            return
        decision = self._decide_retry(attempt, failure)
        self._outcome.record_attempt_failure(failure, decision.reason)
        if decision.should_retry:
            self._choose()
        else:
            self.fail(failure)

    # Callbacks of the finder.

    def fail(self, failure: Failure) -> None:
        """Ends the request, unless a silent attempt may still succeed."""
        if not self._attempts.resume_silent():
            self._owner.on_failure(failure)

    def open_attempt(
        self,
        choice: PlacementChoice,
        reservation: SlotReservation | None = None,
    ) -> None:
        """Sends the request, to a slot that was offered if there is one.

        Nothing is sent if a part of its body is lost.
        """
        body = self._body.begin_attempt()
        if body is None:
            if reservation is not None:
                reservation.cancel()
            self.fail(_BODY_LOST._replace(verdict=self._outcome.verdict))
            return
        context = self._context
        selection = choice.selection
        endpoint = selection.endpoint
        now = context.clock.now()
        start = build_call_start(
            limit_by_stop(self._plan, context.board),
            body,
            self._fingerprint,
            now,
            bool(self._outcome.tried),
            _is_suspect(context, self._fingerprint),
            context.dialect.retried,
            choice.max_wait_ms,
        )._replace(
            notice=context.router.get_notice(endpoint),
            response_bytes=context.router.response_sizes.estimate(
                self._plan.route_key
            ),
        )
        self._outcome.record_attempt(selection)
        load = context.router.get_load(endpoint)
        attempt = Attempt(self, endpoint, load, now)
        self._attempts.current = attempt
        self._has_other = selection.has_other
        if reservation is None:
            attempt.open(context.find_target(endpoint), start)
        else:
            attempt.open_reserved(reservation, start)
        if attempt.ended:
            return
        if not start.last:
            self._body.attach(attempt)
        self._watch_silence(attempt)

    def _decide_retry(
        self,
        attempt: Attempt,
        failure: Failure,
    ) -> RetryDecision:
        plan = self._plan
        self._recorder.record_failure(attempt, failure)
        self._attempts.count_arrival(attempt, failure)
        state = AttemptState(
            plan.idempotent,
            self._body.is_replayable,
            attempt.answer_started,
            min(
                plan.retries + 1 - self._attempts.arrivals,
                MAX_PLACEMENTS - len(self._outcome.tried),
            ),
            limit_by_stop(plan, self._context.board).deadline
            - self._context.clock.now(),
            self._recorder.is_quarantined(),
            self._has_other,
        )
        budget = self._context.router.retry_budgets.get(plan.service)
        return decide_retry(failure, state, budget)

    def _choose(self) -> None:
        level = self._context.suspect_tracker.assess(self._fingerprint).level
        examined = b''
        if level >= SuspicionLevel.EXAMINED:
            examined = self._fingerprint
        must_queue = level > SuspicionLevel.CLEAR
        if self._finder.find(must_queue=must_queue, examined=examined):
            return
        if self._outcome.tried or not self._wait.start(self._plan.service):
            self._fail_without_endpoint()

    def _watch_silence(self, attempt: Attempt) -> None:
        plan = self._plan
        retries_left = plan.retries - self._attempts.arrivals
        if not plan.idempotent or not self._has_other or retries_left <= 0:
            return
        self._silence = SilenceWatch(
            attempt,
            self._context.timers,
            self._context.clock.now,
            self._on_silent,
        )
        self._silence.start(
            plan.deadline - self._outcome.started_at,
            plan.deadline - attempt.started_at,
            attempt.service_s,
        )

    def _on_silent(self, attempt: Attempt) -> None:
        """Tries another endpoint, if that is allowed, beside a silent one."""
        silent = (
            _DAEMON_SILENT if attempt.is_daemon_silent else _UPSTREAM_SILENT
        )
        decision = self._decide_retry(attempt, silent)
        self._outcome.record_retry_decision(silent, decision.reason)
        if not decision.should_retry:
            return
        if self._body.is_whole:
            self._attempts.set_silent(attempt)
        else:
            self._body.detach()
            attempt.cancel()
        self._choose()

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        plan = self._plan
        route = snapshot.routes.get(plan.service)
        if route is None or snapshot is plan.snapshot:
            return
        if self._context.router.choose(route, plan.decision, []) is None:
            return
        self._wait.stop()
        self.start(plan._replace(snapshot=snapshot), self._fingerprint)
        self._owner.update_reading()

    def _fail_without_endpoint(self) -> None:
        self.fail(
            Failure(
                self._outcome.verdict,
                FailureCode.NO_ENDPOINT,
                f'service "{self._plan.service}" has no ready upstream',
                NO_ENDPOINT_RETRY_AFTER_MS,
            ),
        )


def _is_suspect(context: ProxyContext, fingerprint: bytes) -> bool:
    assessment = context.suspect_tracker.assess(fingerprint)
    return assessment.level > SuspicionLevel.CLEAR
