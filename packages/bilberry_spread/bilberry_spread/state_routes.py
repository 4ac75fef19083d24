"""The way of upstreams' states from daemons to the replicated log, and back."""

from collections.abc import Iterable
from functools import partial
from typing import Protocol

from bilberry_core.announced_state import AnnouncedState, AnnouncedStateTable
from bilberry_core.board import Board
from bilberry_core.upstream_notice import UpstreamIdentity

from bilberry_spread.departures import Departures, StateAsker
from bilberry_spread.receivers import Attached
from bilberry_spread.runtime import Runtime
from bilberry_spread.session import Session

#: Maximum number of states that wait to be kept; the oldest are dropped first.
MAX_WAITING = 4096


class StateSource(Protocol):
    """The replica that a relay has states kept by."""

    def send_states(self, states: tuple[AnnouncedState, ...]) -> None:
        """Asks the replica to have the states kept."""


class StateRoutes:
    """The states that a relay is asked to keep, and those that are kept.

    On a replica they go into its log by way of the blackboard; other relays
    send them to their replica.
    """

    def __init__(
        self,
        board: Board,
        runtime: Runtime,
        departures: Departures,
        attached: Attached,
        source: StateSource | None,
    ) -> None:
        """Passes states to `source`, or to the log of this replica."""
        self._board = board
        self._runtime = runtime
        self._departures = departures
        self._attached = attached
        self._source = source
        self._waiting: dict[AnnouncedState, set[str]] = {}

    def start(self) -> None:
        """Starts to watch the log, and the upstream beside this daemon."""
        board = self._board
        self._departures.on_ask = self.keep
        board.kept_states.watch(self._on_table)
        board.logged_states.watch(self.confirm)
        board.unkept_states.watch(self._on_unkept)
        board.own_endpoint.watch(lambda _endpoint: self._tell_own())
        self._departures.kept = board.kept_states.value

    def keep(
        self, asked: StateAsker, states: tuple[AnnouncedState, ...]
    ) -> None:
        """Has states kept, and tells the daemon that asked once they are."""
        table = self._departures.kept
        kept = tuple(one for one in states if table.covers(one))
        if kept:
            asked.send_states(kept)
        self._wait(asked.instance, set(states).difference(kept))

    def ask_again(self) -> None:
        """Sends what waits to a source that this relay was attached to."""
        if self._source is not None and self._waiting:
            self._source.send_states(tuple(self._waiting))

    def confirm(self, states: tuple[AnnouncedState, ...]) -> None:
        """Tells the daemons that asked that a quorum has these states."""
        told: dict[str, list[AnnouncedState]] = {}
        for one in states:
            for instance in self._waiting.pop(one, ()):
                told.setdefault(instance, []).append(one)
        self._put_waiting()
        for instance, kept in told.items():
            self._tell(instance, tuple(kept))

    def tell(self, states: Iterable[AnnouncedState]) -> None:
        """Tells daemons what is kept of the upstreams that they announce."""
        for one in states:
            upstream_id = one.upstream.upstream_id
            for session in tuple(self._attached.sessions.values()):
                if session.upstream.upstream_id == upstream_id:
                    self._tell_of(session, session.upstream)

    def _on_table(self, table: AnnouncedStateTable) -> None:
        before = self._departures.kept.states
        self._departures.kept = table
        self.confirm(tuple(one for one in self._waiting if table.covers(one)))
        self.tell(
            one
            for upstream_id, one in table.states.items()
            if before.get(upstream_id) is not one
        )
        self._tell_own()

    def _tell_of(self, session: Session, upstream: UpstreamIdentity) -> None:
        known = self._departures.kept.find(upstream)
        if known is not None:
            session.send_states((known,))

    def _tell_own(self) -> None:
        known = self._departures.kept.find(self._board.upstream.value)
        if known is not None:
            self._put_told((known,))

    def _on_unkept(self, states: tuple[AnnouncedState, ...]) -> None:
        table = self._departures.kept
        kept = tuple(one for one in states if table.covers(one))
        if kept:
            self._put_told(kept)
        self._wait('', set(states).difference(kept))

    def _wait(self, instance: str, states: Iterable[AnnouncedState]) -> None:
        for one in states:
            self._waiting.setdefault(one, set()).add(instance)
        while len(self._waiting) > MAX_WAITING:
            self._waiting.pop(next(iter(self._waiting)))
        self._put_waiting()

    def _put_waiting(self) -> None:
        waiting = tuple(self._waiting)
        if waiting == self._board.states_to_keep.value:
            return
        self._board.states_to_keep.put(waiting)
        self.ask_again()

    def _tell(self, instance: str, states: tuple[AnnouncedState, ...]) -> None:
        if not instance:
            self._put_told(states)
        session = self._attached.sessions.get(instance)
        if session is not None:
            session.send_states(states)

    def _put_told(self, states: tuple[AnnouncedState, ...]) -> None:
        # The record that the daemon writes then follows the present one.
        self._runtime.scheduler.call_later(
            0, partial(self._board.told_states.put, states)
        )
