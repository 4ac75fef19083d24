"""Decides whether a failed attempt is retried.

The decision is a function of the failure, the state of the request and the
retry budget of its service.
"""

from typing import NamedTuple

from bilberry_core.verdict import Failure, FailureCode, Verdict

#: Retries that a budget allows in a burst, beyond its share of requests, for
#: services with few requests.
MIN_BUDGET = 10.0
_PERCENT = 100

#: Failures that another endpoint would return as well.
_FINAL_CODES = frozenset(
    (
        FailureCode.CANCELLED,
        FailureCode.QUARANTINED,
        FailureCode.BAD_REQUEST,
        FailureCode.TOO_LARGE,
    ),
)
#: Refusals that the same endpoint would return again.
_REFUSALS = frozenset(
    (
        FailureCode.OVERLOADED,
        FailureCode.UPSTREAM_DECLINED,
        FailureCode.DRAINING,
        FailureCode.NO_ENDPOINT,
    ),
)


class RetryBudget:
    """The retry budget of a service: a share of its requests."""

    def __init__(self, tokens: float = MIN_BUDGET) -> None:
        """Starts with `tokens` retries, which is also the maximum."""
        self.tokens = tokens
        self._max_tokens = tokens

    def resize(self, max_tokens: float) -> None:
        """Limits the budget to `max_tokens` retries."""
        self._max_tokens = max_tokens
        self.tokens = min(self.tokens, max_tokens)

    def deposit(self, percent: int) -> None:
        """Adds the share of a retry that one request earns."""
        self.tokens = min(self.tokens + percent / _PERCENT, self._max_tokens)

    def withdraw(self) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RetryBudgets:
    """The retry budgets of all services that one proxy sends to."""

    def __init__(self) -> None:
        """Starts with the smallest burst."""
        self._burst = MIN_BUDGET
        self._budgets: dict[str, RetryBudget] = {}

    def resize(self, burst: float) -> None:
        """Limits the budget of each service to `burst` retries."""
        self._burst = burst
        for budget in self._budgets.values():
            budget.resize(burst)

    def get(self, service: str) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._burst)
            self._budgets[service] = budget
        return budget

    def read(self) -> dict[str, float]:
        """Returns the retries left in the budget of each service."""
        return {
            service: budget.tokens for service, budget in self._budgets.items()
        }


class AttemptState(NamedTuple):
    """The state of a request when an attempt fails.

    `replayable` tells whether the complete body is still buffered,
    `answer_started` whether the caller has received any of the response,
    `has_other` whether another endpoint was ready.
    """

    idempotent: bool
    replayable: bool
    answer_started: bool
    retries_left: int
    remaining_s: float
    quarantined: bool = False
    has_other: bool = True


class RetryDecision(NamedTuple):
    """Whether to retry, and why."""

    should_retry: bool
    reason: str


def may_have_arrived(failure: Failure) -> bool:
    """Returns whether a failed attempt may have reached an upstream.

    An attempt that reached none costs the upstreams nothing, so it spends no
    retry budget and is not counted as an attempt of the request.
    """
    if failure.code is FailureCode.UPSTREAM_DECLINED:
        return True
    return failure.verdict is not Verdict.NOT_RUN


def decide_retry(
    failure: Failure,
    state: AttemptState,
    budget: RetryBudget,
) -> RetryDecision:
    """Returns whether to retry; a retry may spend from `budget`."""
    refusal = _get_refusal(failure, state)
    if refusal:
        return RetryDecision(should_retry=False, reason=refusal)
    if may_have_arrived(failure) and not budget.withdraw():
        return RetryDecision(
            should_retry=False, reason='retry budget is exhausted'
        )
    return RetryDecision(should_retry=True, reason=failure.code.value)


def _get_refusal(failure: Failure, state: AttemptState) -> str:
    may_run_again = state.idempotent or failure.verdict is Verdict.NOT_RUN
    refused_alone = failure.code in _REFUSALS and not state.has_other
    refusals = (
        (state.answer_started, 'the response had started'),
        (not may_run_again, 'the request may have run and is not idempotent'),
        (failure.code in _FINAL_CODES, 'another endpoint would fail as well'),
        (refused_alone, 'no other endpoint is ready'),
        (state.quarantined, 'the request crashed two upstreams'),
        (failure.retried or state.retries_left <= 0, 'no retries are left'),
        (not state.replayable, 'the body is not buffered'),
        (state.remaining_s <= 0, 'no time is left'),
    )
    return next((reason for refused, reason in refusals if refused), '')
