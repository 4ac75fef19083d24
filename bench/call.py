"""Measures requests: latency, overload, faults, bookings and rate limits.

All processes run on loopback. To measure the added latency, each request is
sent directly, through the naive proxy, through two raw byte relays (the
minimum for two hops on this machine) and through two daemons, in rotating
order within one run. Writes docs/measurements/call.json.
"""

from argparse import ArgumentParser
from asyncio import gather
from contextlib import ExitStack
from json import dumps
from os import getloadavg
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from uvloop import run

from bench.bookings import measure_bookings
from bench.client import Client, Reply, encode_get, send_at_rate
from bench.faults import measure_faults
from bench.fleet import SLOTS, BenchFleet
from bench.limits import measure_limits
from bench.percentiles import summarize
from bench.processes import BenchProcess

#: Requests a second.
RATES = (50, 200, 370)
WARM_CALLS = 300
#: Under overload, one request in this many is urgent.
URGENT_SHARE = 10
#: Time that the upstream takes for a request under overload.
LATENCY_MS = 40
URGENT_DEADLINE_S = 0.5
REQUEST_HEADERS = {'user_agent': 'van/1.0', 'accept': 'application/json'}
RESULT = Path('docs/measurements/call.json')


async def measure_rate(
    clients: dict[str, Client],
    nodes: list[BenchProcess],
    rate: int,
    seconds: float,
) -> dict[str, Any]:
    """Sends every request through each client; returns latencies in ms.

    A request counts as failed unless all clients got status 200 for it.
    """
    request = encode_get('/lookup', **REQUEST_HEADERS)
    count = int(rate * seconds)
    names = list(clients)

    async def send_all(index: int) -> dict[str, float]:
        shift = index % len(names)
        latencies_s = {}
        for name in names[shift:] + names[:shift]:
            reply: Reply = await clients[name].send(request)
            latencies_s[name] = reply.seconds if reply.status == 200 else None
        return latencies_s

    before = [node.cpu_s() for node in nodes]
    rows = await send_at_rate(rate, count, send_all)
    cpu_used_s = [
        node.cpu_s() - start for node, start in zip(nodes, before, strict=True)
    ]
    complete = [row for row in rows if None not in row.values()]
    added = {
        name: summarize([row[name] - row['direct'] for row in complete])
        for name in names
        if name != 'direct'
    }
    return {
        'calls_per_s': rate,
        'calls': count,
        'failed': count - len(complete),
        'latency_ms': {
            name: summarize([row[name] for row in complete]) for name in names
        },
        'added_ms': added,
        'cpu_us_per_call': [round(one / count * 1e6) for one in cpu_used_s],
        'load_average': round(getloadavg()[0], 2),
    }


