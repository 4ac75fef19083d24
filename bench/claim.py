"""Measures claims: throughput, latency and the size of a stored claim.

Holders and clients are processes on loopback. Each holder syncs to a folder of
its own; all folders are on one disk. Writes docs/measurements/claim.json.
"""

from argparse import ArgumentParser
from contextlib import ExitStack
from json import dumps, loads
from os import getloadavg
from pathlib import Path
from tempfile import TemporaryDirectory
from time import perf_counter, sleep
from typing import Any

from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.disk import SystemDisk

from bench.percentiles import summarize
from bench.processes import BenchProcess

HOLDERS = (3, 5)
CLIENTS = 3
WORKERS = 64
#: Claims a second.
RATES = (50, 200, 500)
STORED_CLAIMS = 100_000
ANSWER_BYTES = 400
RESULT = Path('docs/measurements/claim.json')


def start_holders(stack: ExitStack, folder: str, size: int) -> tuple:
    """Starts holders in three failure domains.

    Returns their processes, and the epoch as JSON.
    """
    processes = []
    holders = []
    for index in range(size):
        name = f'holder-{index}'
        process = stack.enter_context(
            BenchProcess('bench.claim_holder', name, f'{folder}/{name}'),
        )
        processes.append(process)
        holders.append(Holder(name, *process.address, f'domain-{index % 3}'))
    epoch = dumps(ClaimEpoch(1, tuple(holders)))
    for process in processes:
        process.write_line(epoch)
    for process in processes:
        wait_caught_up(process)
    return processes, epoch


def wait_caught_up(process: BenchProcess) -> None:
    """Waits until a holder has copied the claims of the epoch."""
    is_caught_up = False
    while not is_caught_up:
        sleep(0.05)
        process.write_line('')
        is_caught_up = process.read_json()['is_caught_up']


def measure_load(
    holders: list[BenchProcess],
    epoch: str,
    name: str,
    clients: int,
    count: int,
    rate: int = 0,
) -> dict[str, Any]:
    """Claims and settles new keys in `clients` processes at once.

    Without a rate, each client sends as fast as responses arrive.
    """
    with ExitStack() as stack:
        running = [
            stack.enter_context(
                BenchProcess(
                    'bench.claim_client',
                    f'{name}-{index}',
                    epoch,
                    str(count),
                    str(WORKERS),
                    str(rate),
                    str(ANSWER_BYTES),
                ),
            )
            for index in range(clients)
        ]
        before = [holder.cpu_s() for holder in holders]
        for client in running:
            client.write_line('')
        reports = [client.read_json() for client in running]
    cpu_used_s = [
        holder.cpu_s() - start
        for holder, start in zip(holders, before, strict=True)
    ]
    claims = [seconds for one in reports for seconds in one['claim_s']]
    settles = [seconds for one in reports for seconds in one['settle_s']]
    longest = max(one['seconds'] for one in reports)
    return {
        'clients': clients,
        'offered_per_s': rate or None,
        'claims': len(claims),
        'failed': sum(one['failed'] for one in reports),
        'claims_per_s': round(len(claims) / longest),
        'claim_ms': summarize(claims),
        'settle_ms': summarize(settles),
        'holder_cpu_us_per_claim': [
            round(one / len(claims) * 1e6) for one in cpu_used_s
        ],
        'load_average': round(getloadavg()[0], 2),
    }


def measure_holders(size: int, seconds: int) -> dict[str, Any]:
    """Returns latency at each rate and throughput at saturation."""
    with ExitStack() as stack:
        folder = stack.enter_context(TemporaryDirectory(dir='.'))
        holders, epoch = start_holders(stack, folder, size)
        rates = [
            measure_load(holders, epoch, f'r{rate}', 1, rate * seconds, rate)
            for rate in RATES
        ]
        saturation = measure_load(
            holders,
            epoch,
            'fast',
            CLIENTS,
            1000 * seconds,
        )
        return {'holders': size, 'rates': rates, 'saturation': saturation}


def measure_sync() -> dict[str, float]:
    """Returns percentiles of one sync of this disk, in milliseconds.

    No claim can be faster than a sync.
    """
    durations_s = []
    with TemporaryDirectory(dir='.') as folder:
        disk = SystemDisk.open(folder, 'bench')
        for _ in range(500):
            disk.append('file', b'x' * 200)
            started = perf_counter()
            disk.sync('file')
            durations_s.append(perf_counter() - started)
        disk.close()
    return summarize(durations_s)


def measure_store() -> dict[str, Any]:
    """Returns the sizes of stored claims and the time of a restart."""
    result: dict[str, Any] = {'answer_bytes': ANSWER_BYTES}
    with TemporaryDirectory(dir='.') as folder:
        for action in ('fill', 'restart'):
            process = BenchProcess(
                'bench.claim_store',
                action,
                folder,
                str(STORED_CLAIMS),
                str(ANSWER_BYTES),
            )
            result.update(loads(process.first_line))
            process.end()
    return result


def main() -> None:
    """Runs every measurement, prints the figures and writes the file."""
    parser = ArgumentParser()
    parser.add_argument('--seconds', type=int, default=10)
    seconds = parser.parse_args().seconds
    result = {
        'sync_ms': measure_sync(),
        'holders': [measure_holders(size, seconds) for size in HOLDERS],
        'store': measure_store(),
    }
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(f'{dumps(result, indent=2)}\n')
    print(dumps(result, indent=2))


if __name__ == '__main__':
    main()
