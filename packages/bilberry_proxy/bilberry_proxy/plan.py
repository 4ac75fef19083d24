"""Plans a request: its service, its policy and its deadline.

Planning is a function of the request, a snapshot and the time.
"""

from collections.abc import Callable
from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.configuration import RoutingRule
from bilberry_core.organisation import Organisation
from bilberry_core.policy import Priority
from bilberry_core.snapshot import Decision, Snapshot, decide_policy
from bilberry_core.verdict import Failure, FailureCode, Verdict
from h11 import Request
from returns.result import Failure as Refused
from returns.result import Result, Success

from bilberry_proxy.caller_identity import (
    IdentifiedRequest,
    identify_caller,
)
from bilberry_proxy.caller_request import (
    CallerRequest,
    parse_caller_request,
)
from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect

#: Time after which a caller may retry if the proxy has no configuration.
NO_CONFIGURATION_RETRY_AFTER_MS = 500
#: Refusals that a newer configuration may not have.
_DENIALS = frozenset((FailureCode.UNKNOWN_SERVICE, FailureCode.UNAUTHORIZED))


class Plan(NamedTuple):
    """The routing decision, deadlines and retries of one request.

    `deadline` is monotonic time, in seconds. `run_deadline` is the time at
    which a claimed request is abandoned; its caller may have stopped waiting
    before. `retries` is the number of attempts allowed after the first. If
    `claimed`, the request is claimed before it is dispatched. `priority` is
    that of the policy or of the organisation, unless the request is a call made
    for another one. `organisation` is None without organisations, and for a
    request that needs no key.
    """

    request: CallerRequest
    snapshot: Snapshot
    decision: Decision
    deadline: float
    run_deadline: float
    retries: int
    idempotent: bool
    claimed: bool
    priority: Priority
    organisation: Organisation | None = None

    @property
    def route_key(self) -> tuple[str, str]:
        """The service and route by which service times are averaged."""
        return self.decision.service, self.decision.route

    @property
    def service(self) -> str:
        """The service that the request is sent to."""
        return self.decision.service


def plan_request(  # noqa: WPS211 - what a plan is made of
    request: CallerRequest,
    snapshot: Snapshot | None,
    now: float,
    can_claim: bool,
    pick_target: Callable[[RoutingRule], str],
    dialect: HttpDialect = OWN_DIALECT,
    *,
    is_call_of_running: bool = False,
) -> Result[Plan, Failure]:
    """Returns the plan of a request that starts at `now`, in seconds.

    `can_claim` tells whether there are claim holders. `pick_target` returns
    one of the target services of a routing rule. `is_call_of_running` tells
    whether the request is made for one that runs already; it is urgent then.
    """
    if snapshot is None:
        return Refused(
            Failure(
                Verdict.NOT_RUN,
                FailureCode.NO_CONFIGURATION,
                'this proxy has no configuration yet',
                NO_CONFIGURATION_RETRY_AFTER_MS,
            ),
        )
    rule = snapshot.find_rule(request.host, request.path)
    service = None
    if rule is not None:
        service = pick_target(rule)
    elif dialect.hosts_of_services:
        service = snapshot.services_by_host.get(request.host)
    if service is None:
        detail = f'no route for host "{request.host}", path "{request.path}"'
        return Refused(
            Failure(Verdict.NOT_RUN, FailureCode.UNKNOWN_SERVICE, detail),
        )
    decision = _decide(request, snapshot, service, rule)
    identified = identify_caller(
        request,
        snapshot,
        decision.policy,
        dialect,
        needs_no_key=is_call_of_running,
    )
    return identified.map(
        lambda caller: _build_plan(
            caller,
            snapshot,
            decision,
            now,
            can_claim,
            is_call_of_running,
        ),
    )


def doubt_denial(failure: Failure) -> Failure:
    """Returns the failure of a proxy that may lack the newest configuration.

    Only the newest one tells that there is no route, or no such key.
    """
    if failure.code not in _DENIALS:
        return failure
    return Failure(
        Verdict.NOT_RUN,
        FailureCode.NO_CONFIGURATION,
        f'{failure.detail} in a configuration that may be old',
        NO_CONFIGURATION_RETRY_AFTER_MS,
    )


def is_repeatable(
    start: Request,
    snapshot: Snapshot | None,
    dialect: HttpDialect = OWN_DIALECT,
) -> bool:
    """Returns whether the policy of its route lets a request be repeated."""
    parsed = parse_caller_request(start, dialect)
    if snapshot is None or not isinstance(parsed, Success):
        return False
    request = parsed.unwrap()
    rule = snapshot.find_rule(request.host, request.path)
    if rule is None:
        return False
    policy = rule.change.apply(snapshot.defaults)
    return policy.may_repeat(request.method.decode('ascii'))


def _decide(
    request: CallerRequest,
    snapshot: Snapshot,
    service: str,
    rule: RoutingRule | None,
) -> Decision:
    method = request.method.decode('ascii')
    return decide_policy(snapshot, service, method, request.path, rule)


def _build_plan(  # noqa: WPS211 - what a plan is made of
    caller: IdentifiedRequest,
    snapshot: Snapshot,
    decision: Decision,
    now: float,
    can_claim: bool,
    is_call_of_running: bool,
) -> Plan:
    request, organisation = caller
    policy = decision.policy
    idempotent = policy.may_repeat(request.method.decode('ascii'))
    timeout_ms = policy.timeout_ms
    if request.deadline_ms:
        timeout_ms = min(timeout_ms, request.deadline_ms)
    priority = policy.priority
    if is_call_of_running:
        priority = Priority.URGENT
    elif organisation is not None:
        priority = organisation.priority or priority
    return Plan(
        request,
        snapshot,
        decision,
        now + timeout_ms / MS_PER_S,
        now + policy.timeout_ms / MS_PER_S,
        0 if request.retried else policy.retries,
        idempotent,
        can_claim and bool(request.key) and not idempotent,
        priority,
        organisation,
    )
