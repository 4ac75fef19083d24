"""A backend has left, and then processes are killed and started again.

Those are the processes of the core and the one beside the backend.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))

from backend import Backend
from case import TROUBLE, run_case
from fleet import OUTBOUND, Fleet, build_document, fetch, put_config, route

#: Requests a second.
RATE = 20
#: Time from the acknowledged departure to the kill, in seconds.
KILL_S = 0.5
#: Time for which the processes are down, in seconds.
DOWN_S = 0.8
#: By how much the last heartbeat before the departure is late, in seconds.
LATE_S = 8.0
#: Time for which the backend serves on after its departure, in seconds.
SERVES_S = 16.0
#: HeartbeatS, DrainS and StableWindowS of the settings.
HEARTBEAT_S, DRAIN_S, STABLE_S = 1.5, 2.0, 3.0
HOST = 'target.example'
CALLERS, TARGET = 'svc-a', 'svc-t'


async def play(record):
    fleet = Fleet([CALLERS] * 2 + [TARGET] * 3, heartbeat_s=HEARTBEAT_S)
    backends = [Backend(side, record) for side in fleet.sides]
    leaving = backends[-1]
    answers, tasks = [], set()

    async def request(number):
        side = fleet.sides[number % 2]
        attempt = f'r-{number}'
        try:
            status, _, _ = await fetch(
                side.ip, OUTBOUND, 'GET', '/list/',
                {'Host': HOST, 'X-Attempt-Id': attempt, 'X-Deadline-Ms': '1500'},
                timeout_s=3,
            )
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        answers.append((time.monotonic(), status))
        record(f'{attempt} at {side.name}: {status}')

    async def send_forever():
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(request(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / RATE)

    async def kill():
        machines = [*fleet.cores, leaving.machine]
        record(f'killed: {[one.name for one in machines]}')
        await asyncio.gather(*(one.kill() for one in machines))
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(one.start() for one in machines))
        record('they are started')
        return time.monotonic()

    try:
        await fleet.start()
        for backend in backends:
            await backend.start()
        routes = {'r1': route(HOST, '/list/', 'idempotent', TARGET)}
        await put_config(fleet, build_document(1, 0, routes, [CALLERS, TARGET]))
        await fleet.wait_ready()
        sending = asyncio.create_task(send_forever())
        await asyncio.sleep(STABLE_S + 2)
        before = len(leaving.runs)
        if not before:
            raise RuntimeError('the backend gets no requests')
        # The network holds this heartbeat back.
        leaving.beats.cancel()
        leaving.sequence += 1
        late = leaving.sequence
        record(f'backend {leaving.id} sends heartbeat {late}, which is late')
        beat_at = time.monotonic()
        await asyncio.sleep(0.2)
        status, _, _ = await leaving.leave()
        left_at = time.monotonic()
        record(f'backend {leaving.id} sends DELETE: {status}')
        if status != 200:
            raise RuntimeError('the departure is not acknowledged')
        await asyncio.sleep(KILL_S)
        started_at = await kill() if TROUBLE else time.monotonic()
        await asyncio.sleep(max(0, beat_at + LATE_S - time.monotonic()))
        status, _, _ = await leaving.beat('ready', sequence=late)
        record(f'heartbeat {late} arrives: {status}')
        await asyncio.sleep(max(0, left_at + SERVES_S - time.monotonic()))
        sending.cancel()
        record(f'backend {leaving.id} exits')
        await leaving.crash()
        if any(one.process.returncode is not None for one in fleet.machines):
            raise RuntimeError('a process of the system has ended')
        served = [
            status for at, status in answers if at > left_at + SERVES_S - 4
        ].count(200)
        since = max(left_at + DRAIN_S, started_at + 2 * STABLE_S)
        later = [run for run in leaving.runs if run[0] > since]
        record.say(
            f'{before} requests reached the backend before its departure, and '
            f'{len(later)} later than {DRAIN_S:g} s after it was acknowledged '
            f'and {2 * STABLE_S:g} s after the last start of a process; '
            f'{served} requests got 200 in the last 4 s',
        )
        if not served:
            raise RuntimeError('no request is served in the end')
        return not later
    finally:
        await fleet.stop()


run_case(__file__, play)
