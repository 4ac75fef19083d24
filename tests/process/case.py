"""A test case with a fleet of real daemons and callers that send requests.

Tests wait for conditions; the timeouts only limit the time of a failing test.
"""

from asyncio import run, sleep, to_thread
from collections.abc import Callable
from os import environ
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp
from time import sleep as pause
from typing import Any

from bilberry_core.endpoint import Address
from testtools import TestCase
from yaml import safe_dump

from demo.caller import Caller
from demo.convergence import get_version
from demo.evaluation import Evaluation, evaluate
from demo.fleet import prepare_fleet, wait_until
from demo.operator import Operator, Outcome
from demo.record import read_runs
from demo.scenario import plan_instances
from soak.watch import VersionWatch

TIMEOUT_S = 60.0
REPLICAS = ('a-1', 'b-1', 'c-1')
_WORKERS = 2
_FAULT_MARGIN_S = 0.3


class FleetCase(TestCase):
    """A test case with six running daemons, three of them replicas.

    All of them run version 1 when the test begins.
    """

    def setUp(self):
        """Starts the fleet and waits until replicas know every endpoint."""
        super().setUp()
        self.folder = Path(mkdtemp(prefix='bilberry-test-'))
        if 'KEEP_FOLDERS' not in environ:
            self.addCleanup(rmtree, self.folder, ignore_errors=True)
        self.fleet = prepare_fleet(self.folder, plan_instances())
        self.addCleanup(self.fleet.close)
        self.operator = Operator(self.fleet)
        self.fleet.start()
        self.wait(lambda: self.find_leader() is not None, 'a leader')
        self.assertEqual(0, self.apply(1, '5s').code)
        self.wait_for_version(1)
        self.wait(self._knows_every_endpoint, 'every endpoint')
        self.watch = VersionWatch(self.fleet)
        self.addCleanup(self.watch.stop)

    def wait(self, condition: Callable[[], bool], description: str) -> None:
        """Waits for a condition; a failure states `description`."""
        wait_until(condition, TIMEOUT_S, description)

    def write_configuration(self, name: str, timeout: str) -> Path:
        """Writes a configuration whose default timeout is `timeout`."""
        path = self.folder / f'{name}.yaml'
        services = {
            service: {'hosts': [f'{service}.example']}
            for service in ('callouts', 'stock')
        }
        document = {
            'defaults': {
                'timeout': timeout,
                'retries': 2,
                'retry_budget': '100%',
            },
            'services': services,
        }
        path.write_text(safe_dump(document))
        return path

    def apply(self, number: int, timeout: str, *arguments: str) -> Outcome:
        """Applies a configuration with `bilberryctl`."""
        path = self.write_configuration(f'change-{number}', timeout)
        return self.operator.run('apply', str(path), *arguments)

    def read_versions(self) -> dict[str, int]:
        """Returns the version that each running daemon runs."""
        return {
            instance: get_version(self.fleet.read_status(instance))
            for instance in self.fleet.running_daemons()
        }

    def wait_for_version(self, version: int, *ignored: str) -> None:
        """Waits until the running daemons run `version` or a newer one."""

        def is_in_force() -> bool:
            versions = self.read_versions()
            return all(
                held >= version
                for instance, held in versions.items()
                if instance not in ignored
            )

        self.wait(is_in_force, f'version {version} everywhere')

    def find_leader(self, *ignored: str) -> str | None:
        """Returns the replica that reports itself as the leader, or None."""
        for instance in REPLICAS:
            if instance in ignored:
                continue
            replica = self.read_replica(instance)
            if replica.get('role') == 'leader':
                return instance
        return None

    def read_replica(self, instance: str) -> dict[str, Any]:
        """Returns the state of the replicated log that a replica reports."""
        status = self.fleet.read_status(instance) or {}
        return status.get('replica') or {}

    def call_during(
        self,
        entries: tuple[tuple[str, str], ...],
        fault: Callable[[], None],
    ) -> Evaluation:
        """Sends requests while `fault` runs and evaluates their outcomes.

        `entries` are pairs of a daemon that receives requests and the service
        that they name.
        """
        return run(self._call_during(entries, fault))

    def get_callers_address(self, instance: str) -> Address:
        """Returns the address on which a daemon listens for callers."""
        ports = self.fleet.members[instance].ports
        return Address('127.0.0.1', ports.callers)

    async def _call_during(self, entries, fault) -> Evaluation:
        callers = [
            Caller(
                instance,
                self.get_callers_address(instance),
                f'{service}.example',
            )
            for instance, service in entries
        ]
        for caller in callers:
            caller.start(_WORKERS)
        try:
            await sleep(_FAULT_MARGIN_S)
            await to_thread(fault)
            await sleep(_FAULT_MARGIN_S)
        finally:
            tallies = [await caller.stop() for caller in callers]
        return evaluate(tallies, read_runs(self.fleet))

    def _knows_every_endpoint(self) -> bool:
        for instance in REPLICAS:
            status = self.fleet.read_status(instance) or {}
            states = status.get('services', {}).values()
            ready = sum(len(state.get('ready', ())) for state in states)
            if ready < len(self.fleet.members):
                return False
        return True


def remove_data_folder(folder: Path) -> None:
    """Removes a data folder, which simulates the loss of a disk."""
    rmtree(folder)


def pause_test(seconds: float) -> None:
    """Blocks the test thread, during a fault or before a retry."""
    pause(seconds)
