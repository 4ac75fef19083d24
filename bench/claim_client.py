"""Claims and settles keys, and prints the latencies as JSON.

Arguments: name, the epoch as JSON, number of claims, workers, claims a second
(0 for as fast as responses arrive), bytes of the body of a stored response.
"""

from asyncio import gather, get_running_loop, sleep
from json import dumps, loads
from random import Random
from sys import argv
from time import perf_counter

from bilberry_claims.client import ClaimClient
from bilberry_core.board import Board, ClaimEpoch
from bilberry_core.claim import Attempt, ClaimKey, Granted, StoredAnswer
from bilberry_core.clock import SystemClock
from bilberry_core.stream import Credentials
from msgspec import convert
from uvloop import run

TIMEOUT_S = 10
RETENTION_S = 86_400
HEADERS = ((b'content-type', b'application/json'),)


class LoadGenerator:
    """A claim client that generates load and records its latencies."""

    def __init__(self, name: str, epoch: ClaimEpoch, answer_bytes: int) -> None:
        """Settles each claim with a response of `answer_bytes` bytes."""
        board = Board()
        board.claim_epoch.put(epoch)
        self.name = name
        self.answer = StoredAnswer(201, HEADERS, b'x' * answer_bytes)
        self.claim_s: list[float] = []
        self.settle_s: list[float] = []
        self.failed = 0
        self.client = ClaimClient(
            board,
            Credentials('bench', name, b'secret'),
            SystemClock(),
            Random(name),
        )

    async def claim(self, number: int) -> None:
        """Claims and settles one new key."""
        key = f'{self.name}-{number:020}'
        attempt = Attempt(
            ClaimKey('booking', key),
            f'{number:016}'.encode(),
            b'f' * 16,
            RETENTION_S,
        )
        started = perf_counter()
        outcome = await self.client.claim(attempt, TIMEOUT_S)
        claimed = perf_counter()
        if not isinstance(outcome, Granted):
            self.failed += 1
            return
        settled = await self.client.settle(attempt, self.answer, TIMEOUT_S)
        self.claim_s.append(claimed - started)
        self.settle_s.append(perf_counter() - claimed)
        self.failed += not settled

    async def run_closed_loop(self, count: int, workers: int) -> None:
        """Claims `count` keys in a closed loop with `workers` workers."""

        async def work(worker: int) -> None:
            for number in range(worker, count, workers):
                await self.claim(number)

        await gather(*(work(worker) for worker in range(workers)))

    async def run_open_loop(self, count: int, rate: int) -> None:
        """Claims `rate` keys a second in an open loop.

        A claim never waits for the response to an earlier one.
        """
        loop = get_running_loop()
        started = loop.time()
        running = []
        for number in range(count):
            await sleep(max(started + number / rate - loop.time(), 0))
            running.append(loop.create_task(self.claim(number)))
        await gather(*running)


async def measure(
    name: str,
    epoch: str,
    count: str,
    workers: str,
    rate: str,
    answer_bytes: str,
) -> None:
    """Warms up, waits for a line of input, runs and prints the report."""
    load = LoadGenerator(
        name, convert(loads(epoch), ClaimEpoch), int(answer_bytes)
    )
    for number in range(100):
        await load.claim(-number - 1)
    load.claim_s.clear()
    load.settle_s.clear()
    print('ready', flush=True)
    input()
    started = perf_counter()
    if int(rate):
        await load.run_open_loop(int(count), int(rate))
    else:
        await load.run_closed_loop(int(count), int(workers))
    report = {
        'seconds': perf_counter() - started,
        'claim_s': load.claim_s,
        'settle_s': load.settle_s,
        'failed': load.failed,
    }
    print(dumps(report), flush=True)


if __name__ == '__main__':
    run(measure(*argv[1:]))
