"""Limits requests to the time that a graceful stop leaves them.

This handles requests that arrive after SIGTERM, while callers still use their
connections. What is answered after the stop has ended reaches nobody.
"""

from bilberry_core.board import Board
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.plan import Plan

#: Time after which a caller may retry when the proxy is draining.
DRAINING_RETRY_AFTER_MS = 1000
#: Time for a response from its arrival until its caller has it, in seconds.
DELIVERY_S = 0.1
DRAINING = Failure(
    Verdict.NOT_RUN,
    FailureCode.DRAINING,
    'this proxy is shutting down',
    DRAINING_RETRY_AFTER_MS,
)


def limit_by_stop(plan: Plan, board: Board) -> Plan:
    """Returns the plan with a deadline within the stop, if there is one."""
    until = board.drains_until.value
    if until is None or plan.deadline <= until - DELIVERY_S:
        return plan
    return plan._replace(deadline=until - DELIVERY_S)


def is_too_late(board: Board, service_s: float, now: float) -> bool:
    """Returns whether a stop ends before a response would come.

    `service_s` is the expected time of the request, and `now` monotonic time,
    both in seconds.
    """
    until = board.drains_until.value
    return until is not None and now + service_s > until
