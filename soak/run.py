"""One run of the soak: overlapping faults and checks of the promises.

From the records of callers and upstreams, a run checks that a booking runs at
most once, that a request with the verdict `not_run` did not run, and that an
answered request ran and got the whole body of its own response, large or
small. Callers that use open connections until these end get every response
unless something crashes. It also checks that upstreams get no more than they
say that they accept, that no daemon's version decreases, and that after all
faults a change is accepted and in force everywhere.
"""

from asyncio import Task, create_task, gather, sleep, to_thread
from logging import getLogger
from pathlib import Path
from random import Random
from shutil import rmtree
from tempfile import mkdtemp
from time import monotonic
from typing import NamedTuple

from bilberry_core.endpoint import Address

from demo.caller import Caller, Tally
from demo.convergence import get_version
from demo.evaluation import evaluate
from demo.fleet import wait_until
from demo.open_caller import OpenCaller
from demo.record import read_runs
from soak.cuts import Span, find_cuts
from soak.environment import SoakEnvironment
from soak.faults import FAULTS, Fault
from soak.limits import Excuse, find_breaches
from soak.watch import VersionWatch
from standin.arrivals import read_arrivals

_log = getLogger(__name__)

#: Maximum time for the fleet to start, and to recover, in seconds.
RECOVERY_S = 60.0
#: Shortest and longest time between the starts of two faults, in seconds.
FAULT_INTERVAL_RANGE_S = (0.2, 1.2)
#: Shortest and longest duration of a fault, in seconds.
FAULT_DURATION_RANGE_S = (0.3, 3.0)
_WORKERS = 2
_OPEN_CALLERS = (('b-2', 'callouts'), ('c-2', 'stock'))
_CALLERS = (('a-1', 'stock'), ('b-2', 'callouts'), ('c-2', 'callouts'))


class Report(NamedTuple):
    """The promises that a run broke, and the faults that it injected.

    `folder` is kept if a promise was broken.
    """

    seed: int
    broken: tuple[str, ...]
    faults: tuple[str, ...]
    answered: int
    folder: str = ''


