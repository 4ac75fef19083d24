"""One run of the soak: faults in series that overlap, and what they broke.

Checked are, from what callers and upstreams see: a booking runs at most once;
what was told not to have run did not; what was answered ran; no daemon's
version goes back; and once all faults are mended, changes are accepted and in
force everywhere.
"""

from asyncio import Task, create_task, gather, sleep, to_thread
from logging import getLogger
from pathlib import Path
from random import Random
from shutil import rmtree
from tempfile import mkdtemp
from typing import NamedTuple

from bilberry_core.endpoint import Address

from demo.caller import Caller
from demo.convergence import get_version
from demo.fleet import wait_until
from demo.judgement import judge
from demo.record import read_runs
from soak.faults import FAULTS, Fault
from soak.watch import VersionWatch
from soak.world import World

_log = getLogger(__name__)

#: Longest time for the fleet to start, and to recover, in seconds.
RECOVERY_S = 60.0
#: Time between the beginnings of two faults, in seconds.
GAPS_S = (0.2, 1.2)
#: How long a fault lasts, in seconds.
LENGTHS_S = (0.3, 3.0)
_WORKERS = 2
_CALLERS = (('a-1', 'stock'), ('b-2', 'callouts'), ('c-2', 'callouts'))


class Report(NamedTuple):
    """What a run broke, and what was done to the fleet."""

    seed: int
    broken: tuple[str, ...]
    faults: tuple[str, ...]
    answered: int


class Soak:
    """One seeded run."""

    def __init__(self, seed: int, folder: Path) -> None:
        """Prepares a fleet in a folder."""
        self._seed = seed
        self._random = Random(seed)
        self._world = World(folder)
        self._done: list[str] = []
        self._broken: list[str] = []
        self._tasks: set[Task[None]] = set()

    async def run(self, seconds: float) -> Report:
        """Harms the fleet for so long, mends it, and judges."""
        await self._world.start()
        watch: VersionWatch | None = None
        try:
            await self._settle('start')
            watch = VersionWatch(self._world.fleet)
            answered = await self._harm(seconds)
            await self._settle('recovery')
        finally:
            if watch is not None:
                await to_thread(watch.stop)
            await self._world.close()
        self._broken += watch.reversals
        return Report(
            self._seed,
            tuple(self._broken),
            tuple(self._done),
            answered,
        )

    async def _settle(self, what: str) -> None:
        """Has a change accepted, and waits until it is in force."""
        try:
            await to_thread(self._wait_for_leader)
            code = await self._world.change()
            if code:
                self._broken.append(f'{what}: a change ended with {code}')
            await to_thread(self._wait_in_force)
        except TimeoutError as error:
            self._broken.append(f'{what}: {error}')

    async def _harm(self, seconds: float) -> int:
        callers = [self._build_caller(*entry) for entry in _CALLERS]
        for caller in callers:
            caller.start(_WORKERS)
        left_s = seconds
        while left_s > 0:
            gap_s = self._random.uniform(*GAPS_S)
            self._spawn(self._strike())
            if not self._random.randrange(3):
                self._spawn(self._change())
            await sleep(gap_s)
            left_s -= gap_s
        await gather(*self._tasks)
        tallies = await gather(*(each.stop() for each in callers))
        judgement = judge(tallies, read_runs(self._world.fleet))
        for kind in ('twice', 'untrue', 'unrecorded'):
            names = sorted(getattr(judgement, kind))
            self._broken += [f'{kind}: {name}' for name in names]
        if not judgement.answered:
            self._broken.append('no request was answered')
        return len(judgement.answered)

    async def _strike(self) -> None:
        kind = self._random.choice(FAULTS)
        length_s = self._random.uniform(*LENGTHS_S)
        fault = kind(self._world, self._random)
        if not fault.target:
            return
        self._world.harmed.add(fault.target)
        self._done.append(f'{fault.name} {fault.target} {length_s:.1f} s')
        try:
            await _carry_out(fault, length_s)
        finally:
            self._world.harmed.discard(fault.target)

    async def _change(self) -> None:
        code = await self._world.change()
        _log.info('change_offered', extra={'code': code})

    def _build_caller(self, instance: str, service: str) -> Caller:
        ports = self._world.fleet.members[instance].ports
        address = Address('127.0.0.1', ports.callers)
        return Caller(instance, address, f'{service}.example')

    def _spawn(self, work) -> None:
        task = create_task(work)
        self._tasks.add(task)

    def _wait_for_leader(self) -> None:
        wait_until(self._has_leader, RECOVERY_S, 'a leader')

    def _wait_in_force(self) -> None:
        wait_until(self._is_in_force, RECOVERY_S, 'one version everywhere')

    def _has_leader(self) -> bool:
        fleet = self._world.fleet
        states = map(fleet.read_status, self._world.links)
        roles = [
            ((state or {}).get('replica') or {}).get('role') for state in states
        ]
        return 'leader' in roles

    def _is_in_force(self) -> bool:
        fleet = self._world.fleet
        states = [fleet.read_status(name) for name in fleet.members]
        versions = {get_version(state) for state in states if state}
        return len(versions) == 1 and None not in states and versions != {0}


async def _carry_out(fault: Fault, length_s: float) -> None:
    await fault.begin()
    await sleep(length_s)
    await fault.end()


async def run_seed(seed: int, seconds: float) -> Report:
    """Runs one seed; keeps its folder where it broke something."""
    folder = Path(mkdtemp(prefix=f'bilberry-soak-{seed}-'))
    report = await Soak(seed, folder).run(seconds)
    if not report.broken:
        rmtree(folder, ignore_errors=True)
    return report
