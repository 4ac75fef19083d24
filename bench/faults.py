"""Counts lost, cut and duplicated requests while upstreams fail.

Upstreams are drained, killed and restarted, and the configuration changes,
while reads and bookings are sent. The upstreams record each run of a request,
so runs are counted and not inferred. Bookings carry no idempotency key here,
because the proxy itself must not send one twice.
"""

from asyncio import create_task, sleep, to_thread
from collections import Counter
from pathlib import Path
from signal import SIGTERM
from typing import Any, NamedTuple

from bench.client import Client, Reply, encode_request, send_at_rate
from bench.fleet import BenchFleet

#: Requests a second.
RATE = 200
SECONDS = 10
#: Pause before and after each fault, in seconds.
STEP_S = 0.5
_UPSTREAM_OPTIONS = ('--latency-ms', '5')


class SentRequest(NamedTuple):
    """A sent request and the response to it."""

    request_id: str
    is_booking: bool
    reply: Reply

    @property
    def verdict(self) -> str:
        """The verdict in the response headers; empty if there is none."""
        return self.reply.headers.get('bilberry-verdict', '')


class FaultInjector:
    """Injects faults into the upstreams of a fleet, one at a time."""

    def __init__(self, fleet: BenchFleet) -> None:
        """Starts two upstreams, one beside each daemon."""
        self.injected: Counter[str] = Counter()
        self._fleet = fleet
        self._upstreams = [
            fleet.start_upstream(index, *_UPSTREAM_OPTIONS)
            for index in range(2)
        ]

    async def inject_faults(self) -> None:
        """Drains and kills the upstreams in turn, and starts them again.

        Sends the daemons a new version of the configuration each time.
        """
        for index in (1, 0, 1):
            await self._restart_upstream(index, 'drain')
            await self._restart_upstream(index, 'kill')

    async def _restart_upstream(self, index: int, fault: str) -> None:
        await sleep(STEP_S)
        process = self._upstreams[index].process
        if fault == 'kill':
            process.kill()
        else:
            process.send_signal(SIGTERM)
        await to_thread(process.wait)
        self._fleet.send_endpoints()
        await sleep(STEP_S)
        start = self._fleet.start_upstream
        self._upstreams[index] = await to_thread(
            start, index, *_UPSTREAM_OPTIONS
        )
        self.injected[fault] += 1
        self.injected['change'] += 1


async def measure_faults(fleet: BenchFleet) -> dict[str, Any]:
    """Returns the counts; lost, cut and duplicated requests must be 0."""
    injector = FaultInjector(fleet)
    clients = [Client(fleet.get_callers_address(index)) for index in range(2)]

    async def send_one(index: int) -> SentRequest:
        is_booking = index % 2 == 0
        request = encode_request(
            'POST' if is_booking else 'GET',
            '/lookup',
            b'cooler' if is_booking else b'',
            x_request_id=f'r{index}',
        )
        reply = await clients[index // 2 % 2].send(request)
        return SentRequest(f'r{index}', is_booking, reply)

    task = create_task(injector.inject_faults())
    sent = await send_at_rate(RATE, RATE * SECONDS, send_one)
    await task
    runs = Counter(Path(fleet.record_file).read_text().split())
    return count_outcomes(sent, runs) | {'faults': dict(injector.injected)}


def count_outcomes(
    sent: list[SentRequest], runs: Counter[str]
) -> dict[str, Any]:
    """Returns how many requests ended in each way."""
    bookings = [one for one in sent if one.is_booking]
    return {
        'requests': len(sent),
        'answered': sum(one.reply.status == 200 for one in sent),
        'told_not_run': sum(one.verdict == 'not_run' for one in sent),
        'told_may_have_run': sum(one.verdict == 'may_have_run' for one in sent),
        'told_ran': sum(one.verdict == 'ran' for one in sent),
        'lost_or_cut': sum(one.reply.status == 0 for one in sent),
        'unexplained': sum(
            one.reply.status not in {0, 200} and not one.verdict for one in sent
        ),
        'wrong_answers': sum(
            one.reply.status == 200
            and one.reply.body != (b'cooler' if one.is_booking else b'/lookup')
            for one in sent
        ),
        'bookings_doubled': sum(runs[one.request_id] > 1 for one in bookings),
        'answered_without_run': sum(
            one.reply.status == 200 and not runs[one.request_id] for one in sent
        ),
        'not_run_was_false': sum(
            one.verdict == 'not_run' and runs[one.request_id] > 0
            for one in sent
        ),
    }
