"""Keeps the endpoint records that one daemon knows, with their leases.

Of two records of one endpoint the one with the greater (incarnation, sequence)
wins, in whatever order they arrive. A record is owned by its home: the relay
that its writer is attached to. Records whose writer is silent are removed when
their lease expires, but only a share of a service at a time, since the silence
can also mean that this daemon is cut off.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.messages.spread import EndpointKey

from bilberry_spread.removal import WINDOW_LEASES, RemovalLimit
from bilberry_spread.tombstones import Tombstones


class Home(NamedTuple):
    """The relay that a writer is attached to, and since when.

    `attached` is in milliseconds of the writer's wall clock; of two homes the
    one that the writer attached to later owns the record.
    """

    instance: str
    attached: int = 0


class Entry(NamedTuple):
    """A record, its home, and the end of its lease.

    `expires` is monotonic time in seconds, or None if no lease runs here:
    while another relay keeps the lease, and for the daemon's own endpoint.
    """

    endpoint: Endpoint
    home: Home
    expires: float | None = None


def get_key(endpoint: Endpoint) -> EndpointKey:
    """Returns the key that identifies this record."""
    return EndpointKey(
        endpoint.instance,
        endpoint.incarnation,
        endpoint.sequence,
    )


class EndpointTable:
    """Records by instance, and tombstones of those that ended."""

    def __init__(self, lease_s: float) -> None:
        """Starts empty; a lease lasts `lease_s` seconds."""
        self._lease_s = lease_s
        self._entries: dict[str, Entry] = {}
        self._counts: Counter[str] = Counter()
        self._instances_by_home: defaultdict[str, set[str]] = defaultdict(set)
        self._leases: set[str] = set()
        self._tombstones = Tombstones()
        self._limit = RemovalLimit(lease_s * WINDOW_LEASES)

    @property
    def entries(self) -> dict[str, Entry]:
        """The records that have not ended; not to be changed."""
        return self._entries

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """A new dictionary of the records that have not ended."""
        return {
            instance: entry.endpoint
            for instance, entry in self._entries.items()
        }

    @property
    def tombstones(self) -> Tombstones:
        """The records that have ended."""
        return self._tombstones

    def find(self, instance: str) -> Endpoint | None:
        """Returns the newest record known, ended or not, or None."""
        entry = self._entries.get(instance)
        if entry is not None:
            return entry.endpoint
        return self._tombstones.find(instance)

    def merge(
        self,
        endpoint: Endpoint,
        home: Home,
        now: float,
        expires: float | None = None,
    ) -> bool:
        """Merges a record owned by `home`; returns whether anything changed.

        A record that is already known moves to this home and lease, unless
        its writer attached to another relay later.
        """
        known = self.find(endpoint.instance)
        if known is not None and known.is_newer_than(endpoint):
            return False
        if known is not None and not endpoint.is_newer_than(known):
            endpoint = known
            if home.attached < self._get_attached(endpoint):
                return False
        if endpoint.state is EndpointState.GONE:
            return self._end(endpoint, now)
        return self._put(Entry(endpoint, home, expires))

    def expire_lease(self, key: EndpointKey, home: str, now: float) -> None:
        """Makes the lease of a record expire at `now` if `home` owns it."""
        entry = self._find_record(key, home)
        if entry is not None:
            self._put(entry._replace(expires=now))

    def start_lease(self, key: EndpointKey, home: str, now: float) -> None:
        """Starts the lease of a record that `home` no longer owns."""
        if self._find_record(key, home) is not None:
            self.start_leases((key.instance,), now)

    def start_leases(self, instances: Iterable[str], now: float) -> None:
        """Starts leases of records that have lost their owner."""
        for instance in tuple(instances):
            entry = self._entries[instance]
            if entry.expires is None:
                expires = now + self._lease_s
                self._put(entry._replace(expires=expires))

    def find_by_home(self, home: str) -> tuple[str, ...]:
        """Returns the instances whose records `home` owns."""
        return tuple(self._instances_by_home[home])

    def extend_leases(self, seconds: float) -> None:
        """Extends every lease; called after a pause of this process."""
        for instance in tuple(self._leases):
            entry = self._entries[instance]
            expires = (entry.expires or 0) + seconds
            self._entries[instance] = entry._replace(expires=expires)

    def find_expired(self, now: float) -> tuple[Entry, ...]:
        """Returns the records with an expired lease, earliest expiry first."""
        lapsed = [
            entry
            for entry in map(self._entries.__getitem__, self._leases)
            if entry.expires is not None and entry.expires <= now
        ]
        return tuple(sorted(lapsed, key=_rank_expired))

    def expire(self, now: float, home: str = '') -> tuple[Entry, ...]:
        """Removes records with an expired lease; returns them.

        The share of each service that is removed at a time is limited. With
        `home` only records of that home are removed.
        """
        self._tombstones.expire(now)
        removed: list[Entry] = []
        for entry in self.find_expired(now):
            if home not in {'', entry.home.instance}:
                continue
            service = entry.endpoint.service
            if self._limit.allow(service, self._counts[service], now):
                self._end(entry.endpoint, now)
                removed.append(entry)
        return tuple(removed)

    def _find_record(self, key: EndpointKey, home: str) -> Entry | None:
        """Returns the entry of exactly this record if `home` owns it."""
        entry = self._entries.get(key.instance)
        if entry is None or entry.home.instance != home:
            return None
        return entry if get_key(entry.endpoint) == key else None

    def _get_attached(self, endpoint: Endpoint) -> int:
        entry = self._entries.get(endpoint.instance)
        return entry.home.attached if entry else 0

    def _put(self, entry: Entry) -> bool:
        instance = entry.endpoint.instance
        before = self._remove(instance)
        self._tombstones.remove(instance)
        self._entries[instance] = entry
        self._counts[entry.endpoint.service] += 1
        self._instances_by_home[entry.home.instance].add(instance)
        if entry.expires is not None:
            self._leases.add(instance)
        if before is None:
            return True
        return (before.endpoint, before.home) != (entry.endpoint, entry.home)

    def _end(self, endpoint: Endpoint, now: float) -> bool:
        known = self._tombstones.find(endpoint.instance)
        ended = self._remove(endpoint.instance)
        self._tombstones.add(endpoint, now)
        return ended is not None or known != endpoint

    def _remove(self, instance: str) -> Entry | None:
        entry = self._entries.pop(instance, None)
        self._leases.discard(instance)
        if entry is not None:
            self._counts[entry.endpoint.service] -= 1
            self._instances_by_home[entry.home.instance].discard(instance)
        return entry


def _rank_expired(entry: Entry) -> tuple[float, str]:
    return entry.expires or 0, entry.endpoint.instance
