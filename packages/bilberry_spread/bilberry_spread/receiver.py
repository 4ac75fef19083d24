"""Tracks and sends the pending updates of one attached receiver.

Pending updates are kept as names of what changed, not as messages: a receiver
that reads slowly gets only the newest state once its stream is writable. An
empty name stands for all endpoints of a service.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.error import StreamClosedError
from bilberry_core.messages.registry import encode_message
from bilberry_core.messages.spread import Subscribe, SuspectUpdate
from bilberry_core.settings import TimingSettings

from bilberry_spread.content import Content
from bilberry_spread.runtime import Link
from bilberry_spread.suspects import SuspectKey

#: Part of the time after which a beacon is stale in which a standby may get
#: no beacon, or lack a version.
_STANDBY_SHARE = 2


class StandbyPace(NamedTuple):
    """How much less a standby gets than an attached receiver.

    It gets one of `beacons` beacons, and a version `delay_s` seconds later
    unless it has it by then.
    """

    beacons: int
    delay_s: float

    @classmethod
    def from_timing(cls, timing: TimingSettings) -> 'StandbyPace':
        """Returns the pace at which a standby is never stale."""
        delay_ms = timing.stale_ms // _STANDBY_SHARE
        return cls(max(1, delay_ms // timing.beacon_ms), delay_ms / MS_PER_S)


class Receiver:
    """A proxy, or a relay that gets its configuration from this one."""

    def __init__(
        self,
        link: Link,
        subscribe: Subscribe,
        pace: StandbyPace,
    ) -> None:
        """Starts with everything pending except the version in `subscribe`."""
        self.link = link
        self._pace = pace
        self._is_standby = subscribe.is_standby
        self._skipped_beacons = pace.beacons
        self._behind_since: float | None = None
        self.instance = subscribe.instance
        self._version = subscribe.version
        self._digest = subscribe.digest
        self._beacon = b''
        self._epoch = b''
        self._rollouts = b''
        self._services: dict[str, bool] = {}
        self._changed: defaultdict[str, set[str]] = defaultdict(set)
        self._suspects: set[SuspectKey] = set()
        self.add_services(subscribe.services)

    @property
    def is_standby(self) -> bool:
        """Whether the receiver is attached elsewhere."""
        return self._is_standby

    def add_services(self, services: tuple[str, ...]) -> None:
        """Adds services whose endpoints are sent from now on."""
        for service in services:
            if service not in self._services:
                self._services[service] = False
                self._changed[service].add('')

    def mark_endpoint(self, service: str, instance: str) -> None:
        """Marks an endpoint as changed if its service is requested."""
        if service in self._services:
            self._changed[service].add(instance)

    def mark_complete(self) -> None:
        """Schedules complete updates of services that have not had one."""
        for service, is_sent in self._services.items():
            if not is_sent:
                self._changed[service].add('')

    def mark_suspects(self, keys: set[SuspectKey]) -> None:
        """Marks suspects as not sent yet."""
        self._suspects |= keys

    def send_offer(self, encoded: bytes) -> None:
        """Sends an encoded offer, unless the receiver is attached elsewhere.

        A receiver that reads too slowly misses it: the next one follows soon.
        """
        if self._is_standby or not self.link.is_writable:
            return
        try:
            self.link.send_encoded(encoded)
        except StreamClosedError:
            return

    def attach(self) -> None:
        """Sends everything at once from now on."""
        self._is_standby = False

    def hold(self, version: int) -> None:
        """Records a version that a standby has received elsewhere."""
        if version > self._version:
            self._version = version
            self._digest = b''
            self._behind_since = None

    def require_snapshot(self) -> None:
        """Schedules a snapshot; the receiver could not apply a delta."""
        self._version = 0
        self._digest = b''

    def flush(self, content: Content, now: float) -> None:
        """Sends pending updates as long as the stream is writable."""
        for encoded in self._collect(content, now):
            try:
                self.link.send_encoded(encoded)
            except StreamClosedError:
                return
            if not self.link.is_writable:
                return

    def _collect(self, content: Content, now: float) -> Iterator[bytes]:
        if not self.link.is_writable:
            return
        yield from self._collect_rollouts(content)
        if not self._is_deferred(content, now):
            yield from self._collect_configuration(content)
        if content.epoch != self._epoch:
            self._epoch = content.epoch
            yield content.epoch
        if content.beacon != self._beacon:
            self._beacon = content.beacon
            if not self._skips_beacon():
                yield content.beacon
        for service in tuple(self._changed):
            yield self._encode_service(service, content)
        if self._suspects:
            yield self._encode_suspects(content)

    def _collect_rollouts(self, content: Content) -> Iterator[bytes]:
        # They precede the configuration: a proxy without one routes no
        # requests yet, so none goes to a version that must not get it.
        if content.rollouts != self._rollouts:
            self._rollouts = content.rollouts
            yield content.rollouts

    def _is_deferred(self, content: Content, now: float) -> bool:
        """Returns whether the main source may still send the newest version.

        The first version always comes from there.
        """
        newest = content.history.newest
        if not self._is_standby or newest is None:
            return False
        if newest.version <= self._version:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        if self._behind_since is None or not self._version:
            return True
        return now - self._behind_since < self._pace.delay_s

    def _skips_beacon(self) -> bool:
        if not self._is_standby:
            return False
        self._skipped_beacons += 1
        if self._skipped_beacons < self._pace.beacons:
            return True
        self._skipped_beacons = 0
        return False

    def _collect_configuration(self, content: Content) -> Iterator[bytes]:
        newest = content.history.newest
        if newest is None:
            return
        digest = self._digest or content.history.find_digest(self._version)
        encoded = content.history.encode_update(self._version, digest)
        if encoded:
            self._version = newest.version
            self._digest = newest.digest
            yield encoded

    def _encode_service(self, service: str, content: Content) -> bytes:
        instances = self._changed.pop(service)
        if '' not in instances:
            return content.updates.encode_changes(service, instances)
        self._services[service] = content.is_complete
        return content.updates.encode_service(service, content.is_complete)

    def _encode_suspects(self, content: Content) -> bytes:
        found = tuple(
            content.suspects[key]
            for key in self._suspects
            if key in content.suspects
        )
        self._suspects = set()
        return encode_message(SuspectUpdate(found))
