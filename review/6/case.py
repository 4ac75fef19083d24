"""A request that crashes its backends, and other callers' like it."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))

from backend import Backend
from case import TROUBLE, run_case
from fleet import OUTBOUND, Fleet, build_document, fetch, put_config, route

#: Requests of other callers, a second.
RATE = 40
#: Time between two arrivals of the request that crashes backends, in seconds.
GAP_S = 4.0
#: How often it comes.
TIMES = 10
#: Time after which a backend that crashed is back, in seconds.
DOWN_S = 2.0
#: StableWindowS of the settings.
STABLE_S = 3.0
#: What the rule allows.
ALLOWED = 3
PATH = '/stock/list'
HOST = 'target.example'
CALLERS, OTHERS, TARGET = 'svc-a', 'svc-b', 'svc-t'


async def play(record):
    fleet = Fleet([CALLERS] * 2 + [OTHERS] * 3 + [TARGET] * 3)
    backends = [Backend(side, record) for side in fleet.sides]
    crashes, arrivals, answers = [], [], []
    tasks = set()

    async def come_back(backend):
        await asyncio.sleep(DOWN_S)
        await backend.start()
        record(f'backend {backend.id} is back')

    async def behave(backend, method, target, found, body, writer):
        if found.get('x-caller-service') == CALLERS:
            arrivals.append(time.monotonic())
            if TROUBLE:
                await asyncio.sleep(0.01)
                crashes.append(time.monotonic())
                record(f'backend {backend.id} crashes on it')
                await backend.crash()
                tasks.add(asyncio.create_task(come_back(backend)))
                return False
        await asyncio.sleep(random.uniform(0.004, 0.01))
        return None

    async def request(side, attempt):
        try:
            status, _, _ = await fetch(
                side.ip, OUTBOUND, 'GET', PATH,
                {'Host': HOST, 'X-Attempt-Id': attempt, 'X-Deadline-Ms': '1500'},
                timeout_s=3,
            )
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        answers.append((attempt, status))
        record(f'{attempt} at {side.name} ({side.service}): {status}')

    for backend in backends[5:]:
        backend.behaviour = behave
    try:
        await fleet.start()
        for backend in backends:
            await backend.start()
        routes = {
            'r1': route(HOST, '/stock/', 'idempotent', TARGET, attempts=1),
        }
        services = [CALLERS, OTHERS, TARGET]
        await put_config(fleet, build_document(1, 0, routes, services))
        await fleet.wait_ready()
        await asyncio.sleep(STABLE_S + 1)
        began = time.monotonic()
        came = 0
        for number in range(int(RATE * (5 + GAP_S * TIMES))):
            side = fleet.sides[2 + number % 3]
            tasks.add(asyncio.create_task(request(side, f'other-{number}')))
            now = time.monotonic() - began
            if came < TIMES and now >= 5 + GAP_S * came:
                side = fleet.sides[came % 2]
                tasks.add(asyncio.create_task(request(side, f'same-{came}')))
                came += 1
            await asyncio.sleep(max(0, (number + 1) / RATE - now))
        await asyncio.gather(*tasks)
        if any(one.process.returncode is not None for one in fleet.machines):
            raise RuntimeError('a process of the system has ended')
        others = [status for name, status in answers if name.startswith('other')]
        record.say(
            f'other callers: {others.count(200)} of {len(others)} got 200; '
            f'the request came {came} times and reached a backend '
            f'{len(arrivals)} times; {len(crashes)} crashes',
        )
        if not TROUBLE and others.count(200) < 0.95 * len(others):
            raise RuntimeError('requests fail without the disruption')
        if len(crashes) < 3:
            return True
        later = [at for at in arrivals if at > crashes[2] + STABLE_S]
        record.say(
            f'it reached a backend {len(later)} times later than '
            f'{STABLE_S:g} s after its third crash; allowed are {ALLOWED}',
        )
        return len(later) <= ALLOWED
    finally:
        await fleet.stop()


run_case(__file__, play)
