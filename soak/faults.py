"""The faults that the soak injects."""

from asyncio import sleep, to_thread
from json import dumps
from logging import getLogger
from random import Random
from signal import SIGCONT, SIGSTOP
from typing import ClassVar

from bilberry_core.endpoint import Address
from bilberry_core.error import BilberryError
from bilberry_core.http import HttpRequest, fetch

from soak.environment import REPLICAS, SoakEnvironment
from soak.limits import LEAVING, RATE_LIMIT
from soak.link import LinkState

_log = getLogger(__name__)

#: Time for a replica with an empty disk to catch up, in seconds.
CATCH_UP_S = 6.0
#: Time for which an upstream names one limit, in seconds.
LIMIT_S = 4.0
#: Time for which an upstream says that it is leaving, in seconds.
LEAVING_S = 4.0
#: Timeout for telling an upstream what to say, in seconds.
SAY_TIMEOUT_S = 2.0
#: Limits that an upstream names, in requests a second.
_LIMITS = ('0', '0.5', '2', '7.5', '14.1', '30')
_LIMIT_CHANGES = 2
#: Bytes that fit behind the end of a journal on a disk that is full.
_ROOMS = (0, 5, 100)
_JOURNAL = 'replica.journal'
_LINK_FAULTS = (
    LinkState.SLOW,
    LinkState.RESET,
    LinkState.ONE_WAY,
    LinkState.SILENT,
)


class Fault:
    """A fault that is injected into the fleet and reverted later."""

    name: ClassVar[str] = ''
    #: Whether the daemon of the target is stopped, frozen or cut off.
    harms_daemon: ClassVar[bool] = True
    #: Whether responses on their way may be cut, at any daemon.
    cuts_responses: ClassVar[bool] = True

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
    cuts_responses = False

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
    harms_daemon = False

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
    cuts_responses = False

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


class FillDisk(HarmLink):
    """A replica whose disk has no room, or only for a part of a record."""

    name = 'fill_disk'
    harms_daemon = False

    def __init__(self, environment: SoakEnvironment, random: Random) -> None:
        """Picks the replica and the room that is left, in bytes."""
        super().__init__(environment, random)
        self._room = random.choice(_ROOMS)

    async def inject(self) -> None:
        """Makes the replica's writes fail beyond the end of its log."""
        self.environment.fleet.limit_files(self.target, self._find_size())

    async def revert(self) -> None:
        """Lets the replica write again."""
        self.environment.fleet.limit_files(self.target, None)

    def _find_size(self) -> int:
        journal = self.environment.data_folder(self.target) / _JOURNAL
        return journal.stat().st_size + self._room


class LimitUpstreams(Fault):
    """Upstreams that name rate limits, change them once and withdraw them.

    All upstreams of a service do so at once, or one of them. Other faults of
    the same instances may overlap.
    """

    name = 'limit_upstreams'
    harms_daemon = False
    cuts_responses = False

    def __init__(self, environment: SoakEnvironment, random: Random) -> None:
        """Picks the upstreams and two limits for each of them."""
        super().__init__(environment, random)
        self._limits = {
            instance: [random.choice(_LIMITS) for _ in range(_LIMIT_CHANGES)]
            for instance in self._pick_instances(random)
        }

    def pick_target(self, random: Random) -> str:
        """Returns a service, or an empty string if one is limited now."""
        services = sorted(
            {
                member.plan.service
                for member in self.environment.fleet.members.values()
            },
        )
        service = random.choice(services)
        return '' if service in self.environment.faulted else service

    async def inject(self) -> None:
        """Names the first limits, and later the second ones."""
        for change in range(_LIMIT_CHANGES):
            for instance, limits in self._limits.items():
                await say(
                    self.environment, instance, {RATE_LIMIT: limits[change]}
                )
            await sleep(LIMIT_S)

    async def revert(self) -> None:
        """Withdraws the limits."""
        for instance in self._limits:
            await say(self.environment, instance, {})

    def _pick_instances(self, random: Random) -> list[str]:
        beside = [
            name
            for name, member in self.environment.fleet.members.items()
            if member.plan.service == self.target
        ]
        if not beside or random.randrange(2):
            return beside
        return [random.choice(beside)]


class LeaveUpstream(KillUpstream):
    """An upstream that says that it leaves, and is restarted afterwards."""

    name = 'leave_upstream'

    async def inject(self) -> None:
        """Says so in every further response, and nowhere else."""
        await say(self.environment, self.target, {LEAVING: '1'})
        await sleep(LEAVING_S)

    async def revert(self) -> None:
        """Ends the process and starts it again."""
        await to_thread(self.environment.fleet.kill_upstream, self.target)
        await to_thread(self.environment.fleet.start_upstream, self.target)


async def say(
    environment: SoakEnvironment,
    instance: str,
    headers: dict[str, str],
) -> None:
    """Lets an upstream say something in the headers of its responses."""
    ports = environment.fleet.members[instance].ports
    address = Address('127.0.0.1', ports.served)
    request = HttpRequest('POST', '/say', (), dumps(headers).encode())
    try:
        await fetch(address, request, SAY_TIMEOUT_S)
    except (BilberryError, OSError, TimeoutError):
        # Another fault has ended the upstream; its next start says nothing.
        _log.info('upstream_unreachable', extra={'upstream': instance})


#: The faults from which the soak picks.
FAULTS: tuple[type[Fault], ...] = (
    KillDaemon,
    StopDaemon,
    LoseDisk,
    FreezeDaemon,
    KillUpstream,
    HarmLink,
    LimitUpstreams,
    LeaveUpstream,
    FillDisk,
)
