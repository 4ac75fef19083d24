"""Requests with a key that no configuration ever held."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))

from backend import Backend
from case import TROUBLE, run_case
from fleet import OUTBOUND, Fleet, build_document, fetch, put_config, route

HOST = 'target.example'
CALLERS, TARGET = 'svc-a', 'svc-t'
#: A key of the tenant, and one that no configuration holds.
KNOWN, UNKNOWN = '92cqf75rjvz48wuakn2f', 'timaj3nr26tta828m82t'
#: StableWindowS of the settings.
STABLE_S = 3.0
#: Requests of each form on each route.
TIMES = 20


async def play(record):
    fleet = Fleet([CALLERS] * 2 + [TARGET] * 2)
    backends = [Backend(side, record) for side in fleet.sides]
    answers = {}

    async def request(side, path, attempt, key):
        headers = {
            'Host': HOST, 'X-Attempt-Id': attempt, 'X-Deadline-Ms': '1500',
        }
        if key:
            headers['Authorization'] = f'Bearer {key}'
        status, _, _ = await fetch(
            side.ip, OUTBOUND, 'GET', path, headers, timeout_s=3,
        )
        answers[attempt] = status
        record(f'{attempt} {path} with key {key} at {side.name}: {status}')

    try:
        await fleet.start()
        for backend in backends:
            await backend.start()
        closed = route(HOST, '/orders/', 'idempotent', TARGET)
        opened = route(HOST, '/public/', 'idempotent', TARGET)
        routes = {
            'r1': closed | {'AllowAnonymous': False},
            'r2': opened | {'AllowAnonymous': True},
        }
        tenants = {'tenant-1': {'ApiKeys': [KNOWN], 'Priority': 1}}
        await put_config(
            fleet, build_document(1, 0, routes, [CALLERS, TARGET], tenants),
        )
        await fleet.wait_ready()
        await asyncio.sleep(STABLE_S)
        for number in range(TIMES):
            side = fleet.sides[number % 2]
            for path in ('/orders/', '/public/'):
                name = f'{path.strip("/")}-{number}'
                await request(side, path, f'known-{name}', KNOWN)
                if TROUBLE:
                    await request(side, path, f'unknown-{name}', UNKNOWN)
            await request(side, '/public/', f'none-{number}', '')
        runs = [run[1] for backend in backends for run in backend.runs]
        sent = [one for one in answers if one.startswith('unknown')]
        ran = [one for one in runs if one.startswith('unknown')]
        others = [one for one in answers if not one.startswith('unknown')]
        served = sum(answers[one] == 200 for one in others)
        record.say(
            f'{served} of {len(others)} requests with a known key or none '
            f'were served; {len(ran)} of {len(sent)} with an unknown key ran, '
            f'all on an anonymous route: '
            f'{all("public" in one for one in ran)}; their answers: '
            f'{sorted({answers[one] for one in sent})}',
        )
        if served < len(others):
            raise RuntimeError('proper requests are refused')
        return not ran
    finally:
        await fleet.stop()


run_case(__file__, play)
