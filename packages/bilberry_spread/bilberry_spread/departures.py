"""Keeps the starts of upstreams that left, so that none is announced again.

A daemon without a disk forgets at its restart that the upstream beside it has
left, or drains; the relays tell it.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from bilberry_core.announced_state import AnnouncedState, AnnouncedStateTable
from bilberry_core.departure import Departure
from bilberry_core.upstream_notice import UpstreamIdentity

#: Maximum number of departures; the oldest are dropped first.
MAX_DEPARTURES = 4096

#: Called with departures that are new, and whether they must be sent to the
#: other relays.
DepartureListener = Callable[[frozenset[UpstreamIdentity], bool], None]


class StateAsker(Protocol):
    """The session of a daemon that asks to have states kept."""

    instance: str

    def send_states(self, states: tuple[AnnouncedState, ...]) -> None:
        """Tells the daemon which states are kept."""


def _ignore(*_arguments: object) -> None:
    """Does nothing, until there is a listener."""


class Departures:
    """Starts of upstreams that left, limited in lifetime and number.

    `kept` are the states that the replicated log agreed on, on a replica.
    `on_ask` is called with a daemon and the states that it wants kept.
    """

    def __init__(self) -> None:
        """Starts empty, without a listener."""
        self.kept = AnnouncedStateTable()
        self.on_ask: Callable[
            [StateAsker, tuple[AnnouncedState, ...]], None
        ] = _ignore
        self._departures: dict[UpstreamIdentity, Departure] = {}
        self._listener: DepartureListener = _ignore

    def __len__(self) -> int:
        """Returns the number of departures, expired ones included."""
        return len(self._departures)

    def listen(self, listener: DepartureListener) -> None:
        """Calls `listener` with each new departure."""
        self._listener = listener

    def has(self, upstream: UpstreamIdentity, now: float) -> bool:
        """Returns whether this start of an upstream has left."""
        departure = self._departures.get(upstream)
        return departure is not None and departure.is_kept(now)

    def find_kept(self, now: float) -> frozenset[UpstreamIdentity]:
        """Returns every start that is known to have left."""
        self._drop_expired(now)
        return frozenset(self._departures)

    def add(
        self,
        upstreams: Iterable[UpstreamIdentity],
        now: float,
        *,
        is_local: bool,
    ) -> None:
        """Adds starts that left.

        `is_local` says that a daemon attached to this relay told of them, so
        that the other relays must be told.
        """
        self._drop_expired(now)
        new = frozenset(upstreams) - self._departures.keys()
        if not new:
            return
        for upstream in new:
            self._departures[upstream] = Departure(upstream, now)
        while len(self._departures) > MAX_DEPARTURES:
            self._departures.pop(next(iter(self._departures)))
        self._listener(new, is_local)

    def _drop_expired(self, now: float) -> None:
        while self._departures:
            upstream = next(iter(self._departures))
            if self._departures[upstream].is_kept(now):
                return
            self._departures.pop(upstream)
