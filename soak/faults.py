"""The faults of the soak: a family behind one base, and their registry."""

from asyncio import sleep, to_thread
from random import Random
from signal import SIGCONT, SIGSTOP
from typing import ClassVar

from soak.link import LinkState
from soak.world import REPLICAS, World

#: Time in which a replica with an empty disk is taken in again, in seconds.
CATCH_UP_S = 6.0
_HARMS = (
    LinkState.SLOW,
    LinkState.RESET,
    LinkState.ONE_WAY,
    LinkState.SILENT,
)


class Fault:
    """Something that is done to the fleet, and mended after a while."""

    name: ClassVar[str] = ''

    def __init__(self, world: World, random: Random) -> None:
        """Draws what it strikes; `target` is empty where it can't now."""
        self.world = world
        self.target = self.pick(random)

    def pick(self, random: Random) -> str:
        """Returns an instance that may be harmed now, or nothing."""
        world = self.world
        free = [
            name
            for name in world.fleet.members
            if name not in world.harmed
            and (world.can_lose_replica or name not in REPLICAS)
        ]
        return random.choice(free) if free else ''

    async def begin(self) -> None:
        """Does the harm."""

    async def end(self) -> None:
        """Mends it."""


class KillDaemon(Fault):
    """A daemon is killed and started again."""

    name = 'kill_daemon'

    async def begin(self) -> None:
        """Kills it."""
        await to_thread(self.world.fleet.kill_daemon, self.target)

    async def end(self) -> None:
        """Starts it."""
        await to_thread(self.world.fleet.start_daemon, self.target)


class StopDaemon(KillDaemon):
    """A daemon is stopped gracefully and started again."""

    name = 'stop_daemon'

    async def begin(self) -> None:
        """Sends SIGTERM and waits for the end."""
        await to_thread(self.world.fleet.stop_daemon, self.target)


class LoseDisk(KillDaemon):
    """A replica is killed and comes back with an empty disk."""

    name = 'lose_disk'

    def pick(self, random: Random) -> str:
        """Returns a replica, while all others are well."""
        if not self.world.can_lose_replica:
            return ''
        return random.choice(REPLICAS)

    async def begin(self) -> None:
        """Kills it and removes its data folder."""
        await super().begin()
        await to_thread(self.world.lose_disk, self.target)

    async def end(self) -> None:
        """Starts it; it counts as lost until it has had time to catch up."""
        await super().end()
        await sleep(CATCH_UP_S)


class FreezeDaemon(Fault):
    """A daemon stands still and goes on."""

    name = 'freeze_daemon'

    async def begin(self) -> None:
        """Stops its process."""
        self.world.fleet.signal_daemon(self.target, SIGSTOP)

    async def end(self) -> None:
        """Lets it go on."""
        self.world.fleet.signal_daemon(self.target, SIGCONT)


class KillUpstream(Fault):
    """An upstream is killed and started again."""

    name = 'kill_upstream'

    def pick(self, random: Random) -> str:
        """Returns an instance whose processes are well."""
        members = self.world.fleet.members
        free = [name for name in members if name not in self.world.harmed]
        return random.choice(free) if free else ''

    async def begin(self) -> None:
        """Kills it."""
        await to_thread(self.world.fleet.kill_upstream, self.target)

    async def end(self) -> None:
        """Starts it."""
        await to_thread(self.world.fleet.start_upstream, self.target)


class HarmLink(Fault):
    """The link to a replica is slow, reset, cut one way or silent."""

    name = 'harm_link'

    def __init__(self, world: World, random: Random) -> None:
        """Draws the replica and the harm."""
        super().__init__(world, random)
        self._harm = random.choice(_HARMS)

    def pick(self, random: Random) -> str:
        """Returns a replica, while all others are well."""
        if not self.world.can_lose_replica:
            return ''
        return random.choice(REPLICAS)

    async def begin(self) -> None:
        """Harms the link."""
        self.world.links[self.target].change(self._harm)

    async def end(self) -> None:
        """Mends it."""
        self.world.links[self.target].change(LinkState.OPEN)


#: Every fault that the soak draws from.
FAULTS: tuple[type[Fault], ...] = (
    KillDaemon,
    StopDaemon,
    LoseDisk,
    FreezeDaemon,
    KillUpstream,
    HarmLink,
)
