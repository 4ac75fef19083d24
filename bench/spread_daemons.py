"""Measures distribution with real daemons, three of them replicas and relays.

Changes are made with `bilberryctl`. The times at which a version was accepted
and at which each daemon ran it come from the daemons' logs.
"""

from json import dumps, loads
from os import environ, sysconf
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep

from yaml import safe_dump

from bench.spread import DOMAINS, FLEETS, OUTPUT, summarize
from demo.fleet import Fleet, Plan, prepare_fleet, wait_until
from demo.operator import Operator

DAEMONS_OUTPUT = OUTPUT.with_name('spread_daemons.json')
CHANGES = int(environ.get('DAEMON_CHANGES', '10'))
REPLICAS = 3
SERVICES = 100
#: Length of the idle measurement, in seconds.
IDLE_S = 15
#: Longest wait for a daemon or a change, in seconds.
MAX_WAIT_S = 90
TICKS_PER_S = sysconf('SC_CLK_TCK')
PAGE_BYTES = sysconf('SC_PAGE_SIZE')


def plan_fleet(size: int) -> list[Plan]:
    """Returns plans of `size` daemons; the first ones are replicas."""
    roles = ('proxy', 'relay', 'replica')
    return [
        Plan(
            f'node-{number}',
            DOMAINS[number % len(DOMAINS)],
            roles if number < REPLICAS else roles[:1],
            f'service-{number % SERVICES:04}',
        )
        for number in range(size)
    ]


def write_configuration(file: Path, version: int) -> None:
    """Writes the configuration file of a version."""
    document = {
        'defaults': {'timeout': f'{1000 + version}ms'},
        'services': {
            f'service-{number:04}': {'hosts': [f'{number:04}.example']}
            for number in range(SERVICES)
        },
        'exceptions': {
            f'exception-{number:04}': {
                'service': f'service-{number:04}',
                'set': {'timeout': '7s'},
                'reason': 'slow disks in the old building',
            }
            for number in range(0, SERVICES, 5)
        },
    }
    file.write_text(safe_dump(document))


def read_usage(pid: int) -> dict:
    """Returns processor time in seconds and resident memory in bytes."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return {
        'cpu_s': (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        'rss': int(fields[21]) * PAGE_BYTES,
    }


def read_fleet_usage(fleet: Fleet) -> dict[str, dict]:
    """Returns bytes, processor time and memory used by each daemon."""
    usage = {}
    for instance in fleet.running_daemons():
        spread = fleet.read_status(instance)['traffic']['spread']
        used = read_usage(fleet.get_pid(instance))
        usage[instance] = {**spread, **used}
    return usage


def compute_mean_usage(before: dict, after: dict, seconds: float) -> dict:
    """Returns the mean usage of a replica and of a proxy.

    `rss_mb` is the maximum over the daemons.
    """
    used = {}
    for role in ('replica', 'proxy'):
        names = [
            name
            for name in before
            if (int(name.split('-')[1]) < REPLICAS) == (role == 'replica')
        ]
        sums = {
            field: sum(
                after[name][field] - before[name][field] for name in names
            )
            / len(names)
            for field in ('sent', 'received', 'cpu_s')
        }
        used[role] = {
            'sent_bytes': round(sums['sent'], 1),
            'received_bytes': round(sums['received'], 1),
            'sent_bytes_per_s': round(sums['sent'] / seconds, 1),
            'received_bytes_per_s': round(sums['received'] / seconds, 1),
            'core_percent': round(100 * sums['cpu_s'] / seconds, 3),
            'rss_mb': round(
                max(after[name]['rss'] for name in names) / 1e6,
                1,
            ),
        }
    return used


def read_logs(fleet: Fleet) -> tuple[dict[int, float], dict[int, list[float]]]:
    """Returns when each version was accepted, and when daemons ran it.

    The times are in seconds since midnight.
    """
    accepted: dict[int, float] = {}
    running: dict[int, list[float]] = {}
    for instance in fleet.members:
        log = fleet.folder / f'{instance}.json'
        for line in log.read_text().splitlines():
            record = loads(line)
            if record['event'] == 'version_accepted':
                at = read_time(record['time'])
                version = record['version']
                accepted[version] = min(at, accepted.get(version, at))
            elif record['event'] == 'version_running':
                times = running.setdefault(record['version'], [])
                times.append(read_time(record['time']))
    return accepted, running


def read_time(text: str) -> float:
    """Returns the time of a log line, in seconds since midnight."""
    clock = text.split()[1].replace(',', '.')
    hours, minutes, seconds = clock.split(':')
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def is_in_force(fleet: Fleet, version: int) -> bool:
    """Returns whether all daemons run a version, as a replica reports."""
    status = fleet.read_status('node-0')
    if status is None:
        return False
    versions = [proxy['version'] for proxy in status['proxies']]
    return len(versions) == len(fleet.members) and min(versions) >= version


def change(fleet: Fleet, operator: Operator, version: int) -> None:
    """Applies a version and waits until all daemons run it."""
    file = fleet.folder / 'change.yaml'
    write_configuration(file, version)
    operator.apply(file, f'change {version}')
    wait_until(
        lambda: is_in_force(fleet, version),
        MAX_WAIT_S,
        f'version {version} runs everywhere',
    )


def measure_fleet(size: int) -> dict:
    """Measures one fleet without faults."""
    with TemporaryDirectory() as folder:
        fleet = prepare_fleet(Path(folder), plan_fleet(size))
        operator = Operator(fleet)
        try:
            return measure_running(fleet, operator)
        finally:
            fleet.close()


def measure_running(fleet: Fleet, operator: Operator) -> dict:
    """Starts the daemons and measures them idle and during changes."""
    for instance in fleet.members:
        fleet.start_daemon(instance)
    for instance in fleet.members:
        wait_until(
            lambda name=instance: fleet.read_status(name) is not None,
            MAX_WAIT_S,
            instance,
        )
    change(fleet, operator, 1)
    sleep(2)
    start = monotonic()
    before = read_fleet_usage(fleet)
    sleep(IDLE_S)
    after = read_fleet_usage(fleet)
    idle = compute_mean_usage(before, after, monotonic() - start)
    start = monotonic()
    before = read_fleet_usage(fleet)
    for version in range(2, CHANGES + 2):
        change(fleet, operator, version)
    after = read_fleet_usage(fleet)
    changing = compute_mean_usage(before, after, monotonic() - start)
    accepted, running = read_logs(fleet)
    measured_versions = range(2, CHANGES + 2)
    delays = [
        at - accepted[version]
        for version in measured_versions
        for at in running[version]
    ]
    everywhere = [
        max(running[one]) - accepted[one] for one in measured_versions
    ]
    return {
        'daemons': len(fleet.members),
        'changes': CHANGES,
        'idle': idle,
        'changing': changing,
        'configuration': summarize(delays),
        'everywhere': summarize(everywhere),
    }


def main() -> None:
    """Measures every size, prints the figures and writes the file."""
    rows = []
    for size in FLEETS:
        rows.append(measure_fleet(size))
        print(dumps(rows[-1], indent=1))
    DAEMONS_OUTPUT.write_text(
        dumps(
            {
                'command': 'make bench-spread',
                'daemon': 'bilberryd, 3 replicas that are relays and proxies',
                'services': SERVICES,
                'fleets': rows,
            },
            indent=1,
        )
        + '\n',
    )


if __name__ == '__main__':
    main()
