"""A route is removed whose host has the name of its service."""

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
SERVICE = HOST = 'desk'
KEPT, DROPPED = '/kept/', '/dropped/'
SLOTS = 12
CONFIG_APPLY_S = 2.0
PER_S, BEFORE_S, AFTER_S = 20.0, 5.0, 12.0
DEADLINE_S = 2.0


class Traffic:
    def __init__(self, lab):
        self.lab = lab
        self.sent_at = {}
        self.runs = []
        self.answers = {}

    async def work(self, backend, method, path, headers, body):
        attempt = headers['x-attempt-id']
        self.runs.append((attempt, path))
        self.lab.record.write(f'{attempt} run by {backend.name}: {path}')
        await asyncio.sleep(0.05)
        return b'done'

    async def send(self, name, prefix):
        attempt = f'{random.getrandbits(64):016x}'
        self.sent_at[attempt] = time.monotonic()
        self.lab.record.write(f'{attempt} sent to {name}: {prefix}')
        status = 'none'
        try:
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(
                    self.lab.hosts[name], stand.CALLERS
                )
                try:
                    writer.write(
                        f'GET {prefix}{attempt} HTTP/1.1\r\nHost: {HOST}\r\n'
                        f'X-Attempt-Id: {attempt}\r\n'
                        f'X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n'
                        '\r\n'.encode()
                    )
                    status = (await stand.read_response(reader)).status
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            status = type(error).__name__
        self.lab.record.write(f'{attempt} answered: {status}')
        key = (prefix, status)
        self.answers[key] = self.answers.get(key, 0) + 1

    async def send_all(self, lasts_s):
        tasks = set()
        until = time.monotonic() + lasts_s
        while time.monotonic() < until:
            await asyncio.sleep(random.expovariate(PER_S))
            name = random.choice(list(self.lab.backends))
            prefix = random.choice((KEPT, DROPPED))
            task = asyncio.create_task(self.send(name, prefix))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)


def list_resources(prefixes):
    routes = [
        stand.route(f'r-{prefix.strip("/")}', prefix, SERVICE, 'idempotent',
                    2.0, host=HOST)
        for prefix in prefixes
    ]
    return [
        *routes, stand.service(SERVICE), stand.service('front'), stand.LIMITS
    ]


async def main():
    lab = stand.Lab(FOLDER)
    traffic = Traffic(lab)
    for number in range(2):
        lab.add_side(f'side-{number}', SERVICE, SLOTS, traffic.work)
    for number in range(2, 4):
        lab.add_side(f'side-{number}', 'front', SLOTS, traffic.work)
    try:
        await lab.start_all()
        await lab.configure(list_resources((KEPT, DROPPED)))
        await lab.wait_ready()
        await asyncio.sleep(5)
        sending = asyncio.create_task(
            traffic.send_all(BEFORE_S + CONFIG_APPLY_S + AFTER_S)
        )
        await asyncio.sleep(BEFORE_S)
        late_from = float('inf')
        if TROUBLE:
            lab.record.write(f'a configuration without {DROPPED} is sent')
            await lab.configure(list_resources((KEPT,)))
            late_from = time.monotonic() + CONFIG_APPLY_S
        await sending
        late = [
            attempt for attempt, path in traffic.runs
            if path.startswith(DROPPED)
            and traffic.sent_at[attempt] > late_from
        ]
        text = (
            f'{len(traffic.sent_at)} requests, answers {traffic.answers}; run '
            f'on the removed route later than {CONFIG_APPLY_S} s after the '
            f'acknowledgement: {len(late)}'
        )
        lab.record.write(text)
        print(text)
        return bool(late)
    finally:
        await lab.close()


stand.run(main)
