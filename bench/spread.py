"""Measures the distribution of configuration and endpoints in a fleet.

Each daemon is a process of its own on loopback. Runs fleets of several sizes,
each with relays, without relays and with the naive baseline, prints a table
and writes docs/measurements/spread.json.
"""

from asyncio import create_subprocess_exec, create_task, gather, run, sleep
from asyncio.subprocess import PIPE
from enum import StrEnum
from json import dumps, loads
from os import cpu_count, environ
from pathlib import Path
from platform import python_version
from sys import executable
from time import monotonic, time

from bench.percentiles import compute_percentile
from bench.spread_naive import POLL_S

OUTPUT = Path('docs/measurements/spread.json')
DOMAINS = ('a', 'b', 'c')
RELAYS = 6
FLEETS = tuple(
    int(size) for size in environ.get('FLEETS', '10,50,150').split(',')
)
CHANGES = int(environ.get('CHANGES', '20'))
SERVICES = 100
#: Length of the idle measurement, in seconds.
IDLE_S = 15
#: Services of an extra fleet of the first size; 0 omits this fleet.
WIDE_SERVICES = int(environ.get('WIDE_SERVICES', '970'))
#: Pause between two changes, in seconds.
CHANGE_INTERVAL_S = 0.4
#: Longest wait for an event, in seconds.
MAX_WAIT_S = 60


class Kind(StrEnum):
    """How a fleet distributes its state."""

    #: Relays between the source and the proxies.
    TREE = 'tree'
    #: The same messages, but every proxy attaches to the source.
    STAR = 'star'
    #: Every proxy polls the source for the whole state.
    NAIVE = 'naive'


