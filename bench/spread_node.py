"""One daemon of `bench.spread`: the controllers that distribute state.

Handles no requests of callers. Reads commands as JSON lines on standard input
and reports events as JSON lines on standard output.
"""

from asyncio import (
    StreamReader,
    StreamReaderProtocol,
    create_task,
    get_running_loop,
    run,
    sleep,
)
from json import dumps, loads
from random import Random
from resource import RUSAGE_SELF, getrusage
from sys import argv, stdin, stdout

from bilberry_core.board import Beacon, Board
from bilberry_core.clock import SystemClock
from bilberry_core.configuration import (
    AcceptedVersion,
    Configuration,
    RouteException,
    Service,
    compute_digest,
)
from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.handshake import Purpose
from bilberry_core.listener import StreamListener
from bilberry_core.metric import NullMetrics
from bilberry_core.policy import CallPolicy, PolicyChange
from bilberry_core.settings import ListenSettings, Peer, Role, Settings
from bilberry_core.stream import Credentials
from bilberry_core.traffic import Traffic
from bilberry_spread.compiler import SnapshotController
from bilberry_spread.relay import RelayController
from bilberry_spread.runtime import open_runtime
from bilberry_spread.subscriber import SubscriberController

from bench.spread_naive import NaiveProxy, NaiveSource

PAGE_BYTES = 4096
#: The service whose endpoints every proxy subscribes to.
REQUESTED_SERVICES = frozenset(('service-0000',))
ROLES = {
    'source': frozenset((Role.REPLICA,)),
    'relay': frozenset((Role.RELAY,)),
    'proxy': frozenset((Role.PROXY,)),
}


def make_version(version: int, services: int) -> AcceptedVersion:
    """Returns a version of a configuration with this number of services.

    Two versions differ in one default and in one exception.
    """
    exceptions = [
        RouteException(
            f'exception-{number:04}',
            f'service-{number:04}',
            'slow disks in the old building',
            PolicyChange(timeout_ms=7000),
        )
        for number in range(0, services, 5)
    ]
    exceptions[0] = exceptions[0]._replace(
        change=PolicyChange(timeout_ms=version),
    )
    configuration = Configuration(
        CallPolicy(timeout_ms=1000 + version),
        tuple(
            Service(f'service-{number:04}', (f'service-{number:04}.example',))
            for number in range(services)
        ),
        tuple(exceptions),
    )
    digest = compute_digest(configuration)
    return AcceptedVersion(version, 1, digest, configuration)


