"""Clients leave before their deadline, and backends finish what they began.

The backends of `desk` make a call to `roster` while they work. One of the three
does not drop a request when its connection closes, so it makes its call also
after the client has left.
"""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import lab as stand  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'app.example'
SLOTS = 12
QUOTA = ('QuotaWindowS=5', 'QuotaOverage=0.1', 'QuotaSlack=20')
KEYS = {'key-agents-1': 'agents', 'key-trekkers-1': 'trekkers'}
WORK_S, CALL_AFTER_S = 0.35, 0.28
PER_S, LASTS_S = 40.0, 30.0
DEADLINE_S = 2.5
#: Share of the clients that leave, within this time: half of the objective.
LEAVE_SHARE, LEAVE_S = 0.2, 0.3
#: For how long they do so at a time, and the pause between.
SPAN_S, PAUSE_S = 5.5, 2.0


class Traffic:
    def __init__(self, lab):
        self.lab = lab
        self.requests = 0
        self.calls = {}
        self.outcomes = {}

    async def work(self, backend, method, path, headers, body):
        attempt = headers['x-attempt-id']
        if backend.service == 'roster':
            await asyncio.sleep(0.02)
            return b'roster'
        began = time.monotonic()
        await asyncio.sleep(CALL_AFTER_S)
        left_s = int(headers['x-deadline-ms']) / 1000 - CALL_AFTER_S
        if left_s > 0:
            await self.make_call(backend, f'{attempt}.1', left_s)
        await asyncio.sleep(max(began + WORK_S - time.monotonic(), 0))
        return b'done'

    async def make_call(self, backend, attempt, left_s):
        """A call of a running request; it carries no tenant key."""
        self.requests += 1
        status = await self.exchange(
            backend.host, 'GET', f'/roster/{attempt}', attempt, left_s, ''
        )
        self.calls[status] = self.calls.get(status, 0) + 1
        self.lab.record.write(
            f'{attempt} call of {backend.name}, {int(left_s * 1000)} ms left: '
            f'{status}'
        )

    async def exchange(self, host, method, path, attempt, wait_s, key):
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(
                    host, stand.CALLERS
                )
                try:
                    authorization = f'Authorization: Bearer {key}\r\n'
                    writer.write(
                        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
                        f'X-Attempt-Id: {attempt}\r\n'
                        f'X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n'
                        f'{authorization if key else ""}'
                        'Content-Length: 0\r\n\r\n'.encode()
                    )
                    return (await stand.read_response(reader)).status
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            return type(error).__name__

    async def send(self, name):
        attempt = f'{random.getrandbits(64):016x}'
        passed_s = (time.monotonic() - self.began) % (SPAN_S + PAUSE_S)
        leaves = (
            TROUBLE and passed_s < SPAN_S and random.random() < LEAVE_SHARE
        )
        wait_s = random.uniform(0, LEAVE_S) if leaves else DEADLINE_S
        self.requests += 1
        self.lab.record.write(f'{attempt} sent to {name}')
        status = await self.exchange(
            self.lab.hosts[name], 'POST', f'/desk/{attempt}', attempt, wait_s,
            random.choice(list(KEYS)),
        )
        if leaves and status == 'TimeoutError':
            status = 'left'
        self.lab.record.write(f'{attempt} ended: {status}')
        self.outcomes[status] = self.outcomes.get(status, 0) + 1

    async def send_all(self):
        tasks = set()
        self.began = time.monotonic()
        until = time.monotonic() + LASTS_S
        while time.monotonic() < until:
            await asyncio.sleep(random.expovariate(PER_S))
            name = random.choice(list(self.lab.backends))
            task = asyncio.create_task(self.send(name))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        await asyncio.sleep(DEADLINE_S)


def tenant(name):
    keys = [key for key, holder in KEYS.items() if holder == name]
    return {
        'Type': 'Tenants', 'Metadata': {'Name': name},
        'Spec': {
            'Name': name, 'ApiKeys': keys, 'Priority': 1,
            'RatePerS': 500, 'Burst': 500,
        },
    }


async def main():
    lab = stand.Lab(FOLDER, contracts=('tenants', 'quota'), bounds=QUOTA)
    traffic = Traffic(lab)
    for number in range(3):
        lab.add_side(f'side-{number}', 'desk', SLOTS, traffic.work)
    for number in range(3, 6):
        lab.add_side(f'side-{number}', 'roster', SLOTS, traffic.work)
    lab.backends['side-0'].drops = False
    try:
        await lab.start_all()
        await lab.configure([
            stand.route('r-desk', '/desk/', 'desk', 'non_idempotent', 2.4),
            stand.route('r-roster', '/roster/', 'roster', 'idempotent', 1.0),
            stand.service('desk'), stand.service('roster'),
            tenant('agents'), tenant('trekkers'), stand.LIMITS,
        ])
        await lab.wait_ready()
        await asyncio.sleep(5)
        await traffic.send_all()
        denied = sum(
            count for status, count in traffic.calls.items()
            if status in (401, 403, 404)
        )
        most = 5 + traffic.requests / 500
        text = (
            f'{traffic.requests} requests, clients {traffic.outcomes}, calls '
            f'{traffic.calls}: {denied} denied (allowed: {most:.0f})'
        )
        lab.record.write(text)
        print(text)
        return denied > most
    finally:
        await lab.close()


stand.run(main)
