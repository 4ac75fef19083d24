"""Tracks and sends the pending updates of one attached receiver.

Pending updates are kept as names of what changed, not as messages: a receiver
that reads slowly gets only the newest state once its stream is writable. An
empty name stands for all endpoints of a service.
"""

from collections import defaultdict
from collections.abc import Iterator

from bilberry_core.error import StreamClosedError
from bilberry_core.messages.registry import encode_message
from bilberry_core.messages.spread import Subscribe, SuspectUpdate

from bilberry_spread.content import Content
from bilberry_spread.runtime import Link
from bilberry_spread.suspects import SuspectKey


class Receiver:
    """A proxy, or a relay that gets its configuration from this one."""

    def __init__(self, link: Link, subscribe: Subscribe) -> None:
        """Starts with everything pending except the version in `subscribe`."""
        self.link = link
        self.instance = subscribe.instance
        self._version = subscribe.version
        self._digest = subscribe.digest
        self._beacon = b''
        self._epoch = b''
        self._services: dict[str, bool] = {}
        self._changed: defaultdict[str, set[str]] = defaultdict(set)
        self._suspects: set[SuspectKey] = set()
        self.add_services(subscribe.services)

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

    def require_snapshot(self) -> None:
        """Schedules a snapshot; the receiver could not apply a delta."""
        self._version = 0
        self._digest = b''

    def flush(self, content: Content) -> None:
        """Sends pending updates as long as the stream is writable."""
        for encoded in self._collect(content):
            try:
                self.link.send_encoded(encoded)
            except StreamClosedError:
                return
            if not self.link.is_writable:
                return

    def _collect(self, content: Content) -> Iterator[bytes]:
        if not self.link.is_writable:
            return
        yield from self._collect_configuration(content)
        if content.epoch != self._epoch:
            self._epoch = content.epoch
            yield content.epoch
        if content.beacon != self._beacon:
            self._beacon = content.beacon
            yield content.beacon
        for service in tuple(self._changed):
            yield self._encode_service(service, content)
        if self._suspects:
            yield self._encode_suspects(content)

    def _collect_configuration(self, content: Content) -> Iterator[bytes]:
        newest = content.history.newest
        if newest is None:
            return
        encoded = content.history.encode_update(self._version, self._digest)
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