class BenchNode:
    """A daemon that runs commands; `do_x` implements the command `x`."""

    def __init__(self, options: dict) -> None:
        """Creates the daemon that the options of `bench.spread` describe."""
        self.options = options
        self.name = options['name']
        self.board = Board()
        self.traffic = Traffic()
        self.clock = SystemClock()
        self.credentials = Credentials(
            'bench', self.name, b'secret', self.traffic
        )
        self.listener = StreamListener(self.credentials)
        #: The last reported sequence of each endpoint; '' is the version.
        self.last_reported: dict[str, int] = {}
        self.tasks: list = []
        self.spread_controller = None

    async def run(self) -> None:
        """Runs commands until standard input ends."""
        address = Address('127.0.0.1', self.options.get('port', 0))
        if self.options['role'] != 'proxy':
            address = await self.listener.listen(address)
        self.report_event(event='listening', port=address.port)
        reader = StreamReader()
        await get_running_loop().connect_read_pipe(
            lambda: StreamReaderProtocol(reader),
            stdin,
        )
        while line := await reader.readline():
            command = loads(line)
            getattr(self, f'do_{command.pop("do")}')(**command)

    def report_event(self, **fields) -> None:
        """Writes the fields of an event as one JSON line."""
        stdout.write(dumps(fields) + '\n')
        stdout.flush()

    def do_start(self, replicas, relays) -> None:
        """Starts the controllers with these peers."""
        self.report_event(event='started', at=self.clock.now())
        settings = Settings(
            'bench',
            self.name,
            self.options['domain'],
            'region',
            ROLES[self.options['role']],
            ListenSettings(Address('127.0.0.1', 0)),
            b'secret',
            replicas=tuple(make_peer(*peer) for peer in replicas),
            relays=tuple(make_peer(*peer) for peer in relays),
        )
        self.spread_controller = self._build_spread_controller(settings)
        controllers = [self.spread_controller]
        if self.options['role'] == 'proxy':
            controllers.append(
                SnapshotController.from_settings(settings, self.board),
            )
            self.do_announce(1)
            self.board.requested_services.put(REQUESTED_SERVICES)
            self.board.snapshot.watch(self._report_snapshot)
        self.tasks = [create_task(one.run()) for one in controllers]

    def do_lead(self) -> None:
        """Starts to publish beacons twice a second."""
        self.tasks.append(create_task(self._send_beacons()))

    def do_accept(self, version, services) -> None:
        """Publishes a version as accepted."""
        accepted = make_version(version, services)
        self.report_event(
            event='accepted', version=version, at=self.clock.now()
        )
        self.board.accepted.put(accepted)

    def do_announce(self, sequence) -> None:
        """Publishes the endpoint of this daemon's own upstream."""
        self.report_event(
            event='announced', sequence=sequence, at=self.clock.now()
        )
        self.board.own_endpoint.put(
            Endpoint(
                self.name,
                self.options['incarnation'],
                sequence,
                self.options['service'],
                Address('127.0.0.1', 9),
                self.options['domain'],
                EndpointState.READY,
                12,
                110,
            ),
        )

    def do_cut_off(self) -> None:
        """Closes the streams to the source and relays, and dials no more."""
        spread_controller = self.spread_controller
        spread_controller._runtime.dialer.dial = lambda *_arguments: None
        spread_controller._source.attachment.stop()
        spread_controller._mesh.stop()

    def do_report(self) -> None:
        """Reports the bytes, processor time and memory used so far."""
        usage = getrusage(RUSAGE_SELF)
        reading = self.traffic.read()[Purpose.SPREAD]
        with open('/proc/self/statm', encoding='ascii') as statm:
            pages = int(statm.read().split()[1])
        self.report_event(
            event='report',
            at=self.clock.now(),
            sent=reading.sent,
            received=reading.received,
            cpu_s=usage.ru_utime + usage.ru_stime,
            rss=pages * PAGE_BYTES,
        )

    def _build_spread_controller(self, settings):
        role = self.options['role']
        if self.options['naive']:
            if role == 'source':
                return NaiveSource(self.board, self.listener)
            return NaiveProxy(settings, self.board, self.credentials)
        runtime = open_runtime(
            self.credentials,
            self.clock,
            Random(self.name),
            NullMetrics(),
        )
        if role == 'proxy':
            return SubscriberController.from_settings(
                settings, self.board, runtime
            )
        return RelayController.from_settings(
            settings,
            self.board,
            self.listener,
            runtime,
        )

    async def _send_beacons(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            accepted = self.board.accepted.value
            version = accepted.version if accepted else 0
            self.board.beacon.put(Beacon(1, version, sequence))
            await sleep(0.5)

    def _report_snapshot(self, snapshot) -> None:
        now = self.clock.now()
        if self.last_reported.get('') != snapshot.version:
            self.last_reported[''] = snapshot.version
            self.report_event(event='running', version=snapshot.version, at=now)
        route = snapshot.routes.get(*REQUESTED_SERVICES)
        for endpoint in route.endpoints if route else ():
            if self.last_reported.get(endpoint.instance) != endpoint.sequence:
                self.last_reported[endpoint.instance] = endpoint.sequence
                self.report_event(
                    event='endpoint',
                    instance=endpoint.instance,
                    sequence=endpoint.sequence,
                    at=now,
                )


def make_peer(name: str, port: int, domain: str) -> Peer:
    """Returns a peer on loopback."""
    return Peer(name, Address('127.0.0.1', port), domain)


if __name__ == '__main__':
    run(BenchNode(loads(argv[1])).run())
