"""Tests of the quotas of organisations on a fleet of real daemons."""

from asyncio import Event, create_task, gather, run, to_thread
from collections.abc import Callable
from math import ceil
from signal import SIGCONT, SIGSTOP
from time import monotonic

from bilberry_core.http import HttpRequest, fetch
from bilberry_core.organisation import compute_key_digest
from yaml import safe_dump

from demo.record import read_runs
from tests.process.case import FleetCase, pause_test

KEY = 'a-key-of-the-tests'
RATE = 20
BURST = 10
ENTRIES = ('a-2', 'b-2', 'c-2')
_WORKERS = 3
_SECONDS = 4.5
#: The default of `timing.quota_window`, in seconds.
_WINDOW_S = 5.0
#: Time in which the burst of a new quota has added up, in seconds.
_FILL_S = 1.5
_TIMEOUT_S = 10.0
_QUOTA_EXCEEDED = 429
#: 503 while nobody can be asked for a token.
_STATUSES = frozenset((200, _QUOTA_EXCEEDED, 503))


class QuotaTest(FleetCase):
    """One organisation that asks several daemons for more than its quota."""

    def test_organisation_gets_more_than_its_quota(self):
        """All daemons together run what the quota allows, and all of it."""
        self.limit_organisation(2)
        pause_test(_FILL_S)
        runs = self.ask_during(lambda: pause_test(_SECONDS))
        self.assertTrue(runs >= RATE * _SECONDS * 0.95, f'{runs} runs')

    def test_new_leader_grants_beside_the_one_that_was_killed(self):
        """What the old one granted and was lent is not granted again."""
        self.limit_organisation(2)
        pause_test(_FILL_S)

        def replace_leader() -> None:
            leader = self.find_leader()
            self.fleet.kill_daemon(leader)
            self.wait(lambda: self.find_leader() is not None, 'a new leader')
            pause_test(_SECONDS)

        runs = self.ask_during(replace_leader)
        self.assertTrue(runs >= RATE * _SECONDS / 2, f'{runs} runs')

    def test_frozen_leader_grants_beside_its_successor(self):
        """It wakes up and believes for a moment that it still leads."""
        self.limit_organisation(2)
        pause_test(_FILL_S)

        def freeze_leader() -> None:
            leader = self.find_leader()
            self.fleet.signal_daemon(leader, SIGSTOP)
            self.wait(
                lambda: self.find_leader(leader) is not None, 'another leader'
            )
            pause_test(_FILL_S)
            self.fleet.signal_daemon(leader, SIGCONT)
            pause_test(_SECONDS)

        runs = self.ask_during(freeze_leader)
        self.assertTrue(runs >= RATE * _SECONDS / 2, f'{runs} runs')

    def ask_during(self, fault: Callable[[], None]) -> int:
        """Asks for more than the quota while `fault` runs.

        Returns the number of runs, which is never more than the quota.
        """
        started_at = monotonic()
        statuses = run(self._ask_during(fault))
        seconds = monotonic() - started_at
        runs = self.count_runs()
        allowed = (RATE * _WINDOW_S + BURST) * ceil(seconds / _WINDOW_S)
        self.assertTrue(runs <= allowed, f'{runs} runs, {allowed} allowed')
        self.assertIn(_QUOTA_EXCEEDED, statuses)
        self.assertTrue(set(statuses) <= _STATUSES, f'{set(statuses)}')
        return runs

    def limit_organisation(self, version: int) -> None:
        """Applies a configuration with one organisation of this quota."""
        path = self.write_configuration(f'change-{version}', '5s')
        path.write_text(
            path.read_text()
            + safe_dump(
                {
                    'organisations': {
                        'acme': {
                            'key_digests': [compute_key_digest(KEY.encode())],
                            'rate': RATE,
                            'burst': BURST,
                        },
                    },
                }
            )
        )
        outcome = self.operator.run('apply', str(path))
        self.assertEqual(0, outcome.code, outcome)
        self.wait_for_version(version)

    def count_runs(self) -> int:
        """Returns how many requests of the organisation ran."""
        runs = read_runs(self.fleet)
        return sum(
            times for name, times in runs.items() if name.startswith('quota-')
        )

    async def _ask_during(self, fault: Callable[[], None]) -> list[int]:
        ended = Event()
        workers = [
            create_task(self._ask_until(f'{entry}-{number}', entry, ended))
            for entry in ENTRIES
            for number in range(_WORKERS)
        ]
        await to_thread(fault)
        ended.set()
        return [status for part in await gather(*workers) for status in part]

    async def _ask_until(
        self, name: str, entry: str, ended: Event
    ) -> list[int]:
        statuses = []
        address = self.get_callers_address(entry)
        while not ended.is_set():
            request_id = f'quota-{name}-{len(statuses)}'
            headers = (
                (b'host', b'stock.example'),
                (b'authorization', f'Bearer {KEY}'.encode()),
                (b'x-request-id', request_id.encode()),
            )
            request = HttpRequest('GET', '/open/1', headers, b'')
            response = await fetch(address, request, _TIMEOUT_S)
            statuses.append(response.status)
        return statuses
