"""Measures acceptance: latency, elections, restarts, bytes and memory.

All replicas run in this one process and so share a core. They use one disk
with real syncs, and streams on loopback. Writes
docs/measurements/acceptance.json.
"""

from asyncio import run, sleep
from contextlib import ExitStack
from json import dumps
from os import getloadavg
from pathlib import Path
from resource import RUSAGE_SELF, getrusage
from statistics import fmean, median
from tempfile import TemporaryDirectory
from time import perf_counter
from typing import Any

from bilberry_core.acceptance import Change
from bilberry_core.configuration import (
    Configuration,
    Service,
    encode_configuration,
)
from bilberry_core.disk import SystemDisk
from bilberry_core.handshake import Purpose
from bilberry_core.settings import TimingSettings

from bench.percentiles import compute_percentile
from tests.bilberry_replica.fleet import Fleet

FLEETS = ('abc', 'abcde')
SERVICES = {'4 services': 4, '970 services': 970}
CHANGES = 300
ELECTIONS = 5
RESTARTS = {'4 services': 14_000, '970 services': 1000}
IDLE_S = 2.0
MS_PER_S = 1000
RESULT = Path('docs/measurements/acceptance.json')


def build_change(version: int, services: int) -> Change:
    """Returns the change to a version; versions differ in one host."""
    named = [
        Service(f'service-{number:04}', (f's{number}.example',))
        for number in range(services)
    ]
    named[0] = Service(named[0].name, (f'v{version}.example',))
    configuration = Configuration(services=tuple(named))
    return Change(
        f'change-{version}',
        version - 1,
        'operator',
        'measured',
        encode_configuration(configuration),
    )


class DiskFleet:
    """A fleet of replicas with real disks in a temporary folder."""

    def __init__(self, names: str, stack: ExitStack) -> None:
        """Opens a disk for each name; `stack` removes the folder."""
        folder = stack.enter_context(TemporaryDirectory())
        self.names = names
        self.fleet = Fleet(names, TimingSettings())
        self.disks = {
            name: SystemDisk.open(f'{folder}/{name}', 'fleet') for name in names
        }

    async def start(self) -> str:
        """Starts every replica and returns the leader."""
        for name in self.names:
            await self.fleet.start(name, self.disks[name])
        return await self.fleet.find_leader()

    def count_bytes(self) -> int:
        """Returns the bytes that the replicas have sent to each other."""
        return sum(
            member.traffic.read()[Purpose.REPLICA].sent
            for member in self.fleet.members.values()
        )

    async def accept(self, first: int, count: int, services: int) -> list:
        """Submits changes one by one; returns the latencies in seconds."""
        leader = await self.fleet.find_leader()
        controller = self.fleet.members[leader].controller
        latencies_s = []
        for version in range(first, first + count):
            change = build_change(version, services)
            started = perf_counter()
            outcome = await controller.submit(change, 5.0)
            latencies_s.append(perf_counter() - started)
            outcome.unwrap()
        return latencies_s


async def measure_changes(names: str, services: int) -> dict[str, Any]:
    """Returns the rate, latencies and bytes of accepted changes."""
    with ExitStack() as stack:
        disk_fleet = DiskFleet(names, stack)
        await disk_fleet.start()
        await disk_fleet.accept(1, 20, services)
        before = disk_fleet.count_bytes()
        await sleep(IDLE_S)
        idle_per_s = (disk_fleet.count_bytes() - before) / IDLE_S
        before = disk_fleet.count_bytes()
        started = perf_counter()
        latencies_s = await disk_fleet.accept(21, CHANGES, services)
        elapsed_s = perf_counter() - started
        sent = disk_fleet.count_bytes() - before - idle_per_s * elapsed_s
        await disk_fleet.fleet.kill(names)
    return {
        'replicas': len(names),
        'services': services,
        'content_bytes': len(build_change(1, services).content),
        'accepted_per_s': round(1 / fmean(latencies_s), 1),
        'p50_ms': round(median(latencies_s) * MS_PER_S, 2),
        'p99_ms': round(compute_percentile(latencies_s, 99) * MS_PER_S, 2),
        'bytes_per_change': round(sent / CHANGES),
        'idle_bytes_per_s': round(idle_per_s),
        'load_average': round(getloadavg()[0], 2),
    }


async def measure_elections(names: str) -> dict[str, Any]:
    """Returns the time from killing a leader until all follow a new one."""
    durations_s = []
    with ExitStack() as stack:
        disk_fleet = DiskFleet(names, stack)
        for _ in range(ELECTIONS):
            leader = await disk_fleet.start()
            remaining = names.replace(leader, '')
            await disk_fleet.accept(1, 0, 4)
            started = perf_counter()
            await disk_fleet.fleet.kill(leader)
            await disk_fleet.fleet.find_leader(remaining)
            durations_s.append(perf_counter() - started)
            await disk_fleet.fleet.kill(remaining)
    return {
        'replicas': len(names),
        'elections': ELECTIONS,
        'median_s': round(float(median(durations_s)), 2),
        'longest_s': round(max(durations_s), 2),
    }


async def measure_restart(services: int, changes: int) -> dict[str, Any]:
    """Restarts a replica after many changes.

    Returns the duration of the restart, and the sizes of journal and process.
    """
    with ExitStack() as stack:
        disk_fleet = DiskFleet('a', stack)
        await disk_fleet.start()
        await disk_fleet.accept(1, changes, services)
        await disk_fleet.fleet.kill('a')
        journal = disk_fleet.disks['a'].read('replica.journal')
        started = perf_counter()
        await disk_fleet.start()
        await disk_fleet.fleet.wait_version(changes)
        restart_s = perf_counter() - started
        await disk_fleet.fleet.kill('a')
    return {
        'changes': changes,
        'services': services,
        'restart_s': round(restart_s, 2),
        'journal_bytes': len(journal),
        'process_peak_mb': round(getrusage(RUSAGE_SELF).ru_maxrss / 1024, 1),
    }


async def measure() -> dict[str, Any]:
    """Measures restarts, accepted changes and elections in turn."""
    result: dict[str, Any] = {'restarts': []}
    for kind, changes in RESTARTS.items():
        result['restarts'].append(
            await measure_restart(SERVICES[kind], changes),
        )
    result['changes'] = [
        await measure_changes(names, services)
        for names in FLEETS
        for services in SERVICES.values()
    ]
    result['elections'] = [await measure_elections(names) for names in FLEETS]
    return result


def main() -> None:
    """Runs every measurement, prints the figures and writes the file."""
    result = run(measure())
    for name, rows in result.items():
        print(name)
        for row in rows:
            print('  ', *(f'{key}={row[key]}' for key in row))
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(dumps(result, indent=2) + '\n')


if __name__ == '__main__':
    main()
