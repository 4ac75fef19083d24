"""The endpoints that a relay knows, and which of them it vouches for.

The home of an endpoint is the relay that its writer is attached to. A relay
hears of its own proxies from them, and of the others from their homes.
"""

from collections.abc import Callable
from itertools import zip_longest

from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.spread import Announce, EndpointKey, EndpointUpdate

from bilberry_spread.table import EndpointTable, Home

#: Called with a record that changed, and whether other relays must hear it.
ChangeListener = Callable[[Endpoint, bool], None]


class RelayDirectory:
    """Decides what each announcement, update and silence changes."""

    def __init__(
        self,
        home: str,
        lease_s: float,
        on_change: ChangeListener,
    ) -> None:
        """Vouches as `home` for leases of `lease_s` seconds."""
        self._home = home
        self._lease_s = lease_s
        self._on_change = on_change
        self._table = EndpointTable(lease_s)

    @property
    def table(self) -> EndpointTable:
        """The records known."""
        return self._table

    def put_own(self, endpoint: Endpoint, now: float) -> None:
        """Takes the endpoint of this daemon itself, which has no lease."""
        if self._table.merge(endpoint, Home(self._home), now):
            self._on_change(endpoint, True)

    def announce(self, announce: Announce, now: float) -> None:
        """Takes what an attached proxy announces, and starts its lease."""
        home = Home(self._home, announce.attached)
        expires = now + self._lease_s
        if self._table.merge(announce.endpoint, home, now, expires):
            self._on_change(announce.endpoint, True)

    def renew(self, key: EndpointKey, attached: int, now: float) -> bool:
        """Renews a lease; False where the record must be announced."""
        known = self._table.find(key.instance)
        if known is None or get_order(known) != get_order(key):
            return known is not None and get_order(known) > get_order(key)
        self.announce(Announce(known, attached), now)
        return True

    def receive_peer_update(
        self,
        peer: str,
        update: EndpointUpdate,
        now: float,
        *,
        is_full_set: bool,
    ) -> None:
        """Takes what another relay vouches for; `is_whole` if all of it."""
        attached = zip_longest(update.endpoints, update.attached, fillvalue=0)
        for endpoint, since in attached:
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
        """Starts the leases of what a relay that is lost vouched for."""
        self._table.start_leases(self._table.find_by_home(peer), now)

    def expire(
        self,
        now: float,
        *,
        local_only: bool = False,
    ) -> tuple[Endpoint, ...]:
        """Removes what leases ended, at other homes only if asked."""
        removed = self._table.expire(now, self._home if local_only else '')
        for entry in removed:
            self._on_change(entry.endpoint, entry.home.instance == self._home)
        return tuple(ended.endpoint for ended in removed)

    def _is_home(self, instance: str) -> bool:
        entry = self._table.entries.get(instance)
        return entry is not None and entry.home.instance == self._home


def get_order(record: Endpoint | EndpointKey) -> tuple[int, int]:
    """Returns what orders the records of one endpoint."""
    return record.incarnation, record.sequence
