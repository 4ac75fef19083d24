"""Measures claimed bookings on real daemons, without and under faults.

Six daemons run in three failure domains; three of them are replicas that hold
claims. Under faults each booking is resent with its idempotency key until it
succeeds. The upstreams record how often each booking ran.
"""

from asyncio import create_task, sleep, to_thread
from collections import Counter
from contextlib import contextmanager
from pathlib import Path
from signal import SIGCONT, SIGSTOP
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

from bilberry_core.endpoint import Address

from bench.client import Client, Reply, encode_request, send_at_rate
from demo.fleet import Fleet, Plan, prepare_fleet, wait_until
from demo.operator import Operator
from demo.record import read_runs

#: Requests a second of each kind (direct, read, booking).
RATES = (50, 200)
#: Bookings a second under faults.
FAULT_RATE = 60
MAX_SENDS = 60
#: Pause before a resend, in seconds.
RESEND_S = 0.25
_HOST = 'callouts.example'
_ALL_ROLES = ('proxy', 'relay', 'replica')
_START_TIMEOUT_S = 30.0
#: Pause before a fault, in seconds.
_STEP_S = 1.5
#: Slow upstreams, so that requests are in flight when a fault occurs.
_SLOW_UPSTREAM = ('--latency-ms', '40')
_CONFIGURATION = """
defaults: {{timeout: 3s, retries: 1, priority: normal}}
services: {{callouts: {{hosts: [callouts.example]}}}}
exceptions:
  bench:
    service: callouts
    path_prefix: /change-{number}
    set: {{priority: urgent}}
    reason: a change amid requests
"""


class BookingOutcome(NamedTuple):
    """The last response to a booking, and how often it was sent."""

    key: str
    reply: Reply
    sends: int


@contextmanager
def open_fleet(*options: str):
    """Starts daemons, and upstreams with options; ends them on exit."""
    plans = [
        Plan(f'{domain}-{index}', domain, roles, 'callouts')
        for domain in ('a', 'b', 'c')
        for index, roles in ((1, _ALL_ROLES), (2, ('proxy',)))
    ]
    with TemporaryDirectory(prefix='bilberry-') as folder:
        fleet = prepare_fleet(Path(folder), plans)
        try:
            for plan in plans:
                fleet.start_daemon(plan.instance)
                fleet.start_upstream(plan.instance, *options)
            yield fleet
        finally:
            fleet.close()


def apply_configuration(fleet: Fleet, number: int) -> None:
    """Applies a configuration that depends on `number`."""
    file = fleet.folder / 'bench.yaml'
    file.write_text(_CONFIGURATION.format(number=number))
    Operator(fleet).apply(file, f'change {number}')


def apply_first_configuration(fleet: Fleet) -> None:
    """Applies a configuration and waits until every upstream is ready.

    Waits for a leader first.
    """

    def has_leader() -> bool:
        status = fleet.read_status('a-1') or {}
        return bool((status.get('replica') or {}).get('leader'))

    def has_endpoints() -> bool:
        status = fleet.read_status('a-1') or {}
        states = status.get('services', {}).get('callouts', {})
        return len(states.get('ready', ())) == len(fleet.members)

    wait_until(has_leader, _START_TIMEOUT_S, 'a leader is elected')
    apply_configuration(fleet, 0)
    wait_until(has_endpoints, _START_TIMEOUT_S, 'every upstream is known')


def build_client(fleet: Fleet, instance: str, port: str = 'callers') -> Client:
    """Returns a client of a daemon's port.

    The port `served` is that of the upstream beside the daemon.
    """
    ports = fleet.members[instance].ports
    return Client(Address('127.0.0.1', getattr(ports, port)))


def encode_booking(key: str) -> bytes:
    """Returns an encoded booking with its idempotency key."""
    return encode_request(
        'POST', '/book', b'cooler', host=_HOST, idempotency_key=key
    )


async def measure_at_rest(fleet: Fleet, rate: int, summarize) -> dict:
    """Returns latencies of reads and bookings without faults."""
    daemon = build_client(fleet, 'a-2')
    direct = build_client(fleet, 'a-2', 'served')
    read = encode_request('GET', '/lookup', b'', host=_HOST)
    seconds: dict[str, list[float]] = {'direct': [], 'read': [], 'booking': []}

    async def send_one(index: int) -> int:
        booking = encode_booking(f'rest-{rate}-{index}')
        failed = 0
        for name, client, request in (
            ('direct', direct, read),
            ('read', daemon, read),
            ('booking', daemon, booking),
        ):
            reply = await client.send(request)
            failed += reply.status != 200
            seconds[name].append(reply.seconds)
        return failed

    failed = await send_at_rate(rate, rate * 5, send_one)
    added = {
        name: summarize(
            [
                one - base
                for one, base in zip(
                    seconds[name], seconds['direct'], strict=True
                )
            ]
        )
        for name in ('read', 'booking')
    }
    return {
        'calls_per_s': rate,
        'failed': sum(failed),
        'latency_ms': {name: summarize(one) for name, one in seconds.items()},
        'added_ms': added,
    }


