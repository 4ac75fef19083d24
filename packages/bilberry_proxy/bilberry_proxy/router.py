"""Chooses endpoints and tracks their load, health and retry budgets.

Holds the state that the functions of `selection` and `retry` work on.
"""

from logging import getLogger

from bilberry_core.clock import Clock, RandomSource
from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import Load
from bilberry_core.policy import Priority
from bilberry_core.snapshot import Decision, Route
from bilberry_core.upstream_notice import UpstreamNotice
from bilberry_core.verdict import Failure, FailureCode, Verdict

from bilberry_proxy.balancers import build_balancer
from bilberry_proxy.balancers.base import Balancer
from bilberry_proxy.candidates import Candidates
from bilberry_proxy.endpoint_load import (
    EndpointLoad,
    compute_shed_ms,
    suggest_return_ms,
)
from bilberry_proxy.known_notices import KnownNotices
from bilberry_proxy.outlier import count_failure, count_success
from bilberry_proxy.places import select_own, select_several
from bilberry_proxy.response_size import ResponseSizes
from bilberry_proxy.retry import RetryBudgets
from bilberry_proxy.selection import (
    Selection,
    SelectionContext,
    select_endpoint,
)
from bilberry_proxy.service_time import ServiceTimes
from bilberry_proxy.split import WeightedSplit
from bilberry_proxy.usual_deadlines import UsualDeadlines

_log = getLogger(__name__)

#: Share of calls sent to endpoints that shed load, to detect when they stop.
PROBE_SHARE = 0.1

_US_PER_MS = 1000


class Router:
    """The endpoint selection of one proxy, and the state behind it."""

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        """Starts without observations.

        `instance` and `failure_domain` are those of this proxy.
        """
        self._instance = instance
        self._failure_domain = failure_domain
        self._clock = clock
        self._random = random
        self._loads: dict[tuple[str, int], EndpointLoad] = {}
        self._notices = KnownNotices()
        self.service_times = ServiceTimes()
        self.response_sizes = ResponseSizes()
        self.usual_deadlines = UsualDeadlines()
        self.split = WeightedSplit()
        self.retry_budgets = RetryBudgets()
        self._balancers: dict[tuple[str, str], Balancer] = {}
        self.candidates = Candidates(instance, failure_domain, self.get_load)

    def choose(
        self,
        route: Route,
        decision: Decision,
        tried: list[str],
        *,
        avoids_near: bool = False,
        takes_new: bool = False,
    ) -> Selection | None:
        """Returns the endpoint of the next attempt; None if none is ready.

        `avoids_near` is described at `SelectionContext`, `takes_new` at
        `Candidates`.
        """
        return select_endpoint(
            self.candidates.get_staying(route, takes_new=takes_new),
            tried,
            self._build_context(decision, avoids_near=avoids_near),
            self._get_balancer(decision),
            self._random,
        )

    def choose_several(
        self,
        route: Route,
        decision: Decision,
        tried: list[str],
        count: int,
        *,
        is_far: bool = False,
    ) -> tuple[Selection, ...]:
        """Returns endpoints at which a request may wait for a slot.

        All are near, or all are far.
        """
        return select_several(
            self.candidates.get_staying(route),
            tried,
            self._build_context(decision, avoids_near=is_far),
            self._random,
            count,
        )

    def choose_own(self, route: Route, tried: list[str]) -> Selection | None:
        """Returns the endpoint beside this proxy, if a request may go there."""
        ready = self.candidates.get_staying(route)
        return select_own(ready, tried, self._instance, self._clock.now())

    def draw_new_version(self, service: str) -> bool:
        """Returns whether a request gets the new version of a roll-out."""
        return self.candidates.draw_new_version(service, self._random)

    def get_shed_failure(
        self,
        route: Route,
        priority: Priority,
    ) -> Failure | None:
        """Returns the failure of a call that every endpoint would shed.

        None if the call may be sent. A few calls are sent regardless, to
        detect when the shedding ends.
        """
        ready = self.candidates.get_staying(route)
        if not ready:
            return None
        now = self._clock.now()
        shed_ms = compute_shed_ms(ready, priority, now)
        if not shed_ms or self._random.random() < PROBE_SHARE:
            return None
        return Failure(
            Verdict.NOT_RUN,
            FailureCode.OVERLOADED,
            'every upstream sheds calls of this priority',
            max(shed_ms, suggest_return_ms(ready, now)),
        )

    def record_shed(
        self,
        endpoint: Endpoint,
        priority: Priority,
        retry_after_ms: int,
    ) -> None:
        """Records that an endpoint shed a call."""
        load = self.get_load(endpoint)
        load.record_shed(priority, retry_after_ms, self._clock.now())

    def record_no_slot(self, endpoint: Endpoint, load: Load) -> None:
        """Records that an endpoint has no free slot."""
        self.get_load(endpoint).record_refusal(load, self._clock.now())

    def get_load(self, endpoint: Endpoint) -> EndpointLoad:
        """Returns the observed load of an endpoint."""
        key = (endpoint.instance, endpoint.incarnation)
        load = self._loads.get(key)
        if load is None:
            load = EndpointLoad()
            load.apply_notice(self._notices.get_current(endpoint))
            self._loads[key] = load
        return load

    def get_notice(self, endpoint: Endpoint) -> UpstreamNotice | None:
        """Returns what responses said of the upstream beside an instance."""
        return self._notices.get(endpoint.instance)

    def record_notice(
        self,
        endpoint: Endpoint,
        notice: UpstreamNotice | None,
    ) -> None:
        """Records what an upstream says of itself; None if nothing."""
        self._notices.record(endpoint, notice)
        self.get_load(endpoint).apply_notice(notice)

    def record_answer(
        self,
        endpoint: Endpoint,
        latency_s: float,
        load: Load,
    ) -> None:
        """Records a response of an endpoint; readmits it if it was ejected."""
        observed = self.get_load(endpoint)
        observed.update(latency_s, load, self._clock.now())
        count_success(observed)

    def record_failure(
        self,
        endpoint: Endpoint,
        route: Route,
        failure: Failure,
        duration_s: float,
    ) -> None:
        """Records a failure of an endpoint and ejects an outlier."""
        ready = self.candidates.get_ready(route)
        now = self._clock.now()
        peers = [candidate.load for candidate in ready]
        load = self.get_load(endpoint)
        if count_failure(load, peers, failure, now, duration_s):
            _log.warning(
                'endpoint_ejected',
                extra={
                    'service': endpoint.service,
                    'ejected': endpoint.instance,
                    'code': failure.code.value,
                    'seconds': round(load.ejected_until - now, 3),
                },
            )

    def drop_absent(self, present: set[tuple[str, int]]) -> None:
        """Removes endpoints that are not `present` and have no open call."""
        self._loads = {
            key: load
            for key, load in self._loads.items()
            if key in present or load.outstanding
        }

    def _build_context(
        self,
        decision: Decision,
        *,
        avoids_near: bool,
    ) -> SelectionContext:
        return SelectionContext(
            self._instance,
            self._failure_domain,
            self._clock.now(),
            self._clock.wall_ms(),
            decision.policy.target_latency_ms * _US_PER_MS,
            avoids_near,
        )

    def _get_balancer(self, decision: Decision) -> Balancer:
        key = (decision.service, decision.policy.load_policy)
        balancer = self._balancers.get(key)
        if balancer is None:
            balancer = build_balancer(key[1])
            self._balancers[key] = balancer
        return balancer
