"""A fleet of real daemons whose links to replicas can be faulted."""

from asyncio import to_thread
from pathlib import Path
from shutil import rmtree

from bilberry_core.endpoint import Address
from yaml import safe_dump, safe_load

from demo.fleet import Fleet, prepare_fleet
from demo.operator import Operator
from demo.scenario import plan_instances
from soak.link import Link

REPLICAS = ('a-1', 'b-1', 'c-1')
_PEER_LISTS = ('replicas', 'relays')
_MS_PER_S = 1000


class SoakEnvironment:
    """The processes of one run, and the links in front of the replicas.

    `faulted` are the instances under a fault that takes their process or disk.
    At most one replica is among them: three bear the loss of one.
    """

    def __init__(self, folder: Path) -> None:
        """Prepares the settings; nothing runs yet."""
        self.fleet: Fleet = prepare_fleet(folder, plan_instances())
        self.operator = Operator(self.fleet)
        self.links: dict[str, Link] = {}
        self.faulted: set[str] = set()
        self.changes = 0
        self._folder = folder

    @property
    def can_lose_replica(self) -> bool:
        """Whether another replica may be faulted now."""
        return not self.faulted & set(REPLICAS)

    async def start(self) -> None:
        """Opens the links and starts every process."""
        addresses: dict[str, Address] = {}
        for name in REPLICAS:
            ports = self.fleet.members[name].ports
            self.links[name] = Link(Address('127.0.0.1', ports.streams))
            addresses[name] = await self.links[name].listen()
        for member in self.fleet.members.values():
            _route_through_links(
                member.settings, member.plan.instance, addresses
            )
        await to_thread(self.fleet.start)

    async def close(self) -> None:
        """Ends every process and link that this run has started."""
        await to_thread(self.fleet.close)
        for link in self.links.values():
            await link.close()

    async def change(self) -> int:
        """Offers a change of the configuration; returns the exit code."""
        self.changes += 1
        path = self._folder / f'change-{self.changes}.yaml'
        timeout = f'{3 * _MS_PER_S + self.changes}ms'
        services = {
            service: {'hosts': [f'{service}.example']}
            for service in ('callouts', 'stock')
        }
        defaults = {'timeout': timeout, 'retries': 2, 'retry_budget': '100%'}
        document = {'defaults': defaults, 'services': services}
        path.write_text(safe_dump(document))
        outcome = await to_thread(self.operator.run, 'apply', str(path))
        return outcome.code

    def lose_disk(self, instance: str) -> None:
        """Removes the data folder of a replica that does not run."""
        rmtree(self._folder / f'data-{instance}', ignore_errors=True)


def _route_through_links(
    settings: Path,
    instance: str,
    addresses: dict[str, Address],
) -> None:
    """Has a daemon dial the other replicas through their links."""
    document = safe_load(settings.read_text())
    for kind in _PEER_LISTS:
        for peer in document[kind]:
            address = addresses.get(peer['instance'])
            if address is not None and peer['instance'] != instance:
                peer['address'] = f'{address.host}:{address.port}'
    settings.write_text(safe_dump(document, sort_keys=False))
