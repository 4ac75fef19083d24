"""Replicas in one process, connected by real streams on loopback."""

from asyncio import Task, create_task, gather, wait_for
from collections.abc import Iterable
from contextlib import suppress
from random import Random
from socket import AF_INET, SOCK_STREAM, socket

from bilberry_core.acceptance import Change
from bilberry_core.board import Board
from bilberry_core.clock import Clock, SystemClock
from bilberry_core.configuration import (
    Configuration,
    Service,
    encode_configuration,
)
from bilberry_core.disk import Disk
from bilberry_core.endpoint import Address
from bilberry_core.listener import StreamListener
from bilberry_core.settings import (
    FoundingSettings,
    ListenSettings,
    Peer,
    Role,
    Settings,
    TimingSettings,
)
from bilberry_core.stream import Credentials
from bilberry_core.traffic import Traffic
from bilberry_replica.building import ReplicaOptions
from bilberry_replica.controller import ReplicaController
from bilberry_replica.limits import Limits

from tests.bilberry_core.fake_disk import FakeDisk

FAST = TimingSettings(heartbeat_ms=15, election_ms=90, beacon_ms=25)
TIMEOUT_S = 20.0


def reserve_address() -> tuple[socket, Address]:
    """Returns a bound socket, which reserves its port, and its address."""
    reserved = socket(AF_INET, SOCK_STREAM)
    reserved.bind(('127.0.0.1', 0))
    return reserved, Address(*reserved.getsockname())


def build_content(name: str) -> bytes:
    """Returns a configuration with one service."""
    return encode_configuration(Configuration(services=(Service(name),)))


def build_change(change_id: str, base: int, name: str = 'callouts') -> Change:
    """Returns a change whose content declares one service."""
    return Change(change_id, base, 'ann', 'because', build_content(name))


class Member:
    """A replica with its listener, board and disk."""

    def __init__(
        self,
        settings: Settings,
        disk: Disk,
        limits: Limits,
        clock: Clock,
    ) -> None:
        """Builds the replica without starting it."""
        self.traffic = Traffic()
        credentials = Credentials(
            'fleet',
            settings.instance,
            b'secret',
            self.traffic,
        )
        self.settings = settings
        self.disk = disk
        self.board = Board()
        self.listener = StreamListener(credentials)
        self.controller = ReplicaController.from_settings(
            settings,
            self.board,
            self.listener,
            credentials,
            clock,
            Random(),
            disk,
            options=ReplicaOptions(limits),
        )
        self.task: Task[None] | None = None

    async def start(self) -> None:
        """Listens for streams and runs the replica."""
        await self.listener.listen(self.settings.listen.streams)
        self.task = create_task(self.controller.run())

    async def kill(self) -> None:
        """Stops the replica; unsynced data is lost."""
        self.task.cancel()
        with suppress(BaseException):
            await self.task
        self.listener.close()
        if isinstance(self.disk, FakeDisk):
            self.disk.crash()


class Fleet:
    """Some replicas, each in a failure domain of its own."""

    def __init__(
        self,
        names: str,
        timing: TimingSettings = FAST,
        limits: Limits = Limits(),
        clock: Clock = SystemClock(),
        founding: FoundingSettings = FoundingSettings(),
    ) -> None:
        """Adds a replica for each letter of `names`."""
        self.founding = founding
        self.timing = timing
        self.limits = limits
        self.clock = clock
        self.peers: tuple[Peer, ...] = ()
        self.members: dict[str, Member] = {}
        self.extend(names)

    def extend(self, names: str) -> None:
        """Adds replicas to the settings used from now on."""
        for name in names:
            reserved, address = reserve_address()
            reserved.close()
            self.peers += (Peer(name, address, f'domain-{name}'),)

    async def start(self, names: Iterable[str], disk: Disk = None) -> None:
        """Starts replicas, each with its previous disk or a new one."""
        for name in names:
            known = self.members.get(name)
            kept = known.disk if known else FakeDisk()
            member = Member(
                self._build_settings(name),
                disk or kept,
                self.limits,
                self.clock,
            )
            self.members[name] = member
            await member.start()

    async def kill(self, names: Iterable[str]) -> None:
        """Stops replicas concurrently."""
        await gather(*(self.members[name].kill() for name in names))

    async def find_leader(self, among: str = '') -> str:
        """Waits until a replica leads and returns its name."""
        names = among or ''.join(self.members)
        tasks = [
            create_task(
                self.members[name].board.replica.wait_for(
                    lambda status: (
                        status is not None
                        and status.leader in names
                        and bool(status.leader)
                    ),
                ),
            )
            for name in names
        ]
        statuses = await wait_for(gather(*tasks), TIMEOUT_S)
        return statuses[0].leader

    async def wait_version(self, version: int, among: str = '') -> None:
        """Waits until replicas publish a version as accepted."""
        for name in among or self.members:
            await wait_for(
                self.members[name].board.accepted.wait_for(
                    lambda shown: (
                        shown is not None and shown.version >= version
                    ),
                ),
                TIMEOUT_S,
            )

    async def submit(self, name: str, change: Change):
        """Submits a change through a replica."""
        return await self.members[name].controller.submit(change, TIMEOUT_S)

    def _build_settings(self, name: str) -> Settings:
        own = next(peer for peer in self.peers if peer.instance == name)
        return Settings(
            fleet='fleet',
            instance=name,
            failure_domain=own.failure_domain,
            region='region',
            roles=frozenset((Role.REPLICA,)),
            listen=ListenSettings(own.address),
            secret=b'secret',
            replicas=self.peers,
            timing=self.timing,
            founding=self.founding,
        )
