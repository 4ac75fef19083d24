"""Runs claim holders and clients of one fleet in-process on loopback."""

from asyncio import create_task, sleep, wait_for
from random import Random

from bilberry_claims.client import ClaimClient
from bilberry_claims.holder import HolderController
from bilberry_claims.limit import ClaimLimits
from bilberry_core.board import Board, ClaimEpoch, Holder
from bilberry_core.claim import Attempt, ClaimKey, StoredAnswer
from bilberry_core.clock import SystemClock
from bilberry_core.endpoint import Address
from bilberry_core.handshake import Purpose
from bilberry_core.listener import StreamListener
from bilberry_core.settings import ListenSettings, Role, Settings
from bilberry_core.stream import Credentials

from tests.bilberry_core.fake_disk import FakeDisk

TIMEOUT_S = 20
ANSWER = StoredAnswer(201, ((b'location', b'/booking/1'),), b'booked')
_ANYWHERE = Address('127.0.0.1', 0)


def make_attempt(attempt, key='k', body=b'body', retention_s=3600):
    """Returns an attempt to claim a key of the service `booking`."""
    return Attempt(ClaimKey('booking', key), attempt, body, retention_s)


def make_settings(instance, domain='a'):
    """Returns the settings of a replica."""
    return Settings(
        'fleet',
        instance,
        domain,
        'north',
        frozenset((Role.REPLICA,)),
        ListenSettings(_ANYWHERE),
        b'secret',
    )


class FakeClock(SystemClock):
    """The system clock, moved ahead by `ahead_ms` milliseconds."""

    def __init__(self):
        self.ahead_ms = 0

    def wall_ms(self):
        """Returns wall clock time, in milliseconds."""
        return super().wall_ms() + self.ahead_ms


class Replica:
    """One holder, its listener and its disk."""

    def __init__(self, instance, domain, limits, clock):
        self.instance = instance
        self.domain = domain
        self.limits = limits
        self.clock = clock
        self.disk = FakeDisk()
        self.address = _ANYWHERE
        self.board = Board()

    async def start(self, epoch=None):
        """Starts the holder, on the same port after a restart."""
        credentials = Credentials('fleet', self.instance, b'secret')
        self.board = Board()
        self.listener = StreamListener(credentials)
        self.controller = HolderController(
            self.board,
            credentials,
            self.disk,
            self.clock,
            self.limits,
        )
        self.listener.handle(Purpose.CLAIM, self.controller.accept)
        self.board.claim_epoch.put(epoch)
        self.address = await self.listener.listen(self.address)
        self.running = create_task(self.controller.run())

    async def stop(self):
        """Stops gracefully."""
        await self.controller.stop()
        await self.running
        self.listener.close()

    async def crash(self):
        """Stops at once and loses all unsynced writes."""
        self.running.cancel()
        self.listener.close()
        self.controller.close()
        self.disk.crash()

    def reads(self, claim):
        """Returns the holder's record of a key."""
        return self.controller._core.table.read(claim)

    @property
    def holder(self):
        """The holder with its current address."""
        return Holder(self.instance, *self.address, self.domain)


class Fleet:
    """Replicas and proxy clients that share an epoch."""

    def __init__(self, size=3, limits=ClaimLimits()):
        self.clock = FakeClock()
        self.limits = limits
        self.replicas = []
        for _ in range(size):
            self.add_replica()
        self.clients = []
        self.boards = []
        self.epoch = None

    async def __aenter__(self):
        for replica in self.replicas:
            await replica.start()
        self.publish_epoch(
            ClaimEpoch(1, tuple(one.holder for one in self.replicas))
        )
        return self

    async def __aexit__(self, *_error):
        for client in self.clients:
            await client.stop()
        for replica in self.replicas:
            await replica.stop()

    def add_replica(self):
        """Returns a new replica with an empty disk."""
        number = len(self.replicas)
        replica = Replica(
            f'replica-{number}',
            f'domain-{number % 3}',
            self.limits,
            self.clock,
        )
        self.replicas.append(replica)
        return replica

    async def restart(self, *replicas):
        """Crashes replicas and starts them again."""
        for replica in replicas:
            await replica.crash()
        for replica in replicas:
            await replica.start(self.epoch)

    async def wait_caught_up(self):
        """Waits until every holder of the epoch is caught up."""
        names = {one.instance for one in self.epoch.holders}
        holders = [one for one in self.replicas if one.instance in names]
        await wait_until(
            lambda: all(one.controller.is_caught_up for one in holders),
        )

    def publish_epoch(self, epoch):
        """Publishes an epoch to all replicas and clients."""
        self.epoch = epoch
        for board in [one.board for one in self.replicas] + self.boards:
            board.claim_epoch.put(epoch)

    def add_client(self):
        """Returns the claim client of a new proxy."""
        instance = f'proxy-{len(self.clients)}'
        board = Board()
        board.claim_epoch.put(self.epoch)
        client = ClaimClient.from_settings(
            make_settings(instance),
            board,
            Credentials('fleet', instance, b'secret'),
            SystemClock(),
            Random(len(self.clients)),
        )
        self.clients.append(client)
        self.boards.append(board)
        return client


async def wait_until(condition):
    """Returns once the condition holds."""

    async def poll():
        while not condition():
            await sleep(0.001)

    await wait_for(poll(), TIMEOUT_S)
