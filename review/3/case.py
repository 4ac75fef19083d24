"""Two of six backends send, for some requests, bytes without end.

The bytes are interim responses, one after the other, until the caller closes.
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
TIMEOUT_S, DEADLINE_S, GRACE_S = 0.8, 1.5, 0.5
PER_S = 90.0
GARBLED, SHARE, TIMES, GARBLE_S, CALM_S = (
    ('side-0', 'side-1'), 0.02, 6, 5.5, 2.0
)
PIECE = b'HTTP/1.1 103 Early Hints\r\n\r\n' * 4000
#: Longest pause of the stand-ins themselves that the check bears.
MOST_PAUSE_S = 0.25
MOST, MOST_SHARE = 8, 0.5


class Traffic:
    def __init__(self, lab):
        self.lab = lab
        self.is_garbling = False
        self.hits = {}
        self.ended = {}
        self.outcomes = {}

    async def work(self, backend, method, path, headers, body):
        attempt = headers['x-attempt-id']
        await asyncio.sleep(0.05)
        is_hit = backend.name in GARBLED and random.random() < SHARE
        if self.is_garbling and is_hit:
            self.hits[attempt] = backend.name
            self.lab.record.write(f'{attempt} gets bytes without end')
            return stand.Endless(PIECE)
        return b'done'

    async def send(self, name):
        attempt = f'{random.getrandbits(64):016x}'
        self.lab.record.write(f'{attempt} sent to {name}')
        began = time.monotonic()
        status = 'none'
        writer = None
        try:
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(
                    self.lab.hosts[name], stand.CALLERS
                )
                writer.write(
                    f'GET /read/{attempt} HTTP/1.1\r\nHost: {HOST}\r\n'
                    f'X-Attempt-Id: {attempt}\r\n'
                    f'X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n'
                    '\r\n'.encode()
                )
                status = (await stand.read_response(reader)).status
        except TimeoutError:
            status = 'no final answer'
        except (OSError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        finally:
            if writer is not None:
                writer.close()
        self.ended[attempt] = (time.monotonic() - began, status)
        self.outcomes[status] = self.outcomes.get(status, 0) + 1
        self.lab.record.write(
            f'{attempt} after {self.ended[attempt][0]:.2f} s: {status}'
        )

    async def send_all(self, until):
        tasks = set()
        names = list(self.lab.backends)
        due = time.monotonic()
        while due < until:
            due += random.expovariate(PER_S)
            await asyncio.sleep(max(due - time.monotonic(), 0))
            task = asyncio.create_task(self.send(random.choice(names)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)


async def main():
    lab = stand.Lab(FOLDER)
    traffic = Traffic(lab)
    for number in range(6):
        lab.add_side(f'side-{number}', 'desk', SLOTS, traffic.work)
    try:
        await lab.start_all()
        await lab.configure([
            stand.route('r-read', '/read/', 'desk', 'idempotent', TIMEOUT_S),
            stand.service('desk'), stand.LIMITS,
        ])
        await lab.wait_ready()
        await asyncio.sleep(5)
        pauses = stand.Pauses()
        sending = asyncio.create_task(traffic.send_all(
            time.monotonic() + TIMES * (GARBLE_S + CALM_S) + CALM_S
        ))
        for _ in range(TIMES):
            await asyncio.sleep(CALM_S)
            traffic.is_garbling = TROUBLE
            await asyncio.sleep(GARBLE_S)
            traffic.is_garbling = False
        await sending
        lasting = [
            attempt for attempt, (took_s, _) in traffic.ended.items()
            if took_s > TIMEOUT_S
        ]
        late = [
            attempt for attempt in lasting
            if traffic.ended[attempt][0] > TIMEOUT_S + GRACE_S
        ]
        sound = [attempt for attempt in late if attempt not in traffic.hits]
        text = (
            f'{len(traffic.ended)} requests, answers {traffic.outcomes}, '
            f'{len(traffic.hits)} got bytes without end; {len(lasting)} were '
            f'unanswered after {TIMEOUT_S} s, {len(late)} of them {GRACE_S} s '
            f'later ({len(sound)} of these had got no such bytes); longest '
            f'pause of the stand-ins {pauses.longest_s:.3f} s'
        )
        lab.record.write(text)
        print(text)
        if pauses.longest_s > MOST_PAUSE_S:
            raise stand.CouldNotRun('the stand-ins stood still for too long')
        return len(late) >= MOST and len(late) > MOST_SHARE * len(lasting)
    finally:
        await lab.close()


stand.run(main)