class Process:
    """A daemon of the fleet, as a process of its own."""

    def __init__(self, options: dict) -> None:
        """Stores the options of `bench.spread_node`; starts nothing yet."""
        self.options = options
        self.name = options['name']
        self.port = options.get('port', 0)
        self.events: list[dict] = []
        self.process = None
        self.reader = None

    @property
    def peer(self) -> tuple:
        """The name, port and failure domain that other daemons need."""
        return self.name, self.port, self.options['domain']

    async def launch(self) -> None:
        """Starts the process and waits until it listens."""
        options = {**self.options, 'port': self.port}
        options['incarnation'] = int(time() * 1000)
        self.process = await create_subprocess_exec(
            executable,
            '-m',
            'bench.spread_node',
            dumps(options),
            stdin=PIPE,
            stdout=PIPE,
        )
        self.events = []
        self.reader = create_task(self._read())
        listening = await self.wait('listening')
        self.port = listening['port']

    def send_command(self, do: str, **arguments) -> None:
        """Sends a command to the process."""
        line = dumps({'do': do, **arguments}) + '\n'
        self.process.stdin.write(line.encode())

    def find_events(self, event: str, **fields) -> list[dict]:
        """Returns the received events with this name and these fields."""
        return [
            reported
            for reported in self.events
            if reported['event'] == event and fields.items() <= reported.items()
        ]

    async def wait(self, event: str, **fields) -> dict:
        """Waits for an event; raises `TimeoutError` after `MAX_WAIT_S`."""
        end = monotonic() + MAX_WAIT_S
        while monotonic() < end:
            events = self.find_events(event, **fields)
            if events:
                return events[0]
            await sleep(0.01)
        raise TimeoutError(f'{self.name}: no event {event} with {fields}')

    async def report(self) -> dict:
        """Returns the bytes, processor time and memory used so far."""
        before = len(self.find_events('report'))
        self.send_command('report')
        while len(self.find_events('report')) == before:
            await sleep(0.01)
        return self.find_events('report')[-1]

    async def end(self) -> None:
        """Kills the process and waits for its exit."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reader

    async def _read(self) -> None:
        while line := await self.process.stdout.readline():
            self.events.append(loads(line))


class BenchFleet:
    """The processes of a fleet: a source, relays and proxies."""

    def __init__(self, proxies: int, kind: Kind, services: int) -> None:
        """Creates the processes without starting them."""
        self.services = services
        self.version = 0
        self.sequence = 1
        self.source = self._make_process('source', 0, kind)
        self.relays = [
            self._make_process('relay', number, kind)
            for number in range(RELAYS if kind is Kind.TREE else 0)
        ]
        self.proxies = [
            self._make_process('proxy', number, kind)
            for number in range(proxies)
        ]

    @property
    def processes(self) -> list[Process]:
        """The processes of all roles."""
        return [self.source, *self.relays, *self.proxies]

    async def start(self) -> None:
        """Starts all processes and waits until all proxies run version 1."""
        await gather(*(one.launch() for one in self.processes))
        self.start_controllers(self.processes)
        self.source.send_command('lead')
        await self.change()
        await sleep(2)

    def start_controllers(self, processes: list[Process]) -> None:
        """Sends processes their peers and starts their controllers."""
        relays = [relay.peer for relay in self.relays] or [self.source.peer]
        for process in processes:
            process.send_command(
                'start', replicas=[self.source.peer], relays=relays
            )

    async def change(self) -> list[float]:
        """Publishes a new version; returns each proxy's delay in seconds.

        A delay is the time until the proxy runs the version.
        """
        self.version += 1
        version = self.version
        self.source.send_command(
            'accept', version=version, services=self.services
        )
        accepted = await self.source.wait('accepted', version=version)
        events = await gather(
            *(proxy.wait('running', version=version) for proxy in self.proxies)
        )
        return [one['at'] - accepted['at'] for one in events]

    async def change_endpoint(self) -> list[float]:
        """Announces a change of the first endpoint.

        Returns the delay until each proxy knows of it, in seconds.
        """
        first = self.proxies[0]
        self.sequence += 1
        first.send_command('announce', sequence=self.sequence)
        announced = await first.wait('announced', sequence=self.sequence)
        events = await gather(
            *(
                proxy.wait(
                    'endpoint',
                    instance=first.name,
                    sequence=self.sequence,
                )
                for proxy in self.proxies
            )
        )
        return [one['at'] - announced['at'] for one in events]

    async def end(self) -> None:
        """Ends all processes."""
        await gather(*(one.end() for one in self.processes))

    def _make_process(self, role: str, number: int, kind: Kind) -> Process:
        return Process(
            {
                'name': f'{role}-{number}',
                'role': role,
                'domain': DOMAINS[number % len(DOMAINS)],
                'service': f'service-{number // 10:04}',
                'naive': kind is Kind.NAIVE,
            },
        )


def summarize(delays: list[float]) -> dict:
    """Returns percentiles of delays, in milliseconds."""
    return {
        'p50_ms': round(compute_percentile(delays, 50) * 1000, 2),
        'p99_ms': round(compute_percentile(delays, 99) * 1000, 2),
        'worst_ms': round(max(delays) * 1000, 2),
        'samples': len(delays),
    }


def compute_mean_usage(before: list[dict], after: list[dict]) -> dict:
    """Returns the mean difference per process between two reports.

    `rss_mb` is not a difference but the maximum of the later reports.
    """
    size = len(before)
    seconds = after[0]['at'] - before[0]['at']
    sums = {
        field: sum(one[field] for one in after)
        - sum(one[field] for one in before)
        for field in ('sent', 'received', 'cpu_s')
    }
    return {
        'sent_bytes': round(sums['sent'] / size, 1),
        'received_bytes': round(sums['received'] / size, 1),
        'sent_bytes_per_s': round(sums['sent'] / size / seconds, 1),
        'received_bytes_per_s': round(sums['received'] / size / seconds, 1),
        'core_percent': round(100 * sums['cpu_s'] / size / seconds, 3),
        'rss_mb': round(max(one['rss'] for one in after) / 1e6, 1),
        'seconds': round(seconds, 2),
    }


async def report_all(fleet: BenchFleet) -> dict[str, list[dict]]:
    """Returns a report of each process, by role."""
    return {
        role: await gather(*(one.report() for one in processes))
        for role, processes in (
            ('source', [fleet.source]),
            ('relay', fleet.relays),
            ('proxy', fleet.proxies),
        )
        if processes
    }


async def measure(fleet: BenchFleet, work) -> dict:
    """Returns the resources that each role uses while `work` runs."""
    before = await report_all(fleet)
    await work()
    after = await report_all(fleet)
    return {
        role: compute_mean_usage(before[role], after[role]) for role in before
    }


async def measure_fleet(proxies: int, kind: Kind, services: int) -> dict:
    """Measures one fleet without faults."""
    fleet = BenchFleet(proxies, kind, services)
    configuration: list[float] = []
    everywhere: list[float] = []
    endpoint: list[float] = []

    async def change() -> None:
        for number in range(CHANGES):
            delays = await fleet.change()
            configuration.extend(delays)
            everywhere.append(max(delays))
            await sleep(CHANGE_INTERVAL_S)

    async def change_endpoint() -> None:
        for number in range(CHANGES):
            endpoint.extend(await fleet.change_endpoint())
            await sleep(CHANGE_INTERVAL_S)

    try:
        await fleet.start()
        return {
            'proxies': proxies,
            'kind': kind,
            'services': services,
            'relays': len(fleet.relays),
            'changes': CHANGES,
            'idle': await measure(fleet, lambda: sleep(IDLE_S)),
            'changing': await measure(fleet, change),
            'moving': await measure(fleet, change_endpoint),
            'configuration': summarize(configuration),
            'everywhere': summarize(everywhere),
            'endpoint': summarize(endpoint),
        }
    finally:
        await fleet.end()


def print_table(rows: list[dict]) -> None:
    """Prints a line for each fleet and one for each of its roles."""
    print('proxies services version  config p50/p99/worst ms   everywhere p99')
    for row in rows:
        idle = row['idle']
        print(
            f'{row["proxies"]:7} {row["services"]:8} {row["kind"]:7}'
            f' {describe(row["configuration"]):26}'
            f' {row["everywhere"]["p99_ms"]:9}'
            f' endpoint {describe(row["endpoint"])}',
        )
        for role, usage in idle.items():
            changing = row['changing'][role]
            print(
                f'        {role:6} idle {usage["sent_bytes_per_s"]:9} B/s out'
                f' {usage["received_bytes_per_s"]:8} B/s in'
                f' {usage["core_percent"]:6}% core {usage["rss_mb"]:6} MB;'
                f' a change {changing["sent_bytes"] / CHANGES:9.0f} B out'
                f' {changing["received_bytes"] / CHANGES:8.0f} B in'
                f' {changing["core_percent"]:6}% core',
            )


def describe(summary: dict) -> str:
    """Returns the summary's p50, p99 and maximum as text, in ms."""
    fields = ('p50_ms', 'p99_ms', 'worst_ms')
    return '/'.join(str(summary[field]) for field in fields)


async def main() -> None:
    """Measures every fleet and writes the JSON file."""
    rows = []
    for proxies in FLEETS:
        for kind in Kind:
            rows.append(await measure_fleet(proxies, kind, SERVICES))
            print_table(rows[-1:])
    if WIDE_SERVICES:
        rows.append(
            await measure_fleet(FLEETS[0], Kind.TREE, WIDE_SERVICES),
        )
        print_table(rows[-1:])
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(
        dumps(
            {
                'command': 'make bench-spread',
                'cpus': cpu_count(),
                'python': python_version(),
                'daemon': 'controllers in processes of their own',
                'naive_poll_s': POLL_S,
                'fleets': rows,
            },
            indent=1,
        )
        + '\n',
    )


if __name__ == '__main__':
    run(main())
