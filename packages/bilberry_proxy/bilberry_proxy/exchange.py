"""Processes one request from its first byte to the end of its response.

The request uses the snapshot with which it started. It gets exactly one
response: the upstream's, or a failure with its verdict.
"""

from bilberry_core.board import Phase
from bilberry_core.claim import StoredAnswer
from bilberry_core.messages.call import ReplyChunk, ReplyStart
from bilberry_core.verdict import Failure, FailureCode, Verdict
from h11 import Request
from returns.result import Success

from bilberry_proxy.admitter import LATE_RETRY_AFTER_MS
from bilberry_proxy.allowance_wait import AllowanceWait
from bilberry_proxy.answer import Answer, Caller
from bilberry_proxy.caller_request import (
    CallerRequest,
    RequestOrigin,
    compute_content_digest,
    compute_fingerprint,
    parse_caller_request,
)
from bilberry_proxy.claim_gate import ClaimGate
from bilberry_proxy.configuration_wait import ConfigurationWait
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.decision_log import Outcome, count_outcome, log_decision
from bilberry_proxy.dispatch import Dispatch
from bilberry_proxy.http_headers import find_header
from bilberry_proxy.plan import Plan, doubt_denial, plan_request
from bilberry_proxy.poison import SuspicionLevel, build_quarantine_failure
from bilberry_proxy.request_body import RequestBody
from bilberry_proxy.response_track import CutCause, ResponseTrack
from bilberry_proxy.stop_limit import DRAINING, is_too_late
from bilberry_proxy.timers import Timer

#: Longest body that is buffered for retries, in bytes.
REPLAY_BYTES = 64 << 10
#: Longest body of a claimed request, in bytes.
CLAIMED_BODY_BYTES = 1 << 20
#: Time after the deadline in which the daemon beside the upstream can still
#: report its own verdict, in seconds.
DEADLINE_GRACE_S = 0.05
#: Longest pause of a response that goes on after its deadline, in seconds.
RESPONSE_PAUSE_S = 5.0

_CALLER_DISCONNECTED = Failure(
    Verdict.NOT_RUN,
    FailureCode.CANCELLED,
    'the caller disconnected',
)
_TOO_LARGE = Failure(
    Verdict.NOT_RUN,
    FailureCode.TOO_LARGE,
    f'a request with an idempotency key may have a body of at most '
    f'{CLAIMED_BODY_BYTES} bytes',
)


