"""The objects and options that all requests of a proxy share."""

from asyncio import Task
from typing import NamedTuple, Protocol

from bilberry_core.allowance import Allowances
from bilberry_core.board import Board
from bilberry_core.claim import Claims
from bilberry_core.clock import Clock, RandomSource
from bilberry_core.endpoint import Endpoint
from bilberry_core.metric import Metrics

from bilberry_proxy.call import CallTarget
from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.pressure import Pressure
from bilberry_proxy.rollout_evidence import RolloutEvidence
from bilberry_proxy.router import Router
from bilberry_proxy.running_requests import RunningRequests
from bilberry_proxy.service_interest import ServiceInterest
from bilberry_proxy.suspect_tracker import SuspectTracker
from bilberry_proxy.timers import TimerWheel

#: Time after the start of a proxy until which requests wait for its first
#: configuration, in seconds. Later it refuses them at once.
START_S = 1.0


class TargetFinder(Protocol):
    """A lookup of the target on which calls to an endpoint are opened."""

    def __call__(self, endpoint: Endpoint) -> CallTarget:
        """Returns the target of the daemon beside the endpoint."""


class ProxyOptions(NamedTuple):
    """Options of a proxy that are not part of its settings.

    `dialect`
        The header names that its callers and its upstream use.
    `service`
        The service of the upstream beside it, sent to the upstreams it calls.
    `fleet_retry_burst`
        Retries of each service that all proxies together may make in a burst,
        beyond their share of requests; if 0, each proxy has its own burst.
    `retry_budget_percent`
        Retries that this proxy may make per hundred requests, in place of what
        the configuration says; None keeps that.
    """

    dialect: HttpDialect = OWN_DIALECT
    service: str = ''
    fleet_retry_burst: int = 0
    retry_budget_percent: int | None = None


class Agreements(NamedTuple):
    """What a proxy agrees on with other daemons before a request runs.

    `claims` is None if the settings name no replicas. Without `allowances` no
    quota is enforced.
    """

    claims: Claims | None = None
    allowances: Allowances | None = None


class ProxyContext(NamedTuple):
    """The parts of a proxy that requests use.

    `claims` is None if the settings name no replicas. `tasks` are the claims
    being made, settled or released, and `running` the requests without a
    complete response; a graceful stop waits for both. `running_requests` are
    those at the upstream beside this proxy, and `service` is its service,
    empty if not configured. Until `starts_until`, monotonic time in seconds,
    requests wait for the first configuration. Without `allowances` no quota
    is enforced. `retry_budget_percent` is described at `ProxyOptions`.
    """

    board: Board
    clock: Clock
    random: RandomSource
    timers: TimerWheel
    router: Router
    interest: ServiceInterest
    suspect_tracker: SuspectTracker
    pressure: Pressure
    find_target: TargetFinder
    metrics: Metrics
    claims: Claims | None
    tasks: set[Task]
    running: set[object]
    running_requests: RunningRequests
    rollout_evidence: RolloutEvidence
    dialect: HttpDialect = OWN_DIALECT
    service: str = ''
    starts_until: float = 0
    allowances: Allowances | None = None
    retry_budget_percent: int | None = None
