"""Clients send requests ahead, and two of nine backends break off answers.

A route is split over two services; the backends of the second one are sound.
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
SLOTS, CLIENTS, AHEAD = 12, 12, 4
ANSWER_BYTES = int(os.environ.get('ANSWER', 90_000))
GARBLED, SHARE, TIMES, GARBLE_S, CALM_S = ('side-0', 'side-1'), 0.02, 6, 5.5, 2.0
DEADLINE_S = 3.0
MOST = 3


class Traffic:
    def __init__(self, lab):
        self.lab = lab
        self.is_garbling = False
        self.runs = {}
        self.broken = set()
        self.ended = {}
        self.cut = []

    async def work(self, backend, method, path, headers, body):
        attempt = headers['x-attempt-id']
        self.runs.setdefault(attempt, []).append(backend.name)
        await asyncio.sleep(0.05)
        answer = random.Random(attempt).randbytes(ANSWER_BYTES)
        is_hit = backend.name in GARBLED and random.random() < SHARE
        if self.is_garbling and is_hit:
            self.broken.add(attempt)
            self.lab.record.write(f'{attempt} broken off by {backend.name}')
            return stand.BrokenOff(answer, ANSWER_BYTES * 8 // 10)
        return answer

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
                await self._use(name, reader, writer, until)
            finally:
                writer.close()
            await asyncio.sleep(0.05)

    async def _use(self, name, reader, writer, until):
        """One request, then several at a time on the kept connection."""
        count = 1
        while time.monotonic() < until:
            waiting = [f'{random.getrandbits(64):016x}' for _ in range(count)]
            count = AHEAD
            for attempt in waiting:
                self.lab.record.write(f'{attempt} sent to {name}')
                writer.write(
                    f'GET /page/{attempt} HTTP/1.1\r\nHost: {HOST}\r\n'
                    f'X-Attempt-Id: {attempt}\r\n'
                    f'X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n'.encode()
                )
            try:
                async with asyncio.timeout(DEADLINE_S + 1):
                    for place, attempt in enumerate(tuple(waiting)):
                        response = await stand.read_response(reader)
                        self.note(attempt, response.status)
                        waiting.remove(attempt)
                        if response.headers.get('connection') == 'close':
                            for left in waiting:
                                self.note(left, 'not read')
                            return
            except TimeoutError:
                for attempt in waiting:
                    self.note(attempt, 'late')
                return
            except (OSError, asyncio.IncompleteReadError):
                for place, attempt in enumerate(waiting):
                    self.note(attempt, 'broken' if not place else 'cut')
                    if place:
                        self.cut.append(attempt)
                return

    def note(self, attempt, ending):
        self.lab.record.write(
            f'{attempt} ended: {ending}; run by {self.runs.get(attempt)}'
        )
        self.ended[ending] = self.ended.get(ending, 0) + 1


async def main():
    lab = stand.Lab(FOLDER)
    traffic = Traffic(lab)
    for number in range(6):
        part = 'pages-a' if number < 3 else 'pages-b'
        lab.add_side(f'side-{number}', part, SLOTS, traffic.work)
    for number in range(6, 9):
        lab.add_side(f'side-{number}', 'front', SLOTS, traffic.work)
    try:
        await lab.start_all()
        page = stand.route('r-page', '/page/', '', 'idempotent', 3.0)
        del page['Spec']['Service']
        page['Spec']['TrafficSplit'] = [
            {'Service': 'pages-a', 'Weight': 50},
            {'Service': 'pages-b', 'Weight': 50},
        ]
        await lab.configure([
            page, stand.service('pages-a'), stand.service('pages-b'),
            stand.service('front'), stand.LIMITS,
        ])
        await lab.wait_ready()
        await asyncio.sleep(5)
        until = time.monotonic() + TIMES * (GARBLE_S + CALM_S) + 1
        names = list(lab.backends)
        using = [
            asyncio.create_task(
                traffic.use_connections(names[number % len(names)], until)
            )
            for number in range(CLIENTS)
        ]
        for _ in range(TIMES):
            await asyncio.sleep(CALM_S)
            traffic.is_garbling = TROUBLE
            await asyncio.sleep(GARBLE_S)
            traffic.is_garbling = False
        await asyncio.wait(using)
        await asyncio.sleep(1)
        lost = [
            attempt for attempt in traffic.cut
            if traffic.runs.get(attempt)
            and not set(GARBLED) & set(traffic.runs[attempt])
        ]
        text = (
            f'{sum(traffic.ended.values())} requests, {traffic.ended}, '
            f'{len(traffic.broken)} answers broken off; {len(lost)} requests '
            f'were run by other backends and cut (allowed: {MOST})'
        )
        lab.record.write(text)
        print(text)
        return len(lost) > MOST
    finally:
        await lab.close()


stand.run(main)
