"""Two backends of a service crash shortly one after the other."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))

from backend import Backend
from case import TROUBLE, run_case
from fleet import OUTBOUND, Fleet, build_document, fetch, put_config, route

#: Interval between requests on each route, in seconds.
GAP_S = 1.5
#: Time that a backend works on a request of the added route, in seconds.
WORK_S = 1.0
#: Time from the start of a run to the first crash, and from that to the
#: second, in seconds.
FIRST_S, SECOND_S = 0.2, 0.6
#: Time after which a backend that crashed is back, in seconds.
DOWN_S = 2.0
#: StableWindowS and ConfigApplyS of the settings.
STABLE_S, APPLY_S = 3.0, 2.0
#: Requests on the added route in steady state.
LEAST = 24
HOST = 'target.example'
CALLERS, FIRST, ADDED = 'svc-a', 'svc-f', 'svc-n'


async def play(record):
    fleet = Fleet([CALLERS] * 2 + [FIRST] * 2 + [ADDED] * 2)
    backends = [Backend(side, record) for side in fleet.sides]
    added = backends[4:]
    answers, tasks = [], set()
    armed, crashed = asyncio.Event(), asyncio.Event()

    async def crash(backend):
        record(f'backend {backend.id} crashes')
        await backend.crash()
        await asyncio.sleep(DOWN_S)
        await backend.start()
        record(f'backend {backend.id} is back')

    async def crash_both(backend):
        await asyncio.sleep(FIRST_S)
        tasks.add(asyncio.create_task(crash(backend)))
        await asyncio.sleep(SECOND_S)
        other = added[1 - added.index(backend)]
        await crash(other)
        crashed.set()

    async def behave(backend, method, target, found, body, writer):
        if armed.is_set():
            armed.clear()
            tasks.add(asyncio.create_task(crash_both(backend)))
        await asyncio.sleep(WORK_S)
        return None

    async def request(side, path, attempt):
        sent = time.monotonic()
        try:
            status, _, _ = await fetch(
                side.ip, OUTBOUND, 'GET', path,
                {'Host': HOST, 'X-Attempt-Id': attempt, 'X-Deadline-Ms': '4000'},
                timeout_s=6,
            )
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        answers.append((sent, path, status))
        record(f'{attempt} {path} at {side.name}: {status}')

    def send(number):
        for path in ('/first/', '/added/'):
            side = fleet.sides[number % 2]
            attempt = f'{path.strip("/")}-{number}'
            tasks.add(asyncio.create_task(request(side, path, attempt)))

    for backend in added:
        backend.behaviour = behave
    try:
        await fleet.start()
        for backend in backends:
            await backend.start()
        services = [CALLERS, FIRST, ADDED]
        routes = {'r1': route(HOST, '/first/', 'idempotent', FIRST)}
        await put_config(fleet, build_document(1, 0, routes, services))
        await fleet.wait_ready()
        await asyncio.sleep(STABLE_S)
        routes['r2'] = route(HOST, '/added/', 'idempotent', ADDED, timeout_s=4)
        await put_config(fleet, build_document(2, 1, routes, services))
        record('the added route is acknowledged')
        await asyncio.sleep(APPLY_S + STABLE_S)
        number = 0
        for _ in range(4):
            send(number)
            number += 1
            await asyncio.sleep(GAP_S)
        if TROUBLE:
            armed.set()
        else:
            crashed.set()
        while not crashed.is_set():
            send(number)
            number += 1
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(STABLE_S)
        steady = time.monotonic()
        record('steady state')
        for _ in range(LEAST):
            send(number)
            number += 1
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)
        if any(one.process.returncode is not None for one in fleet.machines):
            raise RuntimeError('a process of the system has ended')
        shares = {}
        for path in ('/first/', '/added/'):
            early = [one[2] for one in answers if one[1] == path and one[0] < steady]
            late = [one[2] for one in answers if one[1] == path and one[0] >= steady]
            shares[path] = late.count(200) / len(late)
            record.say(
                f'{path}: {early.count(200)} of {len(early)} got 200 before, '
                f'{late.count(200)} of {len(late)} in steady state; other '
                f'answers there: {sorted({str(one) for one in late} - {"200"})}',
            )
        if shares['/first/'] < 0.9:
            raise RuntimeError('the first route is not served')
        return shares['/added/'] >= shares['/first/'] / 4
    finally:
        await fleet.stop()


run_case(__file__, play)
