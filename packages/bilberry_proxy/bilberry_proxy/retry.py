"""Decides whether a failed attempt is followed by another one.

Plain functions over the failure, the request and the budget of its service.
"""

from typing import NamedTuple

from bilberry_core.verdict import Failure, FailureCode, Verdict

#: Retries that a budget allows beyond its share, for services with few calls.
MIN_BUDGET = 10.0
_PERCENT = 100

#: Failures that another endpoint would give as well.
_FINAL_CODES = frozenset(
    (
        FailureCode.CANCELLED,
        FailureCode.QUARANTINED,
        FailureCode.BAD_REQUEST,
        FailureCode.TOO_LARGE,
    ),
)
#: Refusals that the same endpoint would repeat.
_REFUSALS = frozenset(
    (
        FailureCode.OVERLOADED,
        FailureCode.UPSTREAM_DECLINED,
        FailureCode.DRAINING,
        FailureCode.NO_ENDPOINT,
    ),
)


class RetryBudget:
    """Retries that a service may still get: a share of its requests."""

    def __init__(self, tokens: float = MIN_BUDGET) -> None:
        """Starts with a few retries, which are the most it holds."""
        self.tokens = tokens
        self._max_tokens = tokens

    def resize(self, most: float) -> None:
        """Holds at most this many retries from now on."""
        self._max_tokens = most
        self.tokens = min(self.tokens, most)

    def deposit(self, percent: int) -> None:
        """Counts a request, which earns a share of a retry."""
        self.tokens = min(self.tokens + percent / _PERCENT, self._max_tokens)

    def withdraw(self) -> bool:
        """Takes one retry; False where none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class AttemptState(NamedTuple):
    """What a request has been through when an attempt fails.

    `replayable` tells whether its whole body is still at hand, `answer_started`
    whether its caller has received any of the answer, `has_other` whether
    another endpoint was ready.
    """

    idempotent: bool
    replayable: bool
    answer_started: bool
    retries_left: int
    time_left_s: float
    quarantined: bool = False
    has_other: bool = True


class RetryDecision(NamedTuple):
    """Whether to try again, and why."""

    again: bool
    reason: str


def may_have_arrived(failure: Failure) -> bool:
    """Tells whether an attempt that failed may have reached an upstream.

    One that did not costs no upstream anything, so it takes nothing from the
    budget and is not counted among a request's attempts.
    """
    if failure.code is FailureCode.UPSTREAM_DECLINED:
        return True
    return failure.verdict is not Verdict.NOT_RUN


def decide_retry(
    failure: Failure,
    state: AttemptState,
    budget: RetryBudget,
) -> RetryDecision:
    """Returns whether the request is tried again."""
    refusal = _get_refusal(failure, state)
    if refusal:
        return RetryDecision(again=False, reason=refusal)
    if may_have_arrived(failure) and not budget.withdraw():
        return RetryDecision(again=False, reason='retry budget is spent')
    return RetryDecision(again=True, reason=failure.code.value)


def _get_refusal(failure: Failure, state: AttemptState) -> str:
    may_run_again = state.idempotent or failure.verdict is Verdict.NOT_RUN
    refused_alone = failure.code in _REFUSALS and not state.has_other
    refusals = (
        (state.answer_started, 'the answer had begun'),
        (not may_run_again, 'it may have run and is not idempotent'),
        (failure.code in _FINAL_CODES, 'another endpoint would fail as well'),
        (refused_alone, 'no other endpoint is ready'),
        (state.quarantined, 'it crashed two upstreams'),
        (failure.retried or state.retries_left <= 0, 'retries are spent'),
        (not state.replayable, 'the body is not at hand'),
        (state.time_left_s <= 0, 'no time is left'),
    )
    return next((reason for refused, reason in refusals if refused), '')
