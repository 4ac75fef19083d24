"""Keeps records that ended, so that older ones are not accepted again."""

from typing import NamedTuple

from bilberry_core.endpoint import Endpoint, EndpointState

#: Lifetime of a tombstone, in seconds.
TOMBSTONE_S = 3600.0
#: Maximum number of tombstones; the oldest are dropped first.
MAX_TOMBSTONES = 4096


class _Tombstone(NamedTuple):
    endpoint: Endpoint
    expires: float


class Tombstones:
    """Ended records by instance, limited in lifetime and number."""

    def __init__(self) -> None:
        """Starts empty."""
        self._tombstones: dict[str, _Tombstone] = {}

    def __len__(self) -> int:
        """Returns the number of tombstones."""
        return len(self._tombstones)

    def find(self, instance: str) -> Endpoint | None:
        """Returns the ended record of an instance, or None."""
        tombstone = self._tombstones.get(instance)
        return tombstone.endpoint if tombstone else None

    def find_gone(self) -> tuple[Endpoint, ...]:
        """Returns the records that their writers announced as gone."""
        return tuple(
            tombstone.endpoint
            for tombstone in self._tombstones.values()
            if tombstone.endpoint.state is EndpointState.GONE
        )

    def add(self, endpoint: Endpoint, now: float) -> None:
        """Adds a record that ended now."""
        self.remove(endpoint.instance)
        tombstone = _Tombstone(endpoint, now + TOMBSTONE_S)
        self._tombstones[endpoint.instance] = tombstone
        if len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.pop(next(iter(self._tombstones)))

    def remove(self, instance: str) -> None:
        """Removes the tombstone of an instance, if there is one."""
        self._tombstones.pop(instance, None)

    def expire(self, now: float) -> None:
        """Removes tombstones older than `TOMBSTONE_S`."""
        while self._tombstones:
            instance = next(iter(self._tombstones))
            if self._tombstones[instance].expires > now:
                return
            self._tombstones.pop(instance)
