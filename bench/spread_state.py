"""Measures a relay's state over the number of endpoints in the fleet.

Writes docs/measurements/spread_state.json.
"""

from gc import collect
from json import dumps, loads
from os import sysconf
from pathlib import Path
from subprocess import run
from sys import argv, executable
from time import perf_counter

from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.messages.registry import decode_message, encode_message
from bilberry_core.messages.spread import EndpointAnnouncement, EndpointUpdate
from bilberry_spread.compiler import group_by_service
from bilberry_spread.directory import RelayDirectory

from bench.spread import OUTPUT

STATE_OUTPUT = OUTPUT.with_name('spread_state.json')
#: Numbers of endpoints in the fleet.
SIZES = (1000, 5000, 17_000)
#: Endpoints attached to each relay.
PER_RELAY = 340
#: Endpoints of each service.
PER_SERVICE = 17
PAGE_BYTES = sysconf('SC_PAGE_SIZE')
MS_PER_S = 1000
US_PER_S = 1_000_000
REPEATS = 100


def read_rss() -> int:
    """Returns the resident memory of this process, in bytes."""
    return int(Path('/proc/self/statm').read_text().split()[1]) * PAGE_BYTES


def make_endpoint(number: int, sequence: int = 1) -> Endpoint:
    """Returns the endpoint record of one upstream."""
    return Endpoint(
        f'node-{number:05}-region-a',
        1_700_000_000_000,
        sequence,
        f'service-{number // PER_SERVICE:04}',
        Address('10.200.100.50', 9000),
        'domain-a',
        EndpointState.READY,
        12,
        110,
        1_700_000_000_000,
    )


def encode_relay_updates(size: int) -> list[bytes]:
    """Returns the encoded updates that all relays send to a new relay."""
    return [
        encode_message(
            EndpointUpdate(
                tuple(map(make_endpoint, range(first, first + PER_RELAY))),
                (),
                (),
                (1_700_000_000_000,) * PER_RELAY,
            ),
        )
        for first in range(0, size, PER_RELAY)
    ]


def measure(size: int) -> dict:
    """Returns the memory of a relay's table, and times of its operations."""
    encoded = encode_relay_updates(size)
    collect()
    before = read_rss()
    directory = RelayDirectory('relay-0', 6, lambda *_change: None)
    start = perf_counter()
    for number, update in enumerate(encoded):
        directory.receive_peer_update(
            f'relay-{number}',
            decode_message(update),
            0,
            is_full_set=True,
        )
    received_s = perf_counter() - start
    collect()
    rss = read_rss() - before
    start = perf_counter()
    for sequence in range(REPEATS):
        directory.announce(
            EndpointAnnouncement(make_endpoint(0, sequence), 1), 0
        )
    announced_s = perf_counter() - start
    start = perf_counter()
    for _number in range(REPEATS):
        directory.start_leases_of('relay-1', 0)
        directory.expire(0)
    ticked_s = perf_counter() - start
    start = perf_counter()
    endpoints = directory.table.endpoints
    copied_s = perf_counter() - start
    start = perf_counter()
    group_by_service(endpoints.values())
    grouped_s = perf_counter() - start
    return {
        'endpoints': size,
        'record_bytes': round(len(encoded[0]) / PER_RELAY, 1),
        'rss_bytes': rss,
        'take_all_ms': round(received_s * MS_PER_S, 2),
        'announce_us': round(announced_s / REPEATS * US_PER_S, 2),
        'tick_us': round(ticked_s / REPEATS * US_PER_S, 2),
        'copy_ms': round(copied_s * MS_PER_S, 2),
        'group_ms': round(grouped_s * MS_PER_S, 2),
    }


def measure_in_subprocess(size: int) -> dict:
    """Measures one size in a new process, whose memory holds nothing else."""
    completed = run(
        [executable, '-m', 'bench.spread_state', str(size)],
        check=True,
        capture_output=True,
    )
    return loads(completed.stdout)


def main() -> None:
    """Measures the size on the command line and prints it.

    Without one, measures all sizes and writes the JSON file.
    """
    if argv[1:]:
        print(dumps(measure(int(argv[1]))))
        return
    rows = [measure_in_subprocess(size) for size in SIZES]
    for row in rows:
        print(row)
    STATE_OUTPUT.write_text(
        dumps({'command': 'make bench-spread', 'sizes': rows}, indent=1) + '\n',
    )


if __name__ == '__main__':
    main()