class Exchange:
    """One request and its response."""

    def __init__(self, context: ProxyContext, caller: Caller) -> None:
        #: The usual size of the response, in bytes; 0 if it is short.
        self.usual_bytes = 0
        self._context = context
        self._track = ResponseTrack(context.metrics, context.clock.now)
        self._answer = Answer(caller, context.dialect, self._track)
        self._request: CallerRequest | None = None
        self._wait = ConfigurationWait(context, self._plan_request)
        self._allowance = AllowanceWait(context, self._run, self.on_failure)
        self._outcome = Outcome()
        self._plan: Plan | None = None
        self._body = RequestBody(REPLAY_BYTES, context.pressure.kept_bodies)
        self._dispatch: Dispatch | None = None
        self._gate: ClaimGate | None = None
        self._timer: Timer | None = None
        self._fingerprint = b''

    # Called by the caller's connection.

    def begin(self, start: Request) -> None:
        """Handles the head of the request: plans it or refuses it."""
        context = self._context
        now = context.clock.now()
        self._outcome.started_at = now
        request_id = find_header(start.headers, context.dialect.request_id)
        self._outcome.request_id = request_id.decode('latin-1')
        self._track.request_id = self._outcome.request_id
        self._track.started_at = now
        if context.board.phase.value is Phase.DRAINING:
            self.on_failure(DRAINING)
            return
        parsed = parse_caller_request(start, context.dialect, context.service)
        if not isinstance(parsed, Success):
            self.on_failure(parsed.failure())
            return
        self._request = parsed.unwrap()
        context.running.add(self)
        if not self._wait.start(self._request):
            self._plan_request()

    def feed(self, body: bytes, last: bool) -> None:
        """Handles more of the request body."""
        if self._outcome.ended:
            return
        was_ready = self._body.is_ready
        self._body.feed(body, last)
        if self._body.is_ready and not was_ready and self._plan is not None:
            if self._context.board.phase.value is Phase.DRAINING:
                self.on_failure(DRAINING)
                return
            self._start()
        self.update_reading()

    def abandon(
        self,
        failure: Failure = DRAINING,
        cause: CutCause = CutCause.STOP,
    ) -> None:
        """Ends the request with a failure, whose verdict is filled in.

        A response that has begun is reported as cut by `cause`. Without
        arguments it ends as the proxy does.
        """
        if self._outcome.ended:
            return
        verdict = Verdict.NOT_RUN
        if self._gate is not None:
            verdict = Verdict.MAY_HAVE_RUN
        elif self._dispatch is not None:
            verdict = self._dispatch.verdict
        self._wait.stop()
        self._allowance.stop()
        if self._dispatch is not None:
            self._dispatch.cancel()
        failure = failure._replace(verdict=verdict)
        self._answer.report_cut(cause, failure)
        self.on_failure(failure)

    def on_caller_disconnected(self) -> None:
        """Cancels the request, unless it is claimed."""
        self._answer.detach_caller()
        if self._outcome.ended or self._gate is not None:
            return
        if self._wait.stop() or self._allowance.stop():
            self._end(_CALLER_DISCONNECTED)
            return
        verdict = self._dispatch.verdict
        self._dispatch.cancel()
        self._end(_CALLER_DISCONNECTED._replace(verdict=verdict))

    def resume_answer(self) -> None:
        """Grants credit for more of the response if the caller is writable."""
        size = self._answer.pop_credit()
        if size and self._dispatch is not None:
            self._dispatch.grant(size)

    # Callbacks of the dispatch.

    def on_reply(self, reply: ReplyStart) -> None:
        """Forwards the start of the response."""
        if self._gate is not None:
            self._gate.buffer_start(reply)
        status, last = reply.status, reply.last
        self._answer.start(status, reply.headers, reply.body, last)
        if last:
            self._end(None, status)
        else:
            self.resume_answer()

    def on_chunk(self, chunk: ReplyChunk) -> None:
        """Forwards more of the response body."""
        if self._gate is not None:
            self._gate.buffer_chunk(chunk)
        self._answer.send_body(chunk.body, chunk.last)
        if chunk.last:
            self._end(None, self._answer.status)
        else:
            self.resume_answer()

    def on_failure(self, failure: Failure) -> None:
        """Ends the request with a failure response."""
        if self._outcome.ended:
            return
        final = self._outcome.complete(failure)
        if self._gate is not None and final.verdict is Verdict.NOT_RUN:
            self._gate.release()
        self._answer.fail(final)
        self._end(final, self._answer.status)

    def update_reading(self) -> None:
        """Resumes reading if the body has room for more, else pauses it."""
        if not self._outcome.ended and not self._body.is_complete:
            self._answer.set_reading(self._body.wants_more)

    # Callbacks of the claim.

    def on_grant(self) -> None:
        """Dispatches the request, or releases the claim if no caller waits."""
        if self._outcome.ended or not self._answer.has_caller:
            self._gate.release()
            self._end(_CALLER_DISCONNECTED)
            return
        plan = self._plan
        self._dispatch.start(
            plan._replace(deadline=plan.run_deadline),
            self._fingerprint,
        )

    def on_stored_answer(self, answer: StoredAnswer) -> None:
        """Sends the stored response of the first request with this key."""
        if self._outcome.ended:
            return
        self._allowance.give_back()
        self._end(None, answer.status)
        self._answer.start(answer.status, answer.headers, answer.body, True)

    def _plan_request(self) -> None:
        context = self._context
        started_at = self._outcome.started_at
        planned = plan_request(
            self._request,
            context.board.snapshot.value,
            started_at,
            context.claims is not None,
            context.router.split.pick,
            context.dialect,
            is_call_of_running=context.running_requests.is_call_of_one(
                self._outcome.request_id,
            ),
        )
        if not isinstance(planned, Success):
            failure = planned.failure()
            is_doubtful = context.board.may_lack_version
            self.on_failure(doubt_denial(failure) if is_doubtful else failure)
            return
        self._begin_plan(planned.unwrap(), started_at)
        if self._body.is_ready:
            self._start()
        if self._body.buffered:
            self.update_reading()

    def _begin_plan(self, plan: Plan, now: float) -> None:
        context = self._context
        self._plan = plan
        self._outcome.plan = plan
        sizes = context.router.response_sizes
        self.usual_bytes = sizes.estimate(plan.route_key)
        if plan.claimed:
            self._body.buffer_up_to(CLAIMED_BODY_BYTES)
        self._dispatch = Dispatch(context, self, self._outcome, self._body)
        context.interest.register(plan.service, now)
        if plan.request.deadline_ms and plan.decision.policy.target_latency_ms:
            context.router.usual_deadlines.record(
                plan.route_key, plan.request.deadline_ms
            )
        percent = context.retry_budget_percent
        if percent is None:
            percent = plan.decision.policy.retry_budget_percent
        context.router.retry_budgets.get(plan.service).deposit(percent)
        self._timer = context.timers.schedule(
            plan.deadline + DEADLINE_GRACE_S,
            self._expire,
        )

    def _start(self) -> None:
        plan = self._plan
        self._fingerprint = compute_fingerprint(
            _find_origin(self._context, plan),
            plan.request.method,
            plan.request.target,
            _identify_body(plan, self._body),
        )
        refusal = _find_refusal(self._context, plan)
        tracker = self._context.suspect_tracker
        assessment = tracker.assess(self._fingerprint)
        if refusal is not None:
            self.on_failure(refusal)
        elif assessment.level is SuspicionLevel.QUARANTINED:
            hold_s = tracker.get_hold_s(self._fingerprint)
            self.on_failure(build_quarantine_failure(hold_s))
        else:
            self._allowance.start(plan)

    def _run(self) -> None:
        plan = self._plan
        if not plan.claimed:
            self._dispatch.start(plan, self._fingerprint)
        elif self._body.is_whole:
            # A key may be sent again through any proxy.
            content = compute_content_digest(
                plan.service,
                plan.request.method,
                plan.request.target,
                self._body.buffered,
            )
            self._gate = ClaimGate(self._context, self, plan, content)
            self._gate.claim()
        else:
            self.on_failure(_TOO_LARGE)

    def _expire(self) -> None:
        """Ends the request, unless its response is on its way."""
        plan = self._plan
        context = self._context
        if self._answer.has_advanced():
            self._timer = context.timers.schedule(
                context.clock.now() + RESPONSE_PAUSE_S,
                self._expire,
            )
            return
        verdict = self._dispatch.verdict
        if self._gate is not None:
            verdict = Verdict.MAY_HAVE_RUN
        # A request that did not run may be retried if its caller still waits.
        retry_after_ms = 0
        if verdict is Verdict.NOT_RUN:
            retry_after_ms = LATE_RETRY_AFTER_MS
        failure = Failure(
            verdict,
            FailureCode.DEADLINE,
            'the deadline has passed',
            retry_after_ms,
        )
        if _outlives_caller(self._gate, plan, context.clock.now()):
            # A resend with the same key gets the stored response.
            self._answer.fail(failure)
            self._answer.detach_caller()
            self._timer = context.timers.schedule(
                plan.run_deadline + DEADLINE_GRACE_S,
                self._expire,
            )
            return
        self._allowance.stop()
        self._dispatch.cancel()
        self.on_failure(failure)

    def _end(self, failure: Failure | None, status: int = 0) -> None:
        if self._outcome.ended:
            return
        self._outcome.end(failure, status)
        if failure is not None and failure.verdict is Verdict.NOT_RUN:
            self._allowance.give_back()
        self._context.running.discard(self)
        self._body.release()
        if self._timer is not None:
            self._timer.cancel()
        now = self._context.clock.now()
        if failure is None and self._answer.has_caller:
            deadline = self._plan.deadline
            if now > deadline:
                self._track.report_late(deadline, now)
        log_decision(self._outcome, now)
        count_outcome(self._context.metrics, self._outcome, now)


def _find_origin(context: ProxyContext, plan: Plan) -> RequestOrigin:
    organisation = plan.organisation
    return RequestOrigin(
        plan.service,
        context.service,
        organisation.name if organisation is not None else '',
    )


def _identify_body(plan: Plan, body: RequestBody) -> bytes:
    """Returns the part of a body by which a request is known again.

    How much of a longer body is buffered differs from time to time.
    """
    return body.buffered if plan.claimed else body.buffered[:REPLAY_BYTES]


def _find_refusal(context: ProxyContext, plan: Plan) -> Failure | None:
    service_s = context.router.service_times.estimate_s(plan.route_key)
    if is_too_late(context.board, service_s, context.clock.now()):
        return DRAINING
    return context.pressure.get_shed_failure(plan.priority)


def _outlives_caller(gate: ClaimGate | None, plan: Plan, now: float) -> bool:
    """Returns whether a claimed request goes on without its caller."""
    return gate is not None and gate.is_granted and now < plan.run_deadline
