"""Makes a request wait for a token of its organisation's quota."""

from collections.abc import Callable

from bilberry_core.allowance import Token, TokenRefusal
from bilberry_core.clock import MS_PER_S
from bilberry_core.organisation import Organisation
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.context import ProxyContext
from bilberry_proxy.plan import Plan
from bilberry_proxy.timers import Timer

#: Longest wait of a request, as a share of the time that it has left.
MAX_TIME_SHARE = 0.5
#: Time after which a caller may retry whose request waited so long.
LATE_RETRY_AFTER_MS = 500


class AllowanceWait:
    """The token of one request, and its wait for it."""

    def __init__(
        self,
        context: ProxyContext,
        on_allowed: Callable[[], None],
        on_refused: Callable[[Failure], None],
    ) -> None:
        """Starts without waiting; one of the callbacks is called once."""
        self._context = context
        self._on_allowed = on_allowed
        self._on_refused = on_refused
        self._organisation: Organisation | None = None
        self._token: Token | None = None
        self._timer: Timer | None = None

    def start(self, plan: Plan) -> None:
        """Asks for a token if the request's organisation has a quota."""
        allowances = self._context.allowances
        organisation = plan.organisation
        if allowances is None or organisation is None or not organisation.rate:
            self._on_allowed()
            return
        self._organisation = organisation
        allowances.ask(organisation, self, is_late=self._is_late(plan))
        if self._organisation is not None:
            now = self._context.clock.now()
            longest_s = (plan.deadline - now) * MAX_TIME_SHARE
            self._context.metrics.incr('quota.awaited')
            self._timer = self._context.timers.schedule(
                now + longest_s, self._expire
            )

    def stop(self) -> bool:
        """Ends the wait without a callback; False if there is none."""
        organisation = self._organisation
        if organisation is None:
            return False
        self._end()
        self._context.allowances.leave(organisation, self)
        return True

    def give_back(self) -> None:
        """Gives the token back, as the request did not run."""
        if self._token is not None:
            self._context.allowances.give_back(self._token)
            self._token = None

    # Callbacks of the allowances.

    def on_token(self, token: Token) -> None:
        """Lets the request run."""
        self._token = token
        self._end()
        self._on_allowed()

    def on_token_refused(self, refusal: TokenRefusal) -> None:
        """Refuses the request."""
        organisation = self._organisation
        self._end()
        self._on_refused(build_refusal(organisation, refusal))

    def _is_late(self, plan: Plan) -> bool:
        """Returns whether its caller has used up the target latency."""
        target_ms = plan.decision.policy.target_latency_ms
        deadline_ms = plan.request.deadline_ms
        if not target_ms or not deadline_ms:
            return False
        waited_s = self._context.router.usual_deadlines.estimate_elapsed_s(
            plan.route_key, deadline_ms
        )
        return waited_s * MS_PER_S >= target_ms

    def _end(self) -> None:
        self._organisation = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        organisation = self._organisation
        if self.stop():
            late = TokenRefusal(False, LATE_RETRY_AFTER_MS)
            self._on_refused(build_refusal(organisation, late))


def build_refusal(organisation: Organisation, refusal: TokenRefusal) -> Failure:
    """Returns the failure of a request that gets no token."""
    code = FailureCode.QUOTA_UNAVAILABLE
    detail = (
        f'the daemon that grants the quota of "{organisation.name}" is out of '
        + 'touch, and the share of this daemon is used up'
    )
    if refusal.is_exceeded:
        code = FailureCode.QUOTA_EXCEEDED
        detail = (
            f'organisation "{organisation.name}" is over its quota: rate '
            + f'{organisation.rate:g} a second, burst {organisation.burst}'
        )
    return Failure(Verdict.NOT_RUN, code, detail, refusal.retry_after_ms)
