"""A request with a long body crashes each backend that begins to run it.

It comes again, with the same path, caller and body, at any machine.
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
BACKENDS, FRONTS, SLOTS = 4, 3, 12
BODY_BYTES = int(os.environ.get('BODY', 200_000))
PATH = '/desk/closing-report'
#: How often the request comes, and the pause between two comings.
TIMES, PAUSE_S = 12, 3.5
#: Time after which a crashed backend is back.
BACK_S = 2.0
STABLE_WINDOW_S = 3.0
MOST_RETRIES = 3
USUAL_PER_S = 6.0
DEADLINE_S = 3.0


class Traffic:
    def __init__(self, lab):
        self.lab = lab
        self.body = random.Random(7).randbytes(BODY_BYTES)
        self.crashes = []
        self.sent_at = {}
        self.arrivals = []
        self.outcomes = {}
        self.tasks = set()

    async def work(self, backend, method, path, headers, body):
        if path == PATH:
            attempt = headers['x-attempt-id']
            self.arrivals.append((self.lab.record.now(), attempt))
            same = body == self.body
            self.lab.record.write(
                f'{attempt} begins to run at {backend.name}, body '
                f'{"as sent" if same else "CHANGED"}'
            )
            if TROUBLE:
                self.crashes.append(self.lab.record.now())
                self.lab.record.write(
                    f'{backend.name} crashes, crash {len(self.crashes)}'
                )
                task = asyncio.create_task(self.come_back(backend))
                self.tasks.add(task)
                await asyncio.sleep(1)
                return None
        await asyncio.sleep(0.05)
        return b'done'

    async def come_back(self, backend):
        backend.crash()
        await asyncio.sleep(BACK_S)
        await backend.start()

    async def send(self, name, method, path, body):
        """Sends a request; a body goes in pieces, as the path delivers it."""
        attempt = f'{random.getrandbits(64):016x}'
        self.sent_at[attempt] = self.lab.record.now()
        is_suspect = path == PATH
        if is_suspect:
            self.lab.record.write(f'{attempt} sent to {name}: {method} {path}')
        status = 'none'
        try:
            async with asyncio.timeout(DEADLINE_S + 1):
                reader, writer = await asyncio.open_connection(
                    self.lab.hosts[name], stand.CALLERS
                )
                try:
                    writer.write(
                        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
                        f'X-Attempt-Id: {attempt}\r\n'
                        f'X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n'
                        f'Content-Length: {len(body)}\r\n\r\n'.encode()
                    )
                    at = 0
                    while at < len(body):
                        size = random.randint(1000, 9000)
                        writer.write(body[at:at + size])
                        await writer.drain()
                        await asyncio.sleep(0.001)
                        at += size
                    status = (await stand.read_response(reader)).status
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            status = type(error).__name__
        if is_suspect:
            self.lab.record.write(f'{attempt} answered: {status}')
        self.outcomes[status] = self.outcomes.get(status, 0) + 1

    async def send_usual(self, until):
        names = list(self.lab.backends)
        while time.monotonic() < until:
            await asyncio.sleep(random.expovariate(USUAL_PER_S))
            number = random.getrandbits(32)
            task = asyncio.create_task(
                self.send(random.choice(names), 'GET', f'/read/{number}', b'')
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def find_late(self):
        """The comings sent 3 s after the third crash that reached a backend."""
        if len(self.crashes) < 3:
            return []
        since = self.crashes[2] + STABLE_WINDOW_S
        return sorted({
            attempt for _at, attempt in self.arrivals
            if self.sent_at[attempt] > since
        })


async def main():
    lab = stand.Lab(FOLDER)
    traffic = Traffic(lab)
    for number in range(BACKENDS):
        lab.add_side(f'side-{number}', 'desk', SLOTS, traffic.work)
    for number in range(BACKENDS, BACKENDS + FRONTS):
        lab.add_side(f'side-{number}', 'front', SLOTS, traffic.work)
    try:
        await lab.start_all()
        await lab.configure([
            stand.route('r-desk', '/desk/', 'desk', 'non_idempotent', 3.0),
            stand.route('r-read', '/read/', 'desk', 'idempotent', 3.0),
            stand.service('desk'), stand.service('front'), stand.LIMITS,
        ])
        await lab.wait_ready()
        await asyncio.sleep(5)
        usual = asyncio.create_task(
            traffic.send_usual(time.monotonic() + TIMES * PAUSE_S)
        )
        fronts = list(lab.backends)[BACKENDS:]
        for coming in range(TIMES):
            await traffic.send(
                fronts[coming % FRONTS], 'POST', PATH, traffic.body
            )
            await asyncio.sleep(PAUSE_S)
        await usual
        late = traffic.find_late()
        text = (
            f'came {TIMES} times, {len(traffic.arrivals)} runs begun, '
            f'{len(traffic.crashes)} crashes, {len(late)} comings reached a '
            f'backend later than {STABLE_WINDOW_S} s after the third crash '
            f'(allowed: {MOST_RETRIES}), answers {traffic.outcomes}'
        )
        lab.record.write(text)
        print(text)
        return len(late) > MOST_RETRIES
    finally:
        for task in tuple(traffic.tasks):
            task.cancel()
        await lab.close()


stand.run(main)
