"""A fleet of real daemons with fault-injecting links to its replicas."""

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
    """The processes of a run and the links in front of the replicas.

    `faulted` are the instances that are under a fault. The daemon, the disk or
    the link of at most one replica is faulted at a time, because three
    replicas tolerate the loss of one.
    """

    def __init__(self, folder: Path) -> None:
        """Writes the settings to `folder`; starts no process."""
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
        """Opens the links and starts all processes."""
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
        """Ends all processes and links that this run has started."""
        await to_thread(self.fleet.close)
        for link in self.links.values():
            await link.close()

    async def change(self) -> int:
        """Applies a change with `bilberryctl`; returns the exit code."""
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

    def data_folder(self, instance: str) -> Path:
        """Returns the data folder of a replica."""
        return self._folder / f'data-{instance}'

    def lose_disk(self, instance: str) -> None:
        """Removes the data folder of a stopped replica."""
        rmtree(self.data_folder(instance), ignore_errors=True)


def _route_through_links(
    settings: Path,
    instance: str,
    addresses: dict[str, Address],
) -> None:
    """Rewrites settings to connect to other replicas through their links."""
    document = safe_load(settings.read_text())
    for kind in _PEER_LISTS:
        for peer in document[kind]:
            address = addresses.get(peer['instance'])
            if address is not None and peer['instance'] != instance:
                peer['address'] = f'{address.host}:{address.port}'
    settings.write_text(safe_dump(document, sort_keys=False))
