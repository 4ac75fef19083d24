"""The faults that the soak injects."""

from asyncio import sleep, to_thread
from random import Random
from signal import SIGCONT, SIGSTOP
from typing import ClassVar

from soak.environment import REPLICAS, SoakEnvironment
from soak.link import LinkState

#: Time for a replica with an empty disk to catch up, in seconds.
CATCH_UP_S = 6.0
_LINK_FAULTS = (
    LinkState.SLOW,
    LinkState.RESET,
    LinkState.ONE_WAY,
    LinkState.SILENT,
)


class Fault:
    """A fault that is injected into the fleet and reverted later."""

    name: ClassVar[str] = ''

    def __init__(self, environment: SoakEnvironment, random: Random) -> None:
        """Picks the target; it is empty if no instance may be faulted now."""
        self.environment = environment
        self.target = self.pick_target(random)

    def pick_target(self, random: Random) -> str:
        """Returns an instance that may be faulted now, or an empty string."""
        environment = self.environment
        free = [
            name
            for name in environment.fleet.members
            if name not in environment.faulted
            and (environment.can_lose_replica or name not in REPLICAS)
        ]
        return random.choice(free) if free else ''

    async def inject(self) -> None:
        """Injects the fault."""

    async def revert(self) -> None:
        """Reverts the fault."""


class KillDaemon(Fault):
    """The crash of a daemon, which is restarted afterwards."""

    name = 'kill_daemon'

    async def inject(self) -> None:
        """Kills the process."""
        await to_thread(self.environment.fleet.kill_daemon, self.target)

    async def revert(self) -> None:
        """Restarts the process."""
        await to_thread(self.environment.fleet.start_daemon, self.target)


class StopDaemon(KillDaemon):
    """A graceful stop of a daemon, which is restarted afterwards."""

    name = 'stop_daemon'

    async def inject(self) -> None:
        """Sends SIGTERM and waits until the daemon has exited."""
        await to_thread(self.environment.fleet.stop_daemon, self.target)


class LoseDisk(KillDaemon):
    """The crash of a replica, which is restarted with an empty disk."""

    name = 'lose_disk'

    def pick_target(self, random: Random) -> str:
        """Returns a replica, or an empty string if one is under a fault."""
        if not self.environment.can_lose_replica:
            return ''
        return random.choice(REPLICAS)

    async def inject(self) -> None:
        """Kills the replica and removes its data folder."""
        await super().inject()
        await to_thread(self.environment.lose_disk, self.target)

    async def revert(self) -> None:
        """Restarts the replica and waits for `CATCH_UP_S`.

        Until then, no other replica may be faulted.
        """
        await super().revert()
        await sleep(CATCH_UP_S)


class FreezeDaemon(Fault):
    """A freeze of a daemon, which is resumed afterwards."""

    name = 'freeze_daemon'

    async def inject(self) -> None:
        """Sends SIGSTOP."""
        self.environment.fleet.signal_daemon(self.target, SIGSTOP)

    async def revert(self) -> None:
        """Sends SIGCONT."""
        self.environment.fleet.signal_daemon(self.target, SIGCONT)


class KillUpstream(Fault):
    """The crash of an upstream, which is restarted afterwards."""

    name = 'kill_upstream'

    def pick_target(self, random: Random) -> str:
        """Returns an instance without a fault, or an empty string."""
        members = self.environment.fleet.members
        free = [
            name for name in members if name not in self.environment.faulted
        ]
        return random.choice(free) if free else ''

    async def inject(self) -> None:
        """Kills the process."""
        await to_thread(self.environment.fleet.kill_upstream, self.target)

    async def revert(self) -> None:
        """Restarts the process."""
        await to_thread(self.environment.fleet.start_upstream, self.target)


class HarmLink(Fault):
    """A faulty link to a replica: it delays bytes, drops them or is reset.

    Bytes are dropped in one direction or in both.
    """

    name = 'harm_link'

    def __init__(self, environment: SoakEnvironment, random: Random) -> None:
        """Picks the replica and the state of its link."""
        super().__init__(environment, random)
        self._link_state = random.choice(_LINK_FAULTS)

    def pick_target(self, random: Random) -> str:
        """Returns a replica, or an empty string if one is under a fault."""
        if not self.environment.can_lose_replica:
            return ''
        return random.choice(REPLICAS)

    async def inject(self) -> None:
        """Sets the link to the picked state."""
        self.environment.links[self.target].change(self._link_state)

    async def revert(self) -> None:
        """Sets the link to forward bytes again."""
        self.environment.links[self.target].change(LinkState.OPEN)


#: The faults from which the soak picks.
FAULTS: tuple[type[Fault], ...] = (
    KillDaemon,
    StopDaemon,
    LoseDisk,
    FreezeDaemon,
    KillUpstream,
    HarmLink,
)