async def measure_saturation(
    client: Client, nodes: list[BenchProcess], calls: int, workers: int = 8
) -> dict[str, Any]:
    """Sends requests in a closed loop; returns the throughput per core."""
    request = encode_get('/lookup', **REQUEST_HEADERS)
    before = [node.cpu_s() for node in nodes]
    seconds: list[float] = []

    async def send_calls() -> int:
        failed = 0
        for _ in range(calls // workers):
            reply = await client.send(request)
            failed += reply.status != 200
            seconds.append(reply.seconds)
        return failed

    failed = sum(await gather(*(send_calls() for _ in range(workers))))
    cpu_used_s = [
        node.cpu_s() - start for node, start in zip(nodes, before, strict=True)
    ]
    return {
        'calls': len(seconds),
        'failed': failed,
        'calls_per_s': round(len(seconds) / (sum(seconds) / workers)),
        'latency_ms': summarize(seconds),
        'calls_per_core_s': [round(len(seconds) / one) for one in cpu_used_s],
    }


async def measure_overload(client: Client, factor: int) -> dict[str, Any]:
    """Sends `factor` times what the upstream can serve, for 6 seconds.

    One request in ten is urgent.
    """
    capacity = SLOTS / LATENCY_MS * 1000
    urgent = encode_get('/urgent', **REQUEST_HEADERS)
    deferrable = encode_get('/deferrable', **REQUEST_HEADERS)

    async def send_one(index: int) -> tuple[bool, Reply]:
        is_urgent = index % URGENT_SHARE == 0
        return is_urgent, await client.send(urgent if is_urgent else deferrable)

    rate = capacity * factor
    rows = await send_at_rate(rate, int(rate * 6), send_one)
    result: dict[str, Any] = {'factor': factor, 'calls_per_s': rate}
    for name, want_urgent in (('urgent', True), ('deferrable', False)):
        replies = [
            reply for is_urgent, reply in rows if is_urgent is want_urgent
        ]
        in_time = [
            reply
            for reply in replies
            if reply.status == 200 and reply.seconds < URGENT_DEADLINE_S
        ]
        shed = [reply.seconds for reply in replies if reply.status == 503]
        result[name] = {
            'calls': len(replies),
            'in_time_share': round(len(in_time) / len(replies), 4),
            'shed': len(shed),
            'shed_latency_ms': summarize(shed) if shed else None,
            'other': len(replies)
            - sum(reply.status in {200, 503} for reply in replies),
        }
    return result


async def warm(clients: dict[str, Client]) -> None:
    """Opens connections and warms up every process with requests."""
    request = encode_get('/lookup', **REQUEST_HEADERS)
    for client in clients.values():
        await client.warm(8)
        for _ in range(WARM_CALLS):
            await client.send(request)


async def measure_latency(
    fleet: BenchFleet, upstream: BenchProcess, seconds: float
) -> dict[str, Any]:
    """Returns added latency at each rate, saturation and memory in MiB."""
    upstream_address = upstream.first_line
    inner_relay = fleet.start('bench.relay', upstream_address)
    outer_relay = fleet.start('bench.relay', inner_relay.first_line)
    naive = fleet.start('bench.naive_proxy', upstream_address)
    clients = {
        'direct': Client(upstream.address),
        'naive': Client(naive.address),
        'relays': Client(outer_relay.address),
        'proxy': Client(fleet.callers),
    }
    await warm(clients)
    idle_memory = [round(node.memory_mb(), 1) for node in fleet.nodes]
    rates = [
        await measure_rate(clients, fleet.nodes, rate, seconds)
        for rate in RATES
    ]
    saturation = {
        'naive': await measure_saturation(clients['naive'], [], 8000),
        'proxy': await measure_saturation(clients['proxy'], fleet.nodes, 8000),
    }
    return {
        'rates': rates,
        'saturation': saturation,
        'memory_mb': {
            'idle': idle_memory,
            'after': [round(node.memory_mb(), 1) for node in fleet.nodes],
        },
    }


async def measure(seconds: float) -> dict[str, Any]:
    """Measures latency, overload, faults, bookings and limits in turn."""
    with ExitStack() as stack, TemporaryDirectory() as folder:
        fleet = BenchFleet(stack, folder)
        upstream = fleet.start_upstream(1)
        result = {'reads': await measure_latency(fleet, upstream, seconds)}
    with ExitStack() as stack, TemporaryDirectory() as folder:
        fleet = BenchFleet(stack, folder)
        fleet.start_upstream(1, '--latency-ms', str(LATENCY_MS))
        client = Client(fleet.callers)
        await warm({'proxy': client})
        result['overload'] = [
            await measure_overload(client, factor) for factor in (2, 5)
        ]
    with ExitStack() as stack, TemporaryDirectory() as folder:
        result['faults'] = await measure_faults(BenchFleet(stack, folder))
    result['bookings'] = await measure_bookings(summarize)
    result['limits'] = await measure_limits()
    return result


if __name__ == '__main__':
    parser = ArgumentParser(description='Measures calls.')
    parser.add_argument('--seconds', type=float, default=10)
    measured = run(measure(parser.parse_args().seconds))
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(f'{dumps(measured, indent=2)}\n')
    print(dumps(measured, indent=2))
