"""The faults of the soak: a family behind one base, and their registry."""

from asyncio import sleep, to_thread
from random import Random
from signal import SIGCONT, SIGSTOP
from typing import ClassVar

from soak.environment import REPLICAS, SoakEnvironment
from soak.link import LinkState

#: Time in which a replica with an empty disk is taken in again, in seconds.
CATCH_UP_S = 6.0
_LINK_FAULTS = (
    LinkState.SLOW,
    LinkState.RESET,
    LinkState.ONE_WAY,
    LinkState.SILENT,
)


class Fault:
    """Something that is done to the fleet, and mended after a while."""

    name: ClassVar[str] = ''

    def __init__(self, environment: SoakEnvironment, random: Random) -> None:
        """Draws what it strikes; `target` is empty where it can't now."""
        self.environment = environment
        self.target = self.pick(random)

    def pick(self, random: Random) -> str:
        """Returns an instance that may be faulted now, or nothing."""
        environment = self.environment
        free = [
            name
            for name in environment.fleet.members
            if name not in environment.faulted
            and (environment.can_lose_replica or name not in REPLICAS)
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
        await to_thread(self.environment.fleet.kill_daemon, self.target)

    async def end(self) -> None:
        """Starts it."""
        await to_thread(self.environment.fleet.start_daemon, self.target)


class StopDaemon(KillDaemon):
    """A daemon is stopped gracefully and started again."""

    name = 'stop_daemon'

    async def begin(self) -> None:
        """Sends SIGTERM and waits for the end."""
        await to_thread(self.environment.fleet.stop_daemon, self.target)


class LoseDisk(KillDaemon):
    """A replica is killed and comes back with an empty disk."""

    name = 'lose_disk'

    def pick(self, random: Random) -> str:
        """Returns a replica, while all others are well."""
        if not self.environment.can_lose_replica:
            return ''
        return random.choice(REPLICAS)

    async def begin(self) -> None:
        """Kills it and removes its data folder."""
        await super().begin()
        await to_thread(self.environment.lose_disk, self.target)

    async def end(self) -> None:
        """Starts it; it counts as lost until it has had time to catch up."""
        await super().end()
        await sleep(CATCH_UP_S)


class FreezeDaemon(Fault):
    """A daemon stands still and goes on."""

    name = 'freeze_daemon'

    async def begin(self) -> None:
        """Stops its process."""
        self.environment.fleet.signal_daemon(self.target, SIGSTOP)

    async def end(self) -> None:
        """Lets it go on."""
        self.environment.fleet.signal_daemon(self.target, SIGCONT)


class KillUpstream(Fault):
    """An upstream is killed and started again."""

    name = 'kill_upstream'

    def pick(self, random: Random) -> str:
        """Returns an instance whose processes are well."""
        members = self.environment.fleet.members
        free = [
            name for name in members if name not in self.environment.faulted
        ]
        return random.choice(free) if free else ''

    async def begin(self) -> None:
        """Kills it."""
        await to_thread(self.environment.fleet.kill_upstream, self.target)

    async def end(self) -> None:
        """Starts it."""
        await to_thread(self.environment.fleet.start_upstream, self.target)


class HarmLink(Fault):
    """The link to a replica is slow, reset, cut one way or silent."""

    name = 'harm_link'

    def __init__(self, environment: SoakEnvironment, random: Random) -> None:
        """Draws the replica and the harm."""
        super().__init__(environment, random)
        self._link_state = random.choice(_LINK_FAULTS)

    def pick(self, random: Random) -> str:
        """Returns a replica, while all others are well."""
        if not self.environment.can_lose_replica:
            return ''
        return random.choice(REPLICAS)

    async def begin(self) -> None:
        """Harms the link."""
        self.environment.links[self.target].change(self._link_state)

    async def end(self) -> None:
        """Mends it."""
        self.environment.links[self.target].change(LinkState.OPEN)


#: Every fault that the soak draws from.
FAULTS: tuple[type[Fault], ...] = (
    KillDaemon,
    StopDaemon,
    LoseDisk,
    FreezeDaemon,
    KillUpstream,
    HarmLink,
)