class Soak:
    """A run of the soak with one seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        """Prepares a fleet whose files are in `folder`."""
        self._seed = seed
        self._random = Random(seed)
        self._environment = SoakEnvironment(folder)
        self._injected: list[str] = []
        self._broken: list[str] = []
        self._excuses: list[Excuse] = []
        self._crashes: list[Span] = []
        self._tasks: set[Task[None]] = set()

    async def run(self, seconds: float) -> Report:
        """Injects faults for `seconds`, then checks recovery and promises."""
        await self._environment.start()
        watch: VersionWatch | None = None
        try:
            await self._verify_convergence('start')
            watch = VersionWatch(self._environment.fleet)
            answered = await self._inject_faults(seconds)
            await self._verify_convergence('recovery')
        finally:
            if watch is not None:
                await to_thread(watch.stop)
            await self._environment.close()
        self._broken += watch.reversals
        return Report(
            self._seed,
            tuple(self._broken),
            tuple(self._injected),
            answered,
        )

    async def _verify_convergence(self, stage: str) -> None:
        """Applies a change and waits until it is in force; records errors."""
        try:
            await to_thread(self._wait_for_leader)
            code = await self._environment.change()
            if code:
                self._broken.append(
                    f'{stage}: applying a change ended with exit code {code}'
                )
            await to_thread(self._wait_in_force)
        except TimeoutError as error:
            self._broken.append(f'{stage}: {error}')

    async def _inject_faults(self, seconds: float) -> int:
        callers = [self._build_caller(*entry) for entry in _CALLERS]
        open_callers = [
            self._build_open_caller(*entry) for entry in _OPEN_CALLERS
        ]
        for caller in (*callers, *open_callers):
            caller.start(_WORKERS)
        await self._spawn_faults(seconds)
        tallies = await gather(*(sender.stop() for sender in callers))
        await gather(*(sender.stop() for sender in open_callers))
        runs = read_runs(self._environment.fleet)
        self._broken += find_cuts(open_callers, runs, self._crashes)
        evaluation = evaluate(tallies, runs)
        self._broken += find_breaches(
            read_arrivals(self._environment.fleet.folder),
            self._excuses,
            _merge_sent_at(tallies),
        )
        for kind in ('twice', 'untrue', 'unrecorded', 'mixed'):
            names = sorted(getattr(evaluation, kind))
            self._broken += [f'{kind}: {name}' for name in names]
        if not evaluation.answered:
            self._broken.append('no request was answered')
        return len(evaluation.answered)

    async def _spawn_faults(self, seconds: float) -> None:
        """Starts faults and changes for `seconds`, and waits for their ends."""
        remaining_s = seconds
        while remaining_s > 0:
            interval_s = self._random.uniform(*FAULT_INTERVAL_RANGE_S)
            self._spawn(self._inject_fault())
            if not self._random.randrange(3):
                self._spawn(self._apply_change())
            await sleep(interval_s)
            remaining_s -= interval_s
        await gather(*self._tasks)

    async def _inject_fault(self) -> None:
        kind = self._random.choice(FAULTS)
        duration_s = self._random.uniform(*FAULT_DURATION_RANGE_S)
        fault = kind(self._environment, self._random)
        if not fault.target:
            return
        self._environment.faulted.add(fault.target)
        self._injected.append(f'{fault.name} {fault.target} {duration_s:.1f} s')
        begin = monotonic()
        try:
            await _apply_fault(fault, duration_s)
        finally:
            self._record_fault(fault, begin)
            self._environment.faulted.discard(fault.target)

    def _record_fault(self, fault: Fault, begin: float) -> None:
        """Records what a fault, which has just ended, may have harmed."""
        end = monotonic()
        if fault.harms_daemon:
            self._excuses.append(Excuse(fault.target, begin, end))
        if fault.cuts_responses:
            self._crashes.append(Span(begin, end))

    async def _apply_change(self) -> None:
        code = await self._environment.change()
        _log.info('change_offered', extra={'code': code})

    def _build_caller(self, instance: str, service: str) -> Caller:
        address = self._get_callers_address(instance)
        return Caller(instance, address, f'{service}.example', reads_large=True)

    def _build_open_caller(self, instance: str, service: str) -> OpenCaller:
        address = self._get_callers_address(instance)
        return OpenCaller(instance, address, f'{service}.example')

    def _get_callers_address(self, instance: str) -> Address:
        ports = self._environment.fleet.members[instance].ports
        return Address('127.0.0.1', ports.callers)

    def _spawn(self, coroutine) -> None:
        task = create_task(coroutine)
        self._tasks.add(task)

    def _wait_for_leader(self) -> None:
        wait_until(self._has_leader, RECOVERY_S, 'a leader')

    def _wait_in_force(self) -> None:
        wait_until(self._is_in_force, RECOVERY_S, 'one version everywhere')

    def _has_leader(self) -> bool:
        fleet = self._environment.fleet
        states = map(fleet.read_status, self._environment.links)
        roles = [
            ((state or {}).get('replica') or {}).get('role') for state in states
        ]
        return 'leader' in roles

    def _is_in_force(self) -> bool:
        fleet = self._environment.fleet
        states = [fleet.read_status(name) for name in fleet.members]
        versions = {get_version(state) for state in states if state}
        return len(versions) == 1 and None not in states and versions != {0}


def _merge_sent_at(tallies: list[Tally]) -> dict[str, float]:
    merged = {}
    for tally in tallies:
        merged.update(tally.sent_at)
    return merged


async def _apply_fault(fault: Fault, duration_s: float) -> None:
    await fault.inject()
    await sleep(duration_s)
    await fault.revert()


async def run_seed(seed: int, seconds: float) -> Report:
    """Runs one seed; keeps its folder if a promise was broken."""
    folder = Path(mkdtemp(prefix=f'bilberry-soak-{seed}-'))
    report = await Soak(seed, folder).run(seconds)
    if report.broken:
        return report._replace(folder=str(folder))
    rmtree(folder, ignore_errors=True)
    return report
