"""Keeps the endpoints that this proxy may call, with their observed load."""

from collections.abc import Callable
from typing import NamedTuple

from bilberry_core.clock import RandomSource
from bilberry_core.endpoint import Endpoint
from bilberry_core.rollout import RolloutTable
from bilberry_core.snapshot import Route

from bilberry_proxy.endpoint_load import Candidate, EndpointLoad
from bilberry_proxy.selection import select_subset
from bilberry_proxy.version_choice import draw_new_version, select_version


class _Ready(NamedTuple):
    """The candidates of a route, and what they were selected from."""

    route: Route
    rollouts: RolloutTable
    candidates: tuple[Candidate, ...]


class Candidates:
    """The endpoints of each route that attempts may go to.

    `takes_new` tells that the new version of a roll-out was drawn.
    """

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        get_load: Callable[[Endpoint], EndpointLoad],
    ) -> None:
        """Selects for the proxy `instance` in `failure_domain`."""
        self._instance = instance
        self._failure_domain = failure_domain
        self._get_load = get_load
        self._rollouts = RolloutTable()
        self._ready: dict[tuple[str, bool], _Ready] = {}

    def set_rollouts(self, table: RolloutTable) -> None:
        """Uses newer roll-outs from now on."""
        self._rollouts = table

    def draw_new_version(self, service: str, random: RandomSource) -> bool:
        """Returns whether a request gets the new version of a roll-out."""
        return draw_new_version(self._rollouts.find(service), random)

    def get_subset(
        self, route: Route, *, takes_new: bool = False
    ) -> tuple[Endpoint, ...]:
        """Returns the endpoints of a route that this proxy may call."""
        return select_subset(
            select_version(
                route.endpoints,
                self._rollouts.find(route.service),
                takes_new=takes_new,
            ),
            self._instance,
            self._failure_domain,
        )

    def get_ready(
        self, route: Route, *, takes_new: bool = False
    ) -> tuple[Candidate, ...]:
        """Returns the ready endpoints, with their load."""
        key = (route.service, takes_new)
        known = self._ready.get(key)
        if (
            known is not None
            and known.route is route
            and known.rollouts is self._rollouts
        ):
            return known.candidates
        ready = tuple(
            Candidate(endpoint, self._get_load(endpoint))
            for endpoint in self.get_subset(route, takes_new=takes_new)
        )
        self._ready[key] = _Ready(route, self._rollouts, ready)
        return ready

    def get_staying(
        self, route: Route, *, takes_new: bool = False
    ) -> tuple[Candidate, ...]:
        """Returns the ready endpoints whose upstreams are not leaving."""
        ready = self.get_ready(route, takes_new=takes_new)
        if not any(candidate.load.is_leaving for candidate in ready):
            return ready
        return tuple(
            candidate for candidate in ready if not candidate.load.is_leaving
        )
