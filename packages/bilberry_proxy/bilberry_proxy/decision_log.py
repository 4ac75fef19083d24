"""Logs and counts the outcome of each request."""

from logging import getLogger

from bilberry_core.clock import MS_PER_S
from bilberry_core.metric import Metrics
from bilberry_core.verdict import Failure, Verdict

from bilberry_proxy.plan import Plan
from bilberry_proxy.selection import Selection

_log = getLogger(__name__)
_VERDICT_RANK = {
    Verdict.NOT_RUN: 0,
    Verdict.MAY_HAVE_RUN: 1,
    Verdict.RAN: 2,
}


def join_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Returns the joint verdict of two attempts: the one of higher rank."""
    return max(first, second, key=_VERDICT_RANK.__getitem__)


class Outcome:
    """The attempts and the state of one request so far.

    `tried` are the instances that attempts were sent to, in order. `verdict`
    covers every failed attempt. `slot_refusals` counts the endpoints that had
    no free slot. `request_id` is the caller's ID of the request; it is set
    even if the request is refused before it is planned.
    """

    def __init__(self) -> None:
        self.ended = False
        self.started_at: float = 0
        self.request_id = ''
        self.verdict = Verdict.NOT_RUN
        self.status = 0
        self.plan: Plan | None = None
        self.selection: Selection | None = None
        self.failure: Failure | None = None
        self.tried: list[str] = []
        self.slot_refusals = 0
        self.retry_reasons: list[str] = []

    def record_attempt(self, selection: Selection) -> None:
        """Records an attempt that is about to be sent."""
        self.selection = selection
        self.tried.append(selection.endpoint.instance)

    def drop_attempt(self) -> None:
        """Removes the latest attempt: its endpoint had no free slot."""
        self.slot_refusals += 1
        self.tried.pop()

    def record_attempt_failure(self, failure: Failure, reason: str) -> None:
        """Records why an attempt failed and why it is retried or not."""
        self.verdict = join_verdicts(self.verdict, failure.verdict)
        self.record_retry_decision(failure, reason)

    def record_retry_decision(self, failure: Failure, reason: str) -> None:
        """Records why a request is retried or not; its attempt goes on."""
        self.retry_reasons.append(f'{failure.code.value}: {reason}')

    def complete(self, failure: Failure) -> Failure:
        """Returns `failure` with the verdict and retries of all attempts."""
        return failure._replace(
            verdict=join_verdicts(failure.verdict, self.verdict),
            retried=failure.retried or len(self.tried) > 1,
        )

    def end(self, failure: Failure | None, status: int) -> None:
        """Records the end of the request; `failure` is None on success."""
        self.ended = True
        self.failure = failure
        self.status = status


def log_decision(outcome: Outcome, now: float) -> None:
    """Logs a request that ended at `now`, monotonic time in seconds."""
    duration_s = now - outcome.started_at
    fields = {
        'status': outcome.status,
        'tried': outcome.tried,
        'duration_ms': round(duration_s * MS_PER_S, 3),
        'request': outcome.request_id,
    }
    plan = outcome.plan
    if plan is not None:
        fields['service'] = plan.service
        fields['route'] = plan.decision.route
        fields['deadline_ms'] = plan.request.deadline_ms
        fields['method'] = plan.request.method.decode('ascii')
        fields['version'] = plan.snapshot.version
        fields['exception'] = plan.decision.exception
        if plan.organisation is not None:
            fields['organisation'] = plan.organisation.name
    if outcome.selection is not None:
        fields['chosen'] = outcome.selection.endpoint.instance
        fields['candidates'] = outcome.selection.candidates
        fields['why'] = outcome.selection.reason
    if outcome.slot_refusals:
        fields['without_slot'] = outcome.slot_refusals
    if outcome.retry_reasons:
        fields['retries'] = outcome.retry_reasons
    if outcome.failure is not None:
        fields['code'] = outcome.failure.code.value
        fields['verdict'] = outcome.failure.verdict.value
        fields['detail'] = outcome.failure.detail
    _log.info('request_routed', extra=fields)


def count_outcome(metrics: Metrics, outcome: Outcome, now: float) -> None:
    """Counts a request that ended at `now`, monotonic time in seconds."""
    if outcome.failure is None:
        metrics.incr('request.answered')
    else:
        metrics.incr(f'request.failed.{outcome.failure.code.value}')
    if len(outcome.tried) > 1:
        metrics.incr('request.retried', len(outcome.tried) - 1)
    duration_s = now - outcome.started_at
    metrics.timing('request.duration', duration_s * MS_PER_S)
