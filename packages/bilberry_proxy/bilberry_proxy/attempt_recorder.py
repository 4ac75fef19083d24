"""Records what the attempts of one request show of their endpoints."""

from bilberry_core.messages.call import ReplyStart
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.attempt import Attempt
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.plan import Plan
from bilberry_proxy.poison import SuspicionLevel
from bilberry_proxy.response_size import parse_length

_US_PER_S = 1_000_000


class AttemptRecorder:
    """Passes the outcomes of attempts on to the router and the trackers."""

    def __init__(
        self,
        context: ProxyContext,
        plan: Plan,
        fingerprint: bytes,
    ) -> None:
        """Records for one request, which `fingerprint` identifies."""
        self._context = context
        self._plan = plan
        self._fingerprint = fingerprint
        self._received = 0
        self._is_size_known = False

    def record_reply(self, attempt: Attempt, reply: ReplyStart) -> None:
        """Records the start of a response."""
        router = self._context.router
        latency_s = self._context.clock.now() - attempt.started_at
        router.record_notice(attempt.endpoint, reply.notice)
        router.record_answer(attempt.endpoint, latency_s, reply.load)
        plan = self._plan
        self._context.rollout_evidence.record_answer(
            attempt.endpoint,
            plan.decision.route,
            reply.status,
            reply.served_us / _US_PER_S,
        )
        router.service_times.update(
            plan.route_key,
            latency_s,
            reply.load.waited_us,
        )
        length = parse_length(reply.headers)
        self._is_size_known = length is not None
        if length is not None:
            router.response_sizes.update(plan.route_key, length)

    def record_body(self, body: bytes, last: bool) -> None:
        """Records a part of the response body, and its size at the end.

        A size that the response names was recorded when it began.
        """
        self._received += len(body)
        if last and not self._is_size_known:
            sizes = self._context.router.response_sizes
            sizes.update(self._plan.route_key, self._received)

    def record_failure(self, attempt: Attempt, failure: Failure) -> None:
        """Records the failure of an attempt, or its silence."""
        plan = self._plan
        router = self._context.router
        endpoint = attempt.endpoint
        if failure.code is FailureCode.NO_FREE_SLOT:
            router.record_no_slot(endpoint, attempt.reported_load)
            return
        router.record_failure(
            endpoint,
            plan.snapshot.routes[plan.service],
            failure,
            self._context.clock.now() - attempt.started_at,
        )
        has_run = failure.verdict is not Verdict.NOT_RUN
        if has_run and failure.code is FailureCode.DEADLINE:
            self._context.rollout_evidence.record_silence(
                endpoint, plan.decision.route
            )
        if failure.code is FailureCode.OVERLOADED:
            router.record_shed(
                endpoint,
                plan.priority,
                failure.retry_after_ms,
            )
        if failure.code is FailureCode.UPSTREAM_CRASHED:
            weights = {self._fingerprint: attempt.weight}
            self._context.suspect_tracker.name(weights, endpoint)

    def is_quarantined(self) -> bool:
        """Returns whether the request must not be sent to another upstream."""
        assessment = self._context.suspect_tracker.assess(self._fingerprint)
        return assessment.level >= SuspicionLevel.EXAMINED
