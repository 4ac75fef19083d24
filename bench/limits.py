"""Measures what upstreams get while they name rate limits.

Real daemons run in three failure domains. Two callers send far more than the
limits of a service while its upstreams name them, change them, withdraw them
and name them all at once, beside kills, freezes and cuts of the daemons beside
the upstreams. The bounds are those that `soak.limits` checks.
"""

from asyncio import gather, sleep, to_thread
from collections import Counter
from pathlib import Path
from signal import SIGCONT, SIGSTOP
from tempfile import TemporaryDirectory
from typing import Any

from bilberry_core.endpoint import Address

from demo.caller import Caller
from demo.fleet import wait_until
from soak.environment import SoakEnvironment
from soak.faults import say
from soak.limits import RATE_LIMIT, find_breaches
from soak.link import LinkState
from standin.arrivals import read_arrivals

SERVICE = 'stock'
#: Instances of the service, and daemons that callers send to.
LIMITED = ('a-2', 'b-2', 'c-2')
CALLED = ('a-1', 'b-1')
WORKERS = 4
#: Length of a step, in seconds: the limit binds for a part of it only.
STEP_S = 8.0
#: Length of a freeze and of a cut, in seconds.
HARM_S = 2.0
_START_TIMEOUT_S = 30.0


class LimitBench:
    """One fleet, its callers, and the steps that they are measured in."""

    def __init__(self, folder: Path) -> None:
        """Prepares a fleet whose files are in `folder`."""
        self._environment = SoakEnvironment(folder)
        self._callers: list[Caller] = []
        self._counted: Counter[str] = Counter()

    async def run(self) -> dict[str, Any]:
        """Runs every step; returns what callers got, and the breaches."""
        environment = self._environment
        await environment.start()
        try:
            await to_thread(wait_until, self._is_ready, _START_TIMEOUT_S, 'up')
            await environment.change()
            steps = await self._run_steps()
        finally:
            tallies = await gather(*(one.stop() for one in self._callers))
            await environment.close()
        sent_at = {}
        for tally in tallies:
            sent_at.update(tally.sent_at)
        lines = read_arrivals(environment.fleet.folder)
        return {
            'steps': steps,
            'arrivals': sum(line.said is None for line in lines),
            'breaches': find_breaches(lines, (), sent_at),
        }

    async def _run_steps(self) -> dict[str, dict[str, float]]:
        for instance in CALLED:
            ports = self._environment.fleet.members[instance].ports
            address = Address('127.0.0.1', ports.callers)
            caller = Caller(instance, address, f'{SERVICE}.example')
            caller.start(WORKERS)
            self._callers.append(caller)
        return {
            'no limit': await self._measure(),
            'one names 14.1': await self._measure(LIMITED[:1], '14.1'),
            'it changes to 5': await self._measure(LIMITED[:1], '5'),
            'it withdraws': await self._measure(LIMITED[:1]),
            'all name 7': await self._measure(LIMITED, '7'),
            'daemons are killed': await self._measure(LIMITED, '7', self._kill),
            'daemons freeze': await self._measure(LIMITED, '7', self._freeze),
            'the core is cut': await self._measure(LIMITED, '7', self._cut),
            'all withdraw': await self._measure(LIMITED),
        }

    async def _measure(
        self,
        instances: tuple[str, ...] = (),
        limit: str = '',
        harm=None,
    ) -> dict[str, float]:
        """Returns what callers got a second, by outcome."""
        said = {RATE_LIMIT: limit} if limit else {}
        for instance in instances:
            await say(self._environment, instance, said)
        if harm is None:
            await sleep(STEP_S)
        else:
            await gather(sleep(STEP_S), harm())
        total: Counter[str] = Counter()
        for caller in self._callers:
            total += caller.tally.outcomes
        step = total - self._counted
        self._counted = total
        return {name: round(step[name] / STEP_S, 1) for name in sorted(step)}

    async def _kill(self) -> None:
        fleet = self._environment.fleet
        for instance in LIMITED:
            await to_thread(fleet.kill_daemon, instance)
            await to_thread(fleet.start_daemon, instance)
            await sleep(HARM_S)

    async def _freeze(self) -> None:
        for instance in LIMITED:
            self._environment.fleet.signal_daemon(instance, SIGSTOP)
            await sleep(HARM_S)
            self._environment.fleet.signal_daemon(instance, SIGCONT)

    async def _cut(self) -> None:
        link = self._environment.links['c-1']
        link.change(LinkState.SILENT)
        await sleep(HARM_S)
        link.change(LinkState.OPEN)

    def _is_ready(self) -> bool:
        fleet = self._environment.fleet
        states = [fleet.read_status(name) for name in fleet.members]
        return None not in states


async def measure_limits() -> dict[str, Any]:
    """Returns what callers and upstreams got in each step."""
    with TemporaryDirectory(prefix='bilberry-limits-') as folder:
        return await LimitBench(Path(folder)).run()
