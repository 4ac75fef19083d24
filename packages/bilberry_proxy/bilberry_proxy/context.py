"""What every request of a proxy shares."""

from asyncio import Task
from typing import NamedTuple, Protocol

from bilberry_core.board import Board
from bilberry_core.claim import Claims
from bilberry_core.clock import Clock, RandomSource
from bilberry_core.endpoint import Endpoint
from bilberry_core.metric import Metrics

from bilberry_proxy.call import CallTarget
from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.pressure import Pressure
from bilberry_proxy.router import Router
from bilberry_proxy.service_interest import ServiceInterest
from bilberry_proxy.suspect_tracker import SuspectTracker
from bilberry_proxy.timers import TimerWheel


class TargetFinder(Protocol):
    """Finds where calls to an endpoint are opened."""

    def __call__(self, endpoint: Endpoint) -> CallTarget:
        """Returns the target of the daemon beside the endpoint."""


class ProxyOptions(NamedTuple):
    """What a proxy may be given besides its settings.

    `dialect`
        The header names of its callers and its upstream.
    `service`
        The service of the upstream beside it, told to upstreams that it calls.
    `fleet_retry_burst`
        Retries of each service that all proxies together may make at once,
        beyond their share of requests; 0 gives each its own.
    """

    dialect: HttpDialect = OWN_DIALECT
    service: str = ''
    fleet_retry_burst: int = 0


class ProxyContext(NamedTuple):
    """The parts of a proxy that a request needs.

    `claims` is None where the settings name no replicas. `tasks` are claims
    being made, settled or freed, and `running` the requests without a final
    answer; a graceful stop waits for both. `service` is that of the upstream
    beside this proxy, where the settings tell it.
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
    dialect: HttpDialect = OWN_DIALECT
    service: str = ''
