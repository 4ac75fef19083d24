"""A fleet whose daemons are reached through links with a rate."""

from collections.abc import Iterable

from bilberry_core.endpoint import Address

from demo.fleet import Fleet
from demo.ports import pick_ports
from soak.link import Link

_HOST = '127.0.0.1'


class LinkedFleet(Fleet):
    """A fleet in which links listen where daemons are known to do so.

    Streams of configurations, endpoints, requests and responses to a linked
    daemon cross its link.
    """

    def __init__(
        self, fleet: Fleet, linked: Iterable[str], bytes_per_s: float
    ) -> None:
        """Takes the members of a prepared fleet; opens no link yet."""
        super().__init__(fleet.folder, fleet.members.values())
        self._hidden = self._pick_hidden_ports(tuple(linked))
        self.links = {
            name: Link(Address(_HOST, port), bytes_per_s)
            for name, port in self._hidden.items()
        }

    async def open_links(self) -> None:
        """Starts to listen in front of the linked daemons."""
        for name, link in self.links.items():
            await link.listen(self.members[name].ports.streams)

    async def close_links(self) -> None:
        """Aborts every connection that crosses a link."""
        for link in self.links.values():
            await link.close()

    def build_command(self, instance: str) -> list[str]:
        """Returns the module that runs a daemon, and its arguments."""
        if instance not in self._hidden:
            return super().build_command(instance)
        settings = str(self.members[instance].settings)
        return ['soak.hidden_daemon', str(self._hidden[instance]), settings]

    def _pick_hidden_ports(self, names: tuple[str, ...]) -> dict[str, int]:
        used = {
            port for member in self.members.values() for port in member.ports
        }
        ports = pick_ports(len(used) + len(names))
        return dict(zip(names, (port for port in ports if port not in used)))
