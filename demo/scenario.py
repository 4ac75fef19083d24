"""The demonstration: changes, a graceful stop and a killed replica.

Prints measurements and whether a promise was broken.
"""

from asyncio import run, sleep, to_thread
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from bilberry_core.endpoint import Address
from yaml import safe_dump, safe_load

from demo.caller import Caller
from demo.convergence import Convergence, ConvergenceWatch, get_version
from demo.evaluation import Evaluation, evaluate
from demo.fleet import Fleet, Plan, prepare_fleet, wait_until
from demo.operator import Operator
from demo.record import read_runs

_START_TIMEOUT_S = 30.0
_STEP_S = 1.0
_WORKERS = 4
_SERVICES = ('callouts', 'stock')
_ALL_ROLES = ('proxy', 'relay', 'replica')
_CONTROL_PURPOSES = ('replica', 'spread')


def plan_instances() -> tuple[Plan, ...]:
    """Returns one instance of each service in three failure domains.

    The first instance of each domain is also a relay and a replica.
    """
    plans = []
    for domain in ('a', 'b', 'c'):
        plans.append(Plan(f'{domain}-1', domain, _ALL_ROLES, 'callouts'))
        plans.append(Plan(f'{domain}-2', domain, ('proxy',), 'stock'))
    return tuple(plans)


class Scenario:
    """The steps of the demonstration on one fleet."""

    def __init__(self, fleet: Fleet, folder: Path) -> None:
        """Loads the configuration file beside this module."""
        self._fleet = fleet
        self._operator = Operator(fleet)
        self._file = folder / 'configuration.yaml'
        source = Path(__file__).with_name('configuration.yaml')
        self._document: dict[str, Any] = safe_load(source.read_text())
        self._version = 0
        self._callers: list[Caller] = []

    async def run_steps(self) -> bool:
        """Runs all steps; returns whether every promise was kept."""
        await self._begin()
        await self._change_policies()
        await self._remove_instances()
        self._document['defaults']['timeout'] = '5s'
        await self._change('the two remaining replicas accept a change')
        return await self._evaluate()

    async def _change_policies(self) -> None:
        self._document['defaults']['timeout'] = '4s'
        await self._change('the default timeout is changed to 4s')
        self._document['exceptions'] = {
            'open-callouts': {
                'service': 'callouts',
                'path_prefix': '/open',
                'set': {'priority': 'urgent', 'timeout': '2s'},
                'reason': 'a dispatcher at night can not wait',
            },
        }
        await self._change('an exception with its reason is added')

    async def _remove_instances(self) -> None:
        _print('the upstream of b-2 leaves gracefully')
        await to_thread(self._fleet.stop_upstream, 'b-2')
        await sleep(_STEP_S)
        _print('the replica c-1 is killed')
        self._fleet.kill_daemon('c-1')
        await sleep(_STEP_S)

    async def _begin(self) -> None:
        self._fleet.start()
        _print('waiting for six daemons and their upstreams')
        await to_thread(self._wait_for_leader)
        await self._change('the first configuration is accepted')
        await to_thread(self._wait_for_endpoints)
        for instance, service in (('a-2', 'callouts'), ('b-1', 'stock')):
            ports = self._fleet.members[instance].ports
            address = Address('127.0.0.1', ports.callers)
            caller = Caller(instance, address, f'{service}.example')
            caller.start(_WORKERS)
            self._callers.append(caller)
        await sleep(_STEP_S)

    async def _change(self, note: str) -> None:
        self._version += 1
        self._file.write_text(safe_dump(self._document))
        convergence_watch = ConvergenceWatch(self._fleet, self._version)
        before = self._count_control_bytes()
        convergence_watch.start()
        await to_thread(self._operator.apply, self._file, note)
        convergence = await to_thread(convergence_watch.wait)
        bytes_sent = self._count_control_bytes() - before
        _print(f'{note}: {_describe(convergence)}, {bytes_sent} control bytes')
        await sleep(_STEP_S)

    def _wait_for_leader(self) -> None:
        wait_until(
            lambda: any(
                (
                    (self._fleet.read_status(name) or {}).get('replica') or {}
                ).get(
                    'leader',
                )
                for name in ('a-1', 'b-1', 'c-1')
            ),
            _START_TIMEOUT_S,
            'a leader is elected',
        )

    def _wait_for_endpoints(self) -> None:
        wait_until(
            self._has_endpoints, _START_TIMEOUT_S, 'every upstream is known'
        )

    def _has_endpoints(self) -> bool:
        status = self._fleet.read_status('a-1') or {}
        states = status.get('services', {}).values()
        ready = sum(len(state.get('ready', ())) for state in states)
        return ready >= len(self._fleet.members)

    def _count_control_bytes(self) -> int:
        total = 0
        for instance in self._fleet.running_daemons():
            status = self._fleet.read_status(instance) or {}
            traffic = status.get('traffic', {})
            total += sum(
                traffic.get(purpose, {}).get('sent', 0)
                for purpose in _CONTROL_PURPOSES
            )
        return total

    async def _evaluate(self) -> bool:
        tallies = [await caller.stop() for caller in self._callers]
        versions = {
            get_version(self._fleet.read_status(name))
            for name in self._fleet.running_daemons()
        }
        _print(f'versions in force: {sorted(versions)}')
        evaluation = evaluate(tallies, read_runs(self._fleet))
        _print_evaluation(evaluation)
        return evaluation.all_promises_kept and versions == {self._version}


def main() -> int:
    """Runs the demonstration; returns the exit code."""
    with TemporaryDirectory(prefix='bilberry-') as name:
        folder = Path(name)
        fleet = prepare_fleet(folder, plan_instances())
        try:
            passed = run(Scenario(fleet, folder).run_steps())
        finally:
            fleet.close()
    _print('every promise held' if passed else 'A PROMISE WAS BROKEN')
    return 0 if passed else 1


def _print_evaluation(evaluation: Evaluation) -> None:
    _print(f'requests: {dict(evaluation.outcomes)}')
    _print(f'bookings run twice: {len(evaluation.twice)}')
    _print(f'reported as not run but ran: {len(evaluation.untrue)}')
    _print(f'answered without a recorded run: {len(evaluation.unrecorded)}')
    _print(f'answered with another body: {len(evaluation.mixed)}')


def _describe(convergence: Convergence) -> str:
    milliseconds = convergence.seconds * 1000
    return (
        f'version {convergence.version} in force on '
        f'{convergence.daemons} daemons after {milliseconds:.0f} ms'
    )


def _print(text: str) -> None:
    print(f'demo: {text}', flush=True)
