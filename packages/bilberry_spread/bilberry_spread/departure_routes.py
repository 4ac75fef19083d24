"""Tells daemons that the upstream beside them has left before."""

from collections.abc import Callable
from functools import partial
from typing import Any

from bilberry_core.board import Board
from bilberry_core.departure import Departure
from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.messages.spread import DepartureUpdate
from bilberry_core.upstream_notice import UpstreamIdentity

from bilberry_spread.departures import Departures
from bilberry_spread.receivers import Attached
from bilberry_spread.runtime import Runtime


class DepartureRoutes:
    """The way of departures to the daemons and relays attached to a relay."""

    def __init__(
        self,
        board: Board,
        runtime: Runtime,
        departures: Departures,
        attached: Attached,
        schedule_flush: Callable[[], None],
    ) -> None:
        """Listens to `departures`."""
        self._board = board
        self._runtime = runtime
        self._departures = departures
        self._attached = attached
        self._schedule_flush = schedule_flush
        departures.listen(self._on_new)

    def start(self) -> None:
        """Starts to watch the upstream beside this daemon."""
        self._board.departure.watch(self._on_own_departure)
        self._board.own_endpoint.watch(self._on_own_endpoint)

    def receive(self, received: Any) -> None:
        """Adds departures that another relay tells; ignores the rest."""
        if isinstance(received, DepartureUpdate):
            now = self._runtime.clock.now()
            self._departures.add(received.upstreams, now, is_local=False)

    def _on_own_departure(self, departure: Departure | None) -> None:
        if departure is not None:
            now = self._runtime.clock.now()
            self._departures.add((departure.upstream,), now, is_local=True)

    def _on_own_endpoint(self, endpoint: Endpoint | None) -> None:
        upstream = self._board.upstream.value
        if endpoint is None or endpoint.state is EndpointState.GONE:
            return
        if self._departures.has(upstream, self._runtime.clock.now()):
            self._tell_own(upstream)

    def _on_new(
        self,
        new: frozenset[UpstreamIdentity],
        is_local: bool,
    ) -> None:
        for session in self._attached.sessions.values():
            if session.upstream in new:
                session.tell_departure()
        if self._board.upstream.value in new:
            self._tell_own(self._board.upstream.value)
        if is_local:
            for relay in self._attached.relays.values():
                relay.mark_departures(new)
            self._schedule_flush()

    def _tell_own(self, upstream: UpstreamIdentity) -> None:
        # The record that the daemon writes then follows the present one.
        self._runtime.scheduler.call_later(
            0,
            partial(self._board.told_departure.put, upstream),
        )
