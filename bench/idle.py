"""Measures what idle daemons use, with and without claims.

Each case runs three daemons with every role in one process of its own. After
the fleet is founded, the daemons stay idle. The figures for one daemon are
processor time as a share of a core and the bytes a second that it sends on
its streams; the figure for memory is that of the process with all three.
"""

from asyncio import gather, run, sleep
from json import dumps
from resource import RUSAGE_SELF, getrusage
from socket import create_server
from sys import argv
from tempfile import TemporaryDirectory
from time import monotonic, process_time

from bilberry_core.board import Board
from bilberry_core.endpoint import Address
from bilberry_core.settings import ListenSettings, Peer, Role, Settings
from bilberryd.assembly import Extensions, build_daemon
from bilberryd.parts import DaemonParts

from bench.processes import BenchProcess

#: Time for the fleet to be founded, in seconds.
START_S = 5.0
#: Length of the measurement, in seconds.
IDLE_S = 20.0
NAMES = ('a', 'b', 'c')
_KIB = 1024


def main() -> None:
    """Measures the named case, or each case in a process of its own."""
    if len(argv) > 1:
        print(dumps(run(_measure(argv[1] == 'claims'))), flush=True)
        return
    for case in ('none', 'claims'):
        print(f'{case}: {BenchProcess("bench.idle", case).first_line}')


async def _measure(keeps_claims: bool) -> dict[str, float]:
    with TemporaryDirectory() as folder:
        settings = _build_settings(folder, keeps_claims)
        boards: list[Board] = []

        def record_board(parts: DaemonParts) -> tuple[()]:
            boards.append(parts.board)
            return ()

        extensions = Extensions(build_interfaces=record_board)
        daemons = [build_daemon(one, extensions) for one in settings]
        tasks = gather(*(daemon.run() for daemon in daemons))
        await sleep(START_S)
        before = monotonic(), process_time(), _count_bytes(boards)
        await sleep(IDLE_S)
        seconds = monotonic() - before[0]
        figures = {
            'core_share': (process_time() - before[1]) / seconds / len(NAMES),
            'bytes_per_s': (_count_bytes(boards) - before[2])
            / seconds
            / len(NAMES),
            'process_mib': getrusage(RUSAGE_SELF).ru_maxrss / _KIB,
        }
        for board in boards:
            board.stopping.set()
        await tasks
    return {name: round(figure, 4) for name, figure in figures.items()}


def _build_settings(folder: str, keeps_claims: bool) -> list[Settings]:
    peers = tuple(Peer(name, _get_free_address(), name) for name in NAMES)
    return [
        Settings(
            fleet='idle',
            instance=peer.instance,
            failure_domain=peer.failure_domain,
            region='region',
            roles=frozenset((Role.PROXY, Role.RELAY, Role.REPLICA)),
            listen=ListenSettings(
                peer.address,
                Address('127.0.0.1', 0),
                Address('127.0.0.1', 0),
            ),
            secret=b'idle',
            data_folder=f'{folder}/{peer.instance}',
            replicas=peers,
            relays=peers,
            keeps_claims=keeps_claims,
        )
        for peer in peers
    ]


def _get_free_address() -> Address:
    with create_server(('127.0.0.1', 0)) as free:
        return Address(*free.getsockname())


def _count_bytes(boards: list[Board]) -> int:
    return sum(
        reading.sent
        for board in boards
        for reading in board.traffic.read().values()
    )


if __name__ == '__main__':
    main()
