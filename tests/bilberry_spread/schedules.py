"""Random schedules of faults, with invariants checked at each step."""

from random import Random

from bilberry_core.configuration import (
    AcceptedVersion,
    Configuration,
    RouteException,
    Service,
    compute_digest,
)
from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.policy import CallPolicy, PolicyChange
from bilberry_core.snapshot import Snapshot, compile_snapshot
from bilberry_spread.compiler import group_by_service
from hypothesis import strategies as st

from tests.bilberry_spread.fleet import Fleet, make_endpoint

SERVICES = ('s0', 's1')
PROXIES = 6
#: Time in which the fleet converges once the faults have ended, in seconds.
SETTLING_S = 150

#: Steps with an integer argument. Announcements are listed twice, so that
#: they are drawn more often than faults.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                'accept',
                'announce',
                'announce',
                'leave',
                'restart_proxy',
                'kill_relay',
                'start_relay',
                'isolate',
                'cut',
                'freeze',
                'heal',
                'cut_leader',
                'disturb',
                'pause',
            ),
        ),
        st.integers(0, 11),
    ),
    min_size=4,
    max_size=24,
)


def make_version(version: int) -> AcceptedVersion:
    """Returns a version whose services and exceptions depend on it."""
    names = [f's{number}' for number in range(1 + version % 3)]
    configuration = Configuration(
        CallPolicy(timeout_ms=1000 + version),
        tuple(Service(name, (f'{name}.example',)) for name in names),
        tuple(
            RouteException(
                f'slow-{name}',
                name,
                f'since version {version}',
                PolicyChange(timeout_ms=version),
            )
            for name in names
            if (version + len(name)) % 2
        ),
    )
    digest = compute_digest(configuration)
    return AcceptedVersion(version, 1, digest, configuration)


class NaiveLeader:
    """The naive implementation: one copy of all state, polled by proxies."""

    def __init__(self) -> None:
        """Starts empty."""
        self.versions: dict[int, AcceptedVersion] = {}
        self.endpoints: dict[str, Endpoint] = {}

    def poll(self) -> Snapshot:
        """Returns the snapshot that every proxy should run now."""
        newest = self.versions[max(self.versions)]
        return compile_snapshot(
            newest,
            group_by_service(self.endpoints.values()),
        )


