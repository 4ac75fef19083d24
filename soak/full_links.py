"""Stops of daemons while downloads ask for more than the links carry.

Three upstreams are reached through links with a rate. Requests for 1.4 times
that come in through daemons without an upstream. All six daemons are stopped
and started again, three at a time. A stop may refuse and delay, but cuts no
response; what is refused comes back.
"""

from asyncio import Semaphore, gather, sleep, to_thread
from collections import Counter
from pathlib import Path
from random import Random
from shutil import rmtree
from tempfile import mkdtemp

from bilberry_core.endpoint import Address
from yaml import safe_dump, safe_load

from demo.convergence import get_version
from demo.fleet import Plan, prepare_fleet, wait_until
from demo.operator import Operator
from demo.record import read_runs
from soak.downloads import Downloads
from soak.linked_fleet import LinkedFleet
from soak.run import RECOVERY_S, Report
from standin.large_body import DOWNLOAD_BYTES

#: What each link carries: 4.55 Mbit/s, in bytes a second.
LINK_BYTES_PER_S = 568_750
#: The load, as a multiple of what all links carry.
LOAD = 1.4
#: Times of a stop, in milliseconds.
DRAIN_MS = 2000
LINGER_MS = 800
#: Daemons that are stopped at a time.
STOPS = 3
#: Shortest and longest time between the starts of two stops, in seconds.
STOP_INTERVAL_RANGE_S = (0.2, 0.6)
#: Time of load before the first stop, in seconds.
BEFORE_S = 1.5
_SERVICE = 'archive'
_RENEW_MS = '300'
_REPLICA = 'core-1'
_ENTRIES = ('a-1', 'b-1', 'c-1')
_UPSTREAMS = ('a-2', 'b-2', 'c-2')


class FullLinks:
    """A fleet with links, and the stops and downloads of one seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        """Writes the settings to `folder`; starts no process."""
        self._seed = seed
        self._random = Random(seed)
        plans = [
            Plan(_REPLICA, 'a', ('relay', 'replica'), ''),
            *(Plan(name, name[0], ('proxy',), '') for name in _ENTRIES),
            *(Plan(name, name[0], ('proxy',), _SERVICE) for name in _UPSTREAMS),
        ]
        self._fleet = LinkedFleet(
            prepare_fleet(folder, plans), _UPSTREAMS, LINK_BYTES_PER_S
        )
        self._stopped: list[str] = []
        self._broken: list[str] = []
        self._slots = Semaphore(STOPS)

    async def run(self) -> Report:
        """Starts the fleet, plays the stops and checks the promises."""
        addresses = [
            Address('127.0.0.1', self._fleet.members[name].ports.callers)
            for name in _ENTRIES
        ]
        downloads = Downloads(
            tuple(addresses), f'{_SERVICE}.example', Random(self._seed)
        )
        try:
            await self._play(downloads)
        finally:
            await to_thread(self._fleet.close)
            await self._fleet.close_links()
        self._broken += find_broken(downloads, read_runs(self._fleet))
        return Report(
            self._seed,
            tuple(self._broken),
            (*self._stopped, str(dict(downloads.outcomes))),
            downloads.outcomes['answered'],
        )

    async def _play(self, downloads: Downloads) -> None:
        """Stops the daemons under load, and waits for the last response."""
        await self._fleet.open_links()
        await to_thread(self._start)
        carried_per_s = len(_UPSTREAMS) * LINK_BYTES_PER_S / DOWNLOAD_BYTES
        downloads.start(LOAD * carried_per_s)
        await sleep(BEFORE_S)
        await self._stop_daemons()
        await downloads.stop()

    def _start(self) -> None:
        """Starts all processes, and waits until requests can be answered."""
        fleet = self._fleet
        for name, member in fleet.members.items():
            self._set_times(member.settings)
            fleet.start_daemon(name)
        for name in _UPSTREAMS:
            fleet.start_upstream(name, '--renew-ms', _RENEW_MS)
        wait_until(lambda: self._apply() == 0, RECOVERY_S, 'a change')
        wait_until(self._is_ready, RECOVERY_S, 'every daemon')

    def _set_times(self, settings: Path) -> None:
        document = safe_load(settings.read_text())
        document['timing'] = {
            'drain': f'{DRAIN_MS}ms',
            'linger': f'{LINGER_MS}ms',
        }
        settings.write_text(safe_dump(document, sort_keys=False))

    def _apply(self) -> int:
        path = self._fleet.folder / 'configuration.yaml'
        document = {
            'defaults': {'timeout': '5s', 'retries': 1},
            'services': {_SERVICE: {'hosts': [f'{_SERVICE}.example']}},
        }
        path.write_text(safe_dump(document))
        return Operator(self._fleet).run('apply', str(path)).code

    def _is_ready(self) -> bool:
        return all(map(self._is_usable, (*_ENTRIES, *_UPSTREAMS)))

    def _is_usable(self, name: str) -> bool:
        """Returns whether a daemon runs a version and has its upstream."""
        status = self._fleet.read_status(name)
        if not get_version(status):
            return False
        if name not in _UPSTREAMS:
            return True
        known = self._fleet.read_status(_REPLICA) or {}
        states = known.get('services', {}).get(_SERVICE, {})
        return name in states.get('ready', ())

    async def _stop_daemons(self) -> None:
        """Stops each daemon once, callers' and upstreams' ones in turn."""
        entries, upstreams = (
            self._random.sample(names, len(names))
            for names in (_ENTRIES, _UPSTREAMS)
        )
        after_s: float = 0
        stops = []
        for pair in zip(entries, upstreams, strict=True):
            for name in pair:
                stops.append(self._restart(name, after_s))
                after_s += self._random.uniform(*STOP_INTERVAL_RANGE_S)
        await gather(*stops)

    async def _restart(self, name: str, after_s: float) -> None:
        await sleep(after_s)
        async with self._slots:
            self._stopped.append(f'stop {name}')
            code = await to_thread(self._fleet.stop_daemon, name)
            if code:
                self._broken.append(f'{name} ended with exit code {code}')
            self._fleet.start_daemon(name)
            await to_thread(
                wait_until, lambda: self._is_usable(name), RECOVERY_S, name
            )


def find_broken(downloads: Downloads, runs: Counter[str]) -> list[str]:
    """Returns what was cut, left, untrue or not served in the end.

    `runs` are those of each sending. One that no upstream ran was not read by
    the daemon whose connection ended.
    """
    kinds = {
        'cut': downloads.cut.keys() & runs.keys(),
        'untrue': downloads.refused & runs.keys(),
        'silent': downloads.silent,
        'mixed': downloads.mixed,
        'unexplained': downloads.unexplained,
        'lost': {str(number) for number in downloads.lost},
    }
    return [
        f'{kind}: {request_id}'
        for kind, ids in kinds.items()
        for request_id in sorted(ids)
    ]


async def run_full_links(seed: int) -> Report:
    """Runs one seed; keeps its folder if a promise was broken."""
    folder = Path(mkdtemp(prefix=f'bilberry-links-{seed}-'))
    report = await FullLinks(seed, folder).run()
    if report.broken:
        return report._replace(folder=str(folder))
    rmtree(folder, ignore_errors=True)
    return report
