"""Encodes endpoint updates once for all their receivers."""

from collections.abc import Iterable

from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.messages.registry import encode_message
from bilberry_core.messages.spread import EndpointKey, EndpointUpdate

from bilberry_spread.table import EndpointTable, get_key


class EndpointUpdates:
    """Builder of endpoint updates, with a cache for one flush."""

    def __init__(self, table: EndpointTable, home: str) -> None:
        """Builds updates from `table` for the relay `home`."""
        self._table = table
        self._home = home
        self._changes: dict[tuple[str, frozenset[str]], bytes] = {}
        self._services: dict[tuple[str, bool], bytes] = {}

    def clear(self) -> None:
        """Clears the cache; called before each flush."""
        self._changes.clear()
        self._services.clear()

    def encode_changes(self, service: str, instances: set[str]) -> bytes:
        """Returns the encoded update of the named endpoints of a service."""
        key = (service, frozenset(instances))
        if key not in self._changes:
            self._changes[key] = encode_message(
                self._build(sorted(instances), owned_only=False),
            )
        return self._changes[key]

    def encode_service(self, service: str, is_complete: bool) -> bytes:
        """Returns the encoded update with every endpoint of a service."""
        key = (service, is_complete)
        if key not in self._services:
            endpoints = tuple(
                entry.endpoint
                for entry in self._table.entries.values()
                if entry.endpoint.service == service
            )
            endpoints += tuple(
                endpoint
                for endpoint in self._table.tombstones.find_gone()
                if endpoint.service == service
            )
            complete = (service,) if is_complete else ()
            self._services[key] = encode_message(
                EndpointUpdate(endpoints, complete),
            )
        return self._services[key]

    def build_for_relay(self, instances: Iterable[str]) -> EndpointUpdate:
        """Returns the update of the named endpoints for another relay."""
        return self._build(sorted(instances), owned_only=True)

    def build_all_for_relay(self) -> EndpointUpdate:
        """Returns the update of every owned endpoint and every departure."""
        gone = self._table.tombstones.find_gone()
        instances = {endpoint.instance for endpoint in gone}
        instances.update(self._table.find_by_home(self._home))
        return self.build_for_relay(instances)

    def _build(
        self,
        instances: Iterable[str],
        *,
        owned_only: bool,
    ) -> EndpointUpdate:
        endpoints: list[Endpoint] = []
        lapsed: list[EndpointKey] = []
        moved: list[EndpointKey] = []
        for instance in instances:
            known = self._table.find(instance)
            if known is None:
                continue
            if self._is_included(known, owned_only):
                endpoints.append(known)
            elif instance in self._table.entries:
                moved.append(get_key(known))
            else:
                lapsed.append(get_key(known))
        attached: tuple[int, ...] = ()
        if owned_only:
            attached = tuple(map(self._get_attached, endpoints))
        return EndpointUpdate(
            tuple(endpoints),
            (),
            tuple(lapsed),
            attached,
            tuple(moved),
        )

    def _get_attached(self, endpoint: Endpoint) -> int:
        entry = self._table.entries.get(endpoint.instance)
        return entry.home.attached if entry else 0

    def _is_included(self, known: Endpoint, owned_only: bool) -> bool:
        if known.state is EndpointState.GONE:
            return True
        entry = self._table.entries.get(known.instance)
        if entry is None:
            return False
        return not owned_only or entry.home.instance == self._home
