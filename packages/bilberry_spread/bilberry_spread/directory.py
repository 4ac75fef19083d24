"""Keeps the endpoint records that a relay knows, and which of them it owns.

The home of a record is the relay that its writer (the daemon beside the
upstream) is attached to; the home owns the record and keeps its lease. A relay
gets the records that it owns from their writers, and all others from their
homes.
"""

from collections.abc import Callable
from itertools import chain, repeat

from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.messages.spread import (
    EndpointAnnouncement,
    EndpointKey,
    EndpointUpdate,
)
from bilberry_core.upstream_notice import UpstreamIdentity

from bilberry_spread.departures import Departures
from bilberry_spread.table import EndpointTable, Home

#: Called with a record that changed, and whether it must be sent to the other
#: relays.
ChangeListener = Callable[[Endpoint, bool], None]


class RelayDirectory:
    """The endpoint table of a relay, updated by proxies and other relays."""

    def __init__(
        self,
        home: str,
        lease_s: float,
        on_change: ChangeListener,
    ) -> None:
        """Owns records as the relay `home`; leases last `lease_s` seconds."""
        self._home = home
        self._lease_s = lease_s
        self._on_change = on_change
        self._table = EndpointTable(lease_s)
        self._departures = Departures()

    @property
    def table(self) -> EndpointTable:
        """The table of all known records."""
        return self._table

    @property
    def departures(self) -> Departures:
        """The starts of upstreams that left."""
        return self._departures

    def put_own(
        self,
        endpoint: Endpoint,
        now: float,
        upstream: UpstreamIdentity = UpstreamIdentity(),
        announced: int = 0,
    ) -> None:
        """Merges the endpoint of this daemon itself, which has no lease."""
        own = EndpointAnnouncement(endpoint, 0, upstream, announced)
        if self._is_outdated(own, now):
            return
        if self._table.merge(endpoint, Home(self._home), now):
            self._on_change(endpoint, True)

    def announce(self, announcement: EndpointAnnouncement, now: float) -> bool:
        """Merges the record of an attached proxy and starts its lease.

        Returns False if the upstream has left, or drains and the record says
        otherwise: it is not taken.
        """
        if self._is_outdated(announcement, now):
            return False
        home = Home(self._home, announcement.attached)
        expires = now + self._lease_s
        if self._table.merge(announcement.endpoint, home, now, expires):
            self._on_change(announcement.endpoint, True)
        return True

    def renew(self, key: EndpointKey, attached: int, now: float) -> bool:
        """Renews a lease; returns False if the record must be announced."""
        known = self._table.find(key.instance)
        if known is None or get_order(known) != get_order(key):
            return known is not None and get_order(known) > get_order(key)
        self.announce(EndpointAnnouncement(known, attached), now)
        return True

    def receive_peer_update(
        self,
        peer: str,
        update: EndpointUpdate,
        now: float,
        *,
        is_full_set: bool,
    ) -> None:
        """Merges an update from another relay.

        With `is_full_set` the update holds every record that `peer` owns;
        leases start for the records of `peer` that are not in it.
        """
        since_unknown = repeat(0, len(update.endpoints))
        attached = chain(update.attached, since_unknown)
        for endpoint, since in zip(update.endpoints, attached, strict=False):
            was_home = self._is_home(endpoint.instance)
            if self._table.merge(endpoint, Home(peer, since), now):
                self._on_change(endpoint, was_home)
        for key in update.lapsed:
            self._table.expire_lease(key, peer, now)
        for key in update.moved:
            self._table.start_lease(key, peer, now)
        if is_full_set:
            named = {sent.instance for sent in update.endpoints}
            missing = set(self._table.find_by_home(peer)) - named
            self._table.start_leases(missing, now)

    def start_leases_of(self, peer: str, now: float) -> None:
        """Starts the leases of the records that a lost relay owned."""
        self._table.start_leases(self._table.find_by_home(peer), now)

    def expire(
        self,
        now: float,
        *,
        local_only: bool = False,
    ) -> tuple[Endpoint, ...]:
        """Removes records whose lease has expired; returns them.

        With `local_only` only records that this relay owns are removed.
        """
        removed = self._table.expire(now, self._home if local_only else '')
        for entry in removed:
            self._on_change(entry.endpoint, entry.home.instance == self._home)
        return tuple(ended.endpoint for ended in removed)

    def _is_outdated(
        self, announcement: EndpointAnnouncement, now: float
    ) -> bool:
        """Returns whether another state of the upstream was acknowledged."""
        endpoint, _, upstream, announced = announcement
        if endpoint.state is EndpointState.GONE:
            return False
        if self._departures.has(upstream, now):
            return True
        known = self._departures.kept.find(upstream)
        if known is None or known.state is endpoint.state:
            return False
        return known.binds(announced)

    def _is_home(self, instance: str) -> bool:
        entry = self._table.entries.get(instance)
        return entry is not None and entry.home.instance == self._home


def get_order(record: Endpoint | EndpointKey) -> tuple[int, int]:
    """Returns the key by which records of one endpoint are ordered."""
    return record.incarnation, record.sequence