async def send_until_answered(
    clients: list[Client], key: str
) -> BookingOutcome:
    """Resends a booking, through the daemons in turn.

    Stops at status 200, at code `claim_taken` or after `MAX_SENDS`.
    """
    request = encode_booking(key)
    reply = Reply(0, b'', 0)
    for sends in range(1, MAX_SENDS + 1):
        reply = await clients[sends % len(clients)].send(request)
        code = reply.headers.get('bilberry-code', '')
        if reply.status == 200 or code == 'claim_taken':
            # An earlier send of this booking holds the claim, and
            # whether that one ran is not known.
            return BookingOutcome(key, reply, sends)
        await sleep(RESEND_S)
    return BookingOutcome(key, reply, MAX_SENDS)


async def inject_faults(fleet: Fleet) -> list[str]:
    """Injects one fault after the other; returns their names in order."""
    start_upstream = fleet.start_upstream
    steps = (
        ('daemon drained', fleet.stop_daemon, 'c-1'),
        ('daemon restarted', fleet.start_daemon, 'c-1'),
        ('upstream drained', fleet.stop_upstream, 'a-1'),
        ('upstream restarted', start_upstream, 'a-1', *_SLOW_UPSTREAM),
        ('daemon killed', fleet.kill_daemon, 'b-1'),
        ('daemon restarted', fleet.start_daemon, 'b-1'),
        ('upstream killed', fleet.kill_upstream, 'c-2'),
        ('upstream restarted', start_upstream, 'c-2', *_SLOW_UPSTREAM),
        ('daemon frozen', fleet.signal_daemon, 'c-1', SIGSTOP),
        ('daemon thawed', fleet.signal_daemon, 'c-1', SIGCONT),
    )
    injected = []
    for number, (name, action, *arguments) in enumerate(steps, start=1):
        await sleep(_STEP_S)
        await to_thread(action, *arguments)
        injected.append(name)
        if number % 2 == 0:
            await sleep(_STEP_S)
            await to_thread(apply_configuration, fleet, number)
            injected.append('configuration changed')
    await sleep(_STEP_S)
    return injected


async def measure_under_faults(fleet: Fleet) -> dict[str, Any]:
    """Returns counts of the outcomes of bookings.

    No booking may run twice, get a wrong response or fail without a verdict.
    A booking is in doubt if its daemon was killed while the call was in
    flight: its caller gets the verdict `may_have_run`, because no process
    knows whether it ran.
    """
    clients = [build_client(fleet, name) for name in ('a-2', 'b-2')]
    faults = create_task(inject_faults(fleet))
    sent: list[BookingOutcome] = []
    batch = 0
    while not faults.done():
        batch += 1
        sent += await send_at_rate(
            FAULT_RATE,
            FAULT_RATE,
            lambda index, number=batch: send_until_answered(
                clients, f'f-{number}-{index}'
            ),
        )
    runs = read_runs(fleet)
    unanswered = [one for one in sent if one.reply.status != 200]
    causes = Counter(
        one.reply.headers.get('bilberry-code', str(one.reply.status))
        for one in unanswered
    )
    return {
        'bookings': len(sent),
        'answered': len(sent) - len(unanswered),
        'answered_at_first': sum(one.sends == 1 for one in sent),
        'not_answered': dict(causes),
        'in_doubt_and_not_run': sum(runs[one.key] == 0 for one in unanswered),
        'in_doubt_and_run': sum(runs[one.key] == 1 for one in unanswered),
        'answered_without_run': sum(
            one.reply.status == 200 and not runs[one.key] for one in sent
        ),
        'without_verdict': sum(
            'bilberry-verdict' not in one.reply.headers for one in unanswered
        ),
        'doubled': sum(runs[one.key] > 1 for one in sent),
        'wrong_answers': sum(
            one.reply.status == 200 and one.reply.body != b'cooler'
            for one in sent
        ),
        'faults': await faults,
    }


async def warm(fleet: Fleet) -> None:
    """Applies a configuration, then books through both daemons in use.

    Resends each booking as `send_until_answered` does.
    """
    await to_thread(apply_first_configuration, fleet)
    for name in ('a-2', 'b-2'):
        await send_until_answered([build_client(fleet, name)], f'w-{name}')


async def measure_bookings(summarize) -> dict[str, Any]:
    """Measures one fleet without faults and another one under faults."""
    with open_fleet() as fleet:
        await warm(fleet)
        at_rest = [
            await measure_at_rest(fleet, rate, summarize) for rate in RATES
        ]
    with open_fleet(*_SLOW_UPSTREAM) as fleet:
        await warm(fleet)
        under_faults = await measure_under_faults(fleet)
    return {'at_rest': at_rest, 'under_faults': under_faults}