class Schedule:
    """A run of the same steps on a fleet and on the naive implementation."""

    def __init__(self, seed: int, relays: int = 3) -> None:
        """Starts a fleet at version 1; with 0 relays the replicas relay."""
        self.fleet = Fleet(relays=relays, proxies=0, seed=seed)
        self.prefix = 'l' if relays else 'r'
        self.random = Random(seed)
        self.naive = NaiveLeader()
        self.highest: dict[str, int] = {}
        self.restarted: set[str] = set()
        self._accept(0)
        for number in range(PROXIES):
            self._start_proxy(number)
        self.fleet.run(4)

    def run(self, steps) -> None:
        """Runs the steps, ends all faults and compares the final states."""
        for name, argument in steps:
            getattr(self, f'_{name}')(argument)
            self.fleet.run(self.random.choice((0, 0.05, 0.7, 3)))
        self._heal(0)
        self.fleet.network.jitter_s = 0
        self.fleet.network.loss = 0
        self.fleet.network.duplication = 0
        for number in range(3):
            self._start_relay(number)
        self._accept(0)
        self.fleet.run(SETTLING_S)
        expected = self.naive.poll()
        for node in self.fleet.proxies:
            found = node.board.snapshot.value
            assert found == expected, f'{node.name} ends with another snapshot'

    def check(self, name: str, snapshot: Snapshot) -> None:
        """Checks the invariants when a proxy puts a snapshot.

        The version does not decrease, unless the proxy has restarted and its
        start rule timed out; and the snapshot is of one whole version.
        """
        before = self.highest.get(name, 0)
        gate = self.fleet.nodes[name].controller.attachment.gate
        if gate.is_met(snapshot.version) or name not in self.restarted:
            forward = snapshot.version >= before
            assert forward, f'{name} went back from version {before}'
        self.restarted.discard(name)
        self.highest[name] = snapshot.version
        accepted = self.naive.versions[snapshot.version]
        endpoints = {
            service: route.endpoints
            for service, route in snapshot.routes.items()
        }
        recompiled = compile_snapshot(accepted, endpoints)
        assert snapshot == recompiled, f'{name} runs a mix of versions'

    def check_endpoints(self, name: str, before: dict, after: dict) -> None:
        """Checks that no record is replaced by an older one."""
        for instance in before.keys() & after.keys():
            older = before[instance].is_newer_than(after[instance])
            assert not older, (
                f'{name} replaced a record of {instance} by an older one'
            )

    def _start_proxy(self, number: int) -> None:
        name = f'p-{number}'
        node = self.fleet.start(name)
        self.restarted.add(name)
        node.board.requested_services.put(frozenset(SERVICES))
        node.board.snapshot.watch(lambda put: self.check(name, put))
        known = {'before': {}}

        def check_endpoints(after) -> None:
            self.check_endpoints(name, known['before'], after)
            known['before'] = after

        node.board.endpoints.watch(check_endpoints)
        incarnation = int(self.fleet.time.now() * 1000)
        self._put_endpoint(number, 1, EndpointState.READY, incarnation)

    def _put_endpoint(self, number, sequence, state, incarnation) -> None:
        endpoint = make_endpoint(
            f'p-{number}',
            sequence,
            state,
            SERVICES[number % len(SERVICES)],
            incarnation,
        )
        self.naive.endpoints[endpoint.instance] = endpoint
        node = self.fleet.nodes[endpoint.instance]
        node.board.own_endpoint.put(endpoint)

    def _change_endpoint(self, number: int, state: EndpointState) -> None:
        known = self.naive.endpoints[f'p-{number}']
        sequence = known.sequence + 1
        self._put_endpoint(number, sequence, state, known.incarnation)

    def _accept(self, _argument: int) -> None:
        accepted = make_version(len(self.naive.versions) + 1)
        self.naive.versions[accepted.version] = accepted
        self.fleet.accept(accepted)

    def _announce(self, argument: int) -> None:
        states = (EndpointState.READY, EndpointState.DRAINING)
        self._change_endpoint(argument % PROXIES, states[argument % 2])

    def _leave(self, argument: int) -> None:
        self._change_endpoint(argument % PROXIES, EndpointState.GONE)

    def _restart_proxy(self, argument: int) -> None:
        number = argument % PROXIES
        self.fleet.nodes[f'p-{number}'].kill()
        self._start_proxy(number)

    def _kill_relay(self, argument: int) -> None:
        name = f'{self.prefix}-{argument % 3}'
        if name in self.fleet.nodes:
            self.fleet.nodes[name].kill()

    def _start_relay(self, argument: int) -> None:
        name = f'{self.prefix}-{argument % 3}'
        if name not in self.fleet.nodes:
            self.fleet.start(name)

    def _isolate(self, argument: int) -> None:
        relay = f'{self.prefix}-{argument % 3}'
        others = [name for name in self.fleet.nodes if name[0] != 'p']
        self.fleet.network.isolate(relay, others)

    def _cut(self, argument: int) -> None:
        names = sorted(self.fleet.nodes)
        one = names[argument % len(names)]
        other = self.random.choice(names)
        self.fleet.network.isolate(one, (other,))

    def _freeze(self, argument: int) -> None:
        self.fleet.network.frozen.add(f'{self.prefix}-{argument % 3}')

    def _heal(self, _argument: int) -> None:
        self.fleet.network.heal()
        self.fleet.network.thaw()

    def _cut_leader(self, argument: int) -> None:
        self.fleet.network.isolate('leader', (f'r-{argument % 3}',))

    def _disturb(self, argument: int) -> None:
        network = self.fleet.network
        network.jitter_s = (0, 0.03, 0.6)[argument % 3]
        network.loss = (0, 0.02)[argument % 2]
        network.duplication = (0, 0.2)[argument % 2]

    def _pause(self, argument: int) -> None:
        self.fleet.run(argument)
