"""A planned stop while clients send requests ahead on kept connections.

The last request of each client is still on its way when the stop begins.
"""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import lab as stand  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'app.example'
SLOTS, CLIENTS = 12, 8
WORK_S = (0.1, 0.4)
DEADLINE_S = 3.0
#: Time after which the rest of a request follows that came in two parts.
PART_S = 0.2
STOPPED, BEFORE_S, AFTER_S, GRACE_S = 'side-2', 4.0, 1.0, 6.0


class Traffic:
    def __init__(self, lab):
        self.lab = lab
        self.runs = {}
        self.lost = []
        self.ended = {}

    async def work(self, backend, method, path, headers, body):
        attempt = headers['x-attempt-id']
        self.runs[attempt] = backend.name
        self.lab.record.write(f'{attempt} run by {backend.name}')
        await asyncio.sleep(random.uniform(*WORK_S))
        self.lab.record.write(f'{attempt} done at {backend.name}')
        return b'done'

    def encode(self, attempt):
        return (
            f'GET /page/{attempt} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Attempt-Id: {attempt}\r\n'
            f'X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n'.encode()
        )

    async def use_connections(self, name, until):
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(
                    self.lab.hosts[name], stand.CALLERS
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                while time.monotonic() < until:
                    if not await self.send_ahead(name, reader, writer):
                        break
            finally:
                writer.close()

    async def send_ahead(self, name, reader, writer):
        """Three requests at once, the last of them in two parts.

        Returns whether the connection is still open.
        """
        waiting = [f'{random.getrandbits(64):016x}' for _ in range(3)]
        for attempt in waiting:
            self.lab.record.write(f'{attempt} sent to {name}')
        last = self.encode(waiting[-1])
        writer.write(b''.join(map(self.encode, waiting[:-1])) + last[:40])
        rest = asyncio.create_task(self.send_rest(writer, last[40:]))
        try:
            async with asyncio.timeout(DEADLINE_S):
                for attempt in tuple(waiting):
                    response = await stand.read_response(reader)
                    self.note(attempt, response.status)
                    waiting.remove(attempt)
                    if response.headers.get('connection') == 'close':
                        self.end(waiting)
                        return False
            return True
        except TimeoutError:
            for attempt in waiting:
                self.note(attempt, 'late')
            return False
        except (OSError, asyncio.IncompleteReadError):
            self.end(waiting)
            return False
        finally:
            rest.cancel()

    async def send_rest(self, writer, rest):
        await asyncio.sleep(PART_S)
        writer.write(rest)

    def end(self, waiting):
        """The connection has ended; whole requests were passed on or not."""
        for attempt in waiting:
            if attempt in self.runs:
                self.lost.append(attempt)
                self.note(attempt, 'CUT, though it was passed on')
            else:
                self.note(attempt, 'not read')

    def note(self, attempt, ending):
        self.lab.record.write(f'{attempt} ended: {ending}')
        self.ended[ending] = self.ended.get(ending, 0) + 1


async def main():
    lab = stand.Lab(FOLDER)
    traffic = Traffic(lab)
    for number in range(2):
        lab.add_side(f'side-{number}', 'pages', SLOTS, traffic.work)
    for number in range(2, 4):
        lab.add_side(f'side-{number}', 'front', SLOTS, traffic.work)
    try:
        await lab.start_all()
        await lab.configure([
            stand.route('r-page', '/page/', 'pages', 'idempotent', 3.0),
            stand.service('pages'), stand.service('front'), stand.LIMITS,
        ])
        await lab.wait_ready()
        await asyncio.sleep(5)
        until = time.monotonic() + BEFORE_S + AFTER_S
        using = [
            asyncio.create_task(traffic.use_connections(STOPPED, until))
            for _ in range(CLIENTS)
        ]
        await asyncio.sleep(BEFORE_S)
        if TROUBLE:
            lab.signal(STOPPED, signal.SIGTERM)
        await asyncio.wait(using)
        await asyncio.sleep(GRACE_S)
        text = (
            f'{sum(traffic.ended.values())} requests, {traffic.ended}; '
            f'{len(traffic.lost)} were passed on and cut'
        )
        lab.record.write(text)
        print(text)
        return bool(traffic.lost)
    finally:
        await lab.close()


stand.run(main)
