"""Tests of the controllers over real streams on the loopback interface."""

from asyncio import create_task, gather, run, sleep, wait_for
from itertools import count
from random import Random

from bilberry_core.board import Beacon, Board
from bilberry_core.clock import SystemClock
from bilberry_core.endpoint import Address
from bilberry_core.listener import StreamListener
from bilberry_core.metric import NullMetrics
from bilberry_core.settings import ListenSettings, Peer, Role, Settings
from bilberry_core.stream import Credentials
from bilberry_spread.compiler import SnapshotController
from bilberry_spread.relay import RelayController
from bilberry_spread.runtime import open_runtime
from bilberry_spread.subscriber import SubscriberController
from testtools import TestCase

from tests.bilberry_spread.fleet import make_accepted, make_endpoint

LOOPBACK = Address('127.0.0.1', 0)
#: Timeout of a test that hangs, in seconds.
HANG_S = 30


class Daemon:
    """The board and controllers of one daemon, in this process."""

    def __init__(self, name: str, roles: frozenset[Role]) -> None:
        """Creates the daemon; `start` runs its controllers."""
        self.board = Board()
        self.credentials = Credentials('fleet', name, b'secret')
        self.listener = StreamListener(self.credentials)
        self.settings = Settings(
            'fleet',
            name,
            'a',
            'region',
            roles,
            ListenSettings(LOOPBACK),
            b'secret',
        )
        self.controllers: list = []
        self.tasks: list = []

    def start(self, peers: tuple[Peer, ...]) -> None:
        """Runs the controllers as tasks."""
        settings = self.settings._replace(replicas=peers, relays=peers)
        runtime = open_runtime(
            self.credentials,
            SystemClock(),
            Random(1),
            NullMetrics(),
        )
        if Role.RELAY in settings.roles:
            controller = RelayController.from_settings(
                settings,
                self.board,
                self.listener,
                runtime,
            )
        else:
            controller = SubscriberController.from_settings(
                settings,
                self.board,
                runtime,
            )
        compiler = SnapshotController.from_settings(settings, self.board)
        self.controllers = [controller, compiler]
        self.tasks = [create_task(one.run()) for one in (controller, compiler)]

    async def stop(self) -> None:
        """Stops the controllers and the listener."""
        await gather(*(one.stop() for one in self.controllers))
        await gather(*self.tasks)
        self.listener.close()


async def put_beacons(board: Board) -> None:
    """Puts a beacon every 50 ms, as a leader does."""
    for sequence in count(1):
        board.beacon.put(Beacon(1, 1, sequence))
        await sleep(0.05)


async def spread_one_version() -> tuple[int, set[str]]:
    """Returns the version and the endpoints that a proxy ends with."""
    relay = Daemon('r-0', frozenset(Role))
    proxy = Daemon('p-0', frozenset((Role.PROXY,)))
    bound = await relay.listener.listen(LOOPBACK)
    peers = (Peer('r-0', bound, 'a'),)
    proxy.board.own_endpoint.put(make_endpoint('p-0'))
    proxy.board.requested_services.put(frozenset(('s0',)))
    for daemon in (relay, proxy):
        daemon.start(peers)
    relay.board.accepted.put(make_accepted(1))
    beacon_task = create_task(put_beacons(relay.board))
    found = await proxy.board.snapshot.wait_for(
        lambda one: one is not None and one.routes['s0'].endpoints,
    )
    await relay.board.proxies.wait_for(lambda one: one.get('p-0') == 1)
    beacon_task.cancel()
    await gather(relay.stop(), proxy.stop())
    routed = found.routes['s0'].endpoints
    return found.version, {endpoint.instance for endpoint in routed}


class LoopbackTest(TestCase):
    """Tests with one relay and one proxy."""

    def test_proxy_gets_version_and_endpoint(self):
        """A proxy runs the accepted version with the endpoint it announced."""
        outcome = run(wait_for(spread_one_version(), HANG_S))
        self.assertEqual((1, {'p-0'}), outcome)
