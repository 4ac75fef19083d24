"""Holds the streams of a daemon to its sources."""

from collections.abc import Iterator

from bilberry_core.settings import Peer

from bilberry_spread.source import Reason, Source

#: Most streams beside the main one, those being dialed included.
MAX_OTHERS = 3


class SourceSet:
    """The main source, which this daemon is attached to, and all others.

    The others are being dialed or open. One of them is the standby, which is
    in another failure domain than the main source where that is possible.
    """

    def __init__(self) -> None:
        """Starts without a source."""
        self.main: Source | None = None
        self._others: list[Source] = []

    @property
    def others(self) -> tuple[Source, ...]:
        """The sources but the main one, the oldest dial first."""
        return tuple(self._others)

    @property
    def is_full(self) -> bool:
        """Whether no further source may be dialed."""
        return len(self._others) >= MAX_OTHERS

    def __iter__(self) -> Iterator[Source]:
        """Iterates over the main source and the others."""
        if self.main is not None:
            yield self.main
        yield from self._others

    def add(self, source: Source) -> None:
        """Adds a source that is being dialed."""
        self._others.append(source)

    def remove(self, source: Source) -> None:
        """Removes a source."""
        if source is self.main:
            self.main = None
        else:
            self._others.remove(source)

    def promote(self, source: Source) -> Source | None:
        """Makes one of the others the main source; returns the one before."""
        before = self.main
        self._others.remove(source)
        self.main = source
        return before

    def find(self, peer: Peer) -> Source | None:
        """Returns the source at a peer, if there is one."""
        for source in self:
            if source.peer.instance == peer.instance:
                return source
        return None

    def find_current(self, stale_s: float, now: float) -> Source | None:
        """Returns another source whose beacon advanced within `stale_s`."""
        for source in self._others:
            if source.has_advanced_within(stale_s, now):
                return source
        return None

    def find_open(self) -> Source | None:
        """Returns another source whose stream is open."""
        for source in self._others:
            if source.is_open:
                return source
        return None

    def list_lost(self, stale_s: float, now: float) -> list[Source]:
        """Returns the other sources from which no beacon can be expected."""
        return [one for one in self._others if one.is_lost(stale_s, now)]

    def has_standby(self, peers: tuple[Peer, ...]) -> bool:
        """Returns whether a standby has sent a beacon.

        One in the failure domain of the main source counts only if none of
        `peers` is in another one.
        """
        main = self.main
        if main is None:
            return False
        domain = main.peer.failure_domain
        has_domains = any(peer.failure_domain != domain for peer in peers)
        return any(
            not has_domains or source.peer.failure_domain != domain
            for source in self._list_standbys()
        )

    def list_surplus(self, stale_s: float, now: float) -> list[Source]:
        """Returns the sources that are not needed beside the best standby.

        A return that has not come about `stale_s` after the stream opened is
        given up: the beacons there are older.
        """
        returns = [
            one
            for one in self._others
            if one.why is Reason.RETURN and one.is_open_for(stale_s, now)
        ]
        return returns + self._list_surplus_standbys()

    def _list_surplus_standbys(self) -> list[Source]:
        main = self.main
        ready = self._list_standbys()
        if main is None or not ready:
            return []
        domain = main.peer.failure_domain
        best = max(ready, key=lambda one: one.peer.failure_domain != domain)
        ready.remove(best)
        return ready

    def _list_standbys(self) -> list[Source]:
        return [
            one
            for one in self._others
            if one.beacon is not None and one.why is not Reason.RETURN
        ]
