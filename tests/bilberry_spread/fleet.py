"""A small simulated fleet of controllers on the fake network."""

from random import Random

from bilberry_core.board import Beacon, Board
from bilberry_core.clock import MS_PER_S
from bilberry_core.configuration import (
    AcceptedVersion,
    Configuration,
    Service,
    compute_digest,
)
from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.metric import NullMetrics
from bilberry_core.policy import CallPolicy
from bilberry_core.settings import (
    ListenSettings,
    Peer,
    Role,
    Settings,
    TimingSettings,
)
from bilberry_spread.compiler import SnapshotController
from bilberry_spread.relay import RelayController
from bilberry_spread.runtime import Runtime
from bilberry_spread.subscriber import SubscriberController

from tests.bilberry_spread.fakes import FakeNetwork, FakeTime

DOMAINS = ('a', 'b', 'c')
TICK_S = 0.1


def make_accepted(version: int, services: int = 3) -> AcceptedVersion:
    """Returns an accepted version whose timeout identifies it."""
    configuration = Configuration(
        CallPolicy(timeout_ms=1000 + version),
        tuple(Service(f's{number}') for number in range(services)),
    )
    digest = compute_digest(configuration)
    return AcceptedVersion(version, 1, digest, configuration)


def make_endpoint(
    instance: str,
    sequence: int = 1,
    state: EndpointState = EndpointState.READY,
    service: str = 's0',
    incarnation: int = 1,
) -> Endpoint:
    """Returns an endpoint record."""
    return Endpoint(
        instance,
        incarnation,
        sequence,
        service,
        Address('127.0.0.1', 9),
        'a',
        state,
        12,
        110,
    )


class Node:
    """One simulated daemon: its board and controllers."""

    def __init__(self, fleet: 'Fleet', settings: Settings) -> None:
        """Starts the controllers; ticks begin within `TICK_S`."""
        self.fleet = fleet
        self.settings = settings
        self.name = settings.instance
        self.board = Board()
        self.alive = True
        self.versions: list[int] = []
        runtime = Runtime(
            fleet.network.make_dialer(self.name),
            fleet.time,
            fleet.time,
            fleet.random,
            NullMetrics(),
        )
        self.compiler = SnapshotController(self.board)
        self.controller: RelayController | SubscriberController
        if settings.roles & {Role.RELAY, Role.REPLICA}:
            self.controller = RelayController(settings, self.board, runtime)
            fleet.network.accepting[self.name] = self.controller.accept
        else:
            self.controller = SubscriberController(
                settings,
                self.board,
                runtime,
            )
        self.controller.start()
        self.board.accepted.watch(self._compile)
        self.board.endpoints.watch(self._compile)
        fleet.time.call_later(fleet.random.uniform(0, TICK_S), self._tick)

    def kill(self) -> None:
        """Stops the daemon abruptly; it sends no departure."""
        self.alive = False
        self.fleet.network.kill(self.name)
        self.fleet.nodes.pop(self.name, None)

    def _compile(self, _changed) -> None:
        self.compiler.compile()
        snapshot = self.board.snapshot.value
        if snapshot is not None:
            self.versions.append(snapshot.version)

    def _tick(self) -> None:
        if not self.alive:
            return
        if self.name not in self.fleet.network.frozen:
            self.controller.tick()
        self.fleet.time.call_later(TICK_S, self._tick)


class Fleet:
    """Replicas r-*, relays l-* and proxies p-* in three failure domains."""

    def __init__(
        self,
        replicas: int = 3,
        relays: int = 0,
        proxies: int = 6,
        seed: int = 0,
        timing: TimingSettings = TimingSettings(),
    ) -> None:
        """Starts all daemons; without relays the replicas are the relays."""
        self.time = FakeTime()
        self.random = Random(seed)
        self.network = FakeNetwork(self.time, self.random)
        self.timing = timing
        self.nodes: dict[str, Node] = {}
        self.has_leader = True
        self.accepted: AcceptedVersion | None = None
        self.sequence = 0
        self.replica_peers = self._make_peers('r', replicas)
        self.relay_peers = self._make_peers('l', relays)
        for peer in self.replica_peers:
            self.start(peer.instance)
        for peer in self.relay_peers:
            self.start(peer.instance)
        for number in range(proxies):
            self.start(f'p-{number}')
        self.time.call_later(0, self._send_beacon)

    @property
    def relays(self) -> list[Node]:
        """The replicas and relays."""
        return [node for node in self.nodes.values() if node.name[0] != 'p']

    @property
    def proxies(self) -> list[Node]:
        """The daemons that are only proxies."""
        return [node for node in self.nodes.values() if node.name[0] == 'p']

    def start(self, name: str, domain: str = '') -> Node:
        """Starts one daemon, or restarts it without its state."""
        number = int(name.split('-')[1])
        roles = {
            'r': {Role.REPLICA, Role.RELAY, Role.PROXY},
            'l': {Role.RELAY, Role.PROXY},
            'p': {Role.PROXY},
        }[name[0]]
        if self.relay_peers and name[0] == 'r':
            roles = {Role.REPLICA, Role.PROXY}
        settings = Settings(
            'fleet',
            name,
            domain or DOMAINS[number % len(DOMAINS)],
            'region',
            frozenset(roles),
            ListenSettings(Address('127.0.0.1', 0)),
            b'secret',
            replicas=self.replica_peers,
            relays=self.relay_peers or self.replica_peers,
            timing=self.timing,
        )
        node = Node(self, settings)
        self.nodes[name] = node
        if name[0] == 'r' and self.accepted is not None:
            node.board.accepted.put(self.accepted)
        return node

    def accept(self, accepted: AcceptedVersion) -> None:
        """Accepts a version on every replica that the leader can reach."""
        self.accepted = accepted
        self._update_replicas()

    def run(self, seconds: float, check=None) -> None:
        """Advances the simulated time; calls `check` after each event."""
        self.time.run(seconds, check)

    def _send_beacon(self) -> None:
        if self.has_leader:
            self.sequence += 1
            self._update_replicas()
        beacon_ms = self.timing.beacon_ms
        self.time.call_later(beacon_ms / MS_PER_S, self._send_beacon)

    def _update_replicas(self) -> None:
        version = self.accepted.version if self.accepted else 0
        for node in self.nodes.values():
            cut = self.network.is_cut('leader', node.name)
            if node.name[0] == 'r' and not cut:
                node.board.accepted.put(self.accepted)
                node.board.beacon.put(Beacon(1, version, self.sequence))

    def _make_peers(self, prefix: str, size: int) -> tuple[Peer, ...]:
        return tuple(
            Peer(
                f'{prefix}-{number}',
                Address('127.0.0.1', 0),
                DOMAINS[number % len(DOMAINS)],
            )
            for number in range(size)
        )
