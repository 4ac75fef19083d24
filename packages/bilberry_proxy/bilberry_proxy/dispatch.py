"""The attempts of one request: chooses, opens, tries again or gives up.

Every attempt goes by the snapshot that the request began with. Only a request
that found no endpoint at all takes over a newer one while it waits.
"""

from functools import partial
from typing import Protocol

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.call import (
    NO_WAIT_LIMIT_MS,
    ReplyChunk,
    ReplyStart,
)
from bilberry_core.snapshot import Snapshot
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.admission import Occupancy, suggest_retry_after_ms
from bilberry_proxy.attempt import Attempt
from bilberry_proxy.call_start import build_call_start
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.decision_log import Outcome
from bilberry_proxy.endpoint_wait import EndpointWait
from bilberry_proxy.plan import Plan
from bilberry_proxy.poison import Judgement
from bilberry_proxy.request_body import RequestBody
from bilberry_proxy.retry import AttemptState, decide_retry, has_arrived
from bilberry_proxy.selection import Selection
from bilberry_proxy.timers import Timer

#: When a caller may come back to a service without ready endpoints.
NO_ENDPOINT_RETRY_AFTER_MS = 500
#: Share of its time after which an idempotent request leaves an endpoint that
#: has answered nothing since.
ATTEMPT_SHARE = 0.5
#: Endpoints at most that one request is sent to, refusals included.
MAX_PLACEMENTS = 6
#: Endpoints without a free slot after which a request waits at one of them.
MAX_ASKED = 5
#: Times the mean service time that is left for a request behind its wait.
SERVICE_MARGIN = 1.25
#: Least share of the latency wanted for which a request waits for a slot.
LEAST_WAIT_SHARE = 0.1
#: Share of the longest wait for which a request waits in its own failure domain
#: before others are asked; bytes between domains are dear.
NEAR_WAIT_SHARE = 0.6
#: Time for which a daemon is waited for after a probe, in seconds.
PROBE_S = 0.15
#: Silence of an endpoint with calls under way that speaks against it, seconds.
SILENT_S = 0.4
_LATE = Failure(
    Verdict.MAY_HAVE_RUN,
    FailureCode.DEADLINE,
    'the upstream took more than its share of the time',
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
        self._full: list[str] = []
        self._is_last_resort = False
        self._limit_timer: Timer | None = None
        self._wait = EndpointWait(
            context,
            self._adopt,
            self._fail_without_endpoint,
        )

    @property
    def now(self) -> float:
        """Monotonic time, in seconds."""
        return self._context.clock.now()

    @property
    def verdict(self) -> Verdict:
        """Whether an upstream may have run the request, as of now."""
        attempt = self._attempt
        if attempt is None or attempt.ended:
            return self._outcome.verdict
        if attempt.began:
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN

    @property
    def _silence_s(self) -> float:
        """The silence of an endpoint that ends an attempt there."""
        whole_s = self._plan.deadline - self._outcome.started_at
        return min(SILENT_S, whole_s * ATTEMPT_SHARE)

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
        if self._limit_timer is not None:
            self._limit_timer.cancel()
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
            self._full.append(attempt.endpoint.instance)
            self._context.router.note_full(attempt.endpoint, attempt.reported)
            self._outcome.forget_attempt()
            if self._is_last_resort:
                self._fail_full(attempt)
            else:
                self._choose()
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
            context.suspicion.name(weights, attempt.endpoint)
        finding = context.suspicion.judge(self._fingerprint)
        return finding.judgement is Judgement.QUARANTINED

    def _choose(self) -> None:
        plan = self._plan
        route = plan.snapshot.routes[plan.service]
        asked = [*self._outcome.tried, *self._full]
        selection = self._context.router.choose(route, plan.decision, asked)
        is_asked = len(self._full) >= MAX_ASKED
        if selection is not None and (is_asked or selection.is_asked_again):
            self._is_last_resort = True
            selection = self._context.router.choose(
                route,
                plan.decision,
                self._outcome.tried,
            )
        if selection is None:
            if self._outcome.tried or not self._wait.start(plan.service):
                self._fail_without_endpoint()
            return
        self._open(selection, self._limit_wait(selection))

    def _limit_wait(self, selection: Selection) -> int:
        """Returns for how long a call may wait for a slot, in milliseconds.

        While others may have room it waits near only, and there not for long.
        As a last resort it waits as long as its answer can be in time; what
        would only be late takes the place of something that is not.
        """
        target_ms = self._plan.decision.policy.target_latency_ms
        times = self._context.router.service_times
        service_ms = times.estimate_s(self._plan.route_key) * MS_PER_S
        slack_ms = target_ms - service_ms * SERVICE_MARGIN
        slack_ms = max(slack_ms, target_ms * LEAST_WAIT_SHARE)
        if self._is_last_resort:
            return int(slack_ms) or NO_WAIT_LIMIT_MS
        return int(slack_ms * NEAR_WAIT_SHARE) if selection.is_near else 0

    def _fail_full(self, attempt: Attempt) -> None:
        load = attempt.reported
        occupancy = Occupancy(
            load.outstanding,
            load.slots,
            load.queued,
            load.latency_us,
        )
        failure = Failure(
            self._outcome.verdict,
            FailureCode.OVERLOADED,
            'no upstream has a slot in time',
            suggest_retry_after_ms(occupancy),
        )
        self._owner.take_failure(failure)

    def _open(
        self,
        selection: Selection,
        max_wait_ms: int = NO_WAIT_LIMIT_MS,
    ) -> None:
        context = self._context
        endpoint = selection.endpoint
        now = context.clock.now()
        finding = context.suspicion.judge(self._fingerprint)
        start = build_call_start(
            self._plan,
            self._body,
            self._fingerprint,
            now,
            bool(self._outcome.tried),
            finding.judgement > Judgement.CLEAR,
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
        self._limit(attempt)

    def _limit(self, attempt: Attempt) -> None:
        plan = self._plan
        retries_left = plan.retries - self._arrivals
        if not plan.idempotent or not self._has_other or retries_left <= 0:
            return
        left_s = plan.deadline - attempt.started_at
        wait_s = max(left_s * ATTEMPT_SHARE, self._silence_s)
        until = attempt.started_at + wait_s
        timers = self._context.timers
        abandon = partial(self._abandon, attempt)
        self._limit_timer = timers.schedule(until, abandon)

    def _abandon(self, attempt: Attempt) -> None:
        if attempt.ended or attempt.began:
            return
        if attempt.is_endpoint_alive(self.now - self._silence_s):
            return
        attempt.probe(self._silence_s)
        self._limit_timer = self._context.timers.schedule(
            self.now + min(PROBE_S, self._silence_s / 2),
            partial(self._abandon_silent, attempt, self.now),
        )

    def _abandon_silent(self, attempt: Attempt, probed_at: float) -> None:
        if attempt.ended or attempt.began:
            return
        if attempt.is_endpoint_alive(probed_at - self._silence_s):
            return
        attempt.cancel()
        self.take_failure(attempt, _LATE)

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
