"""One proxy as a process of its own, for `bench.call`.

Prints its addresses as JSON, then reads the endpoints of the fleet as JSON
lines on standard input. Requests are handled by the same code as in a daemon.
"""

from argparse import ArgumentParser
from asyncio import StreamReader, StreamReaderProtocol, get_running_loop
from json import dumps, loads
from os import environ
from random import Random
from sys import stdin

from bilberry_core.board import Board, Phase
from bilberry_core.clock import SystemClock
from bilberry_core.configuration import (
    AcceptedVersion,
    Configuration,
    RouteException,
    Service,
)
from bilberry_core.endpoint import Address, Endpoint
from bilberry_core.listener import StreamListener
from bilberry_core.logs import start_logs
from bilberry_core.metric import NullMetrics
from bilberry_core.policy import CallPolicy, PolicyChange, Priority
from bilberry_core.settings import ListenSettings, Role, Settings
from bilberry_core.snapshot import compile_snapshot
from bilberry_core.stream import Credentials
from bilberry_proxy.announcement import AnnouncementController
from bilberry_proxy.controller import ProxyController
from msgspec import convert
from uvloop import run

ANY_PORT = Address('127.0.0.1', 0)
SERVICE = 'callouts'


def build_configuration(timeout_ms: int) -> Configuration:
    """Returns a configuration with an urgent and a deferrable path."""
    exceptions = tuple(
        RouteException(
            priority.value,
            SERVICE,
            f'{priority.value} requests of the bench',
            PolicyChange(priority=priority),
            f'/{priority.value}',
        )
        for priority in (Priority.DEFERRABLE, Priority.URGENT)
    )
    policy = CallPolicy(timeout_ms=timeout_ms)
    return Configuration(policy, (Service(SERVICE),), exceptions)


async def read_lines():
    """Yields each line of standard input."""
    reader = StreamReader()
    await get_running_loop().connect_read_pipe(
        lambda: StreamReaderProtocol(reader),
        stdin,
    )
    while line := await reader.readline():
        yield line


async def main(name: str, log_file: str, timeout_ms: int) -> None:
    """Runs one proxy until standard input ends."""
    start_logs(name, environ.get('LEVEL', 'INFO'), log_file)
    credentials = Credentials('fleet', name, b'secret')
    listener = StreamListener(credentials)
    streams = await listener.listen(ANY_PORT)
    settings = Settings(
        fleet='fleet',
        instance=name,
        failure_domain='one',
        region='region',
        roles=frozenset((Role.PROXY,)),
        listen=ListenSettings(streams, ANY_PORT, ANY_PORT),
        secret=b'secret',
    )
    board = Board()
    board.phase.put(Phase.SERVING)
    clock = SystemClock()
    announcements = AnnouncementController.from_settings(settings, board, clock)
    proxy = ProxyController.from_settings(
        settings,
        board,
        listener,
        credentials,
        clock,
        Random(0),
        NullMetrics(),
    )
    addresses = {
        'callers': await proxy.start(),
        'upstream': await announcements.start(),
    }
    task = get_running_loop().create_task(proxy.run())
    board.own_endpoint.watch(
        lambda own: print(dumps({'endpoint': own}), flush=True)
    )
    print(dumps(addresses), flush=True)
    version = 0
    async for line in read_lines():
        version += 1
        endpoints = convert(loads(line), tuple[Endpoint, ...])
        accepted = AcceptedVersion(
            version, 1, b'', build_configuration(timeout_ms)
        )
        board.snapshot.put(compile_snapshot(accepted, {SERVICE: endpoints}))
    task.cancel()


if __name__ == '__main__':
    parser = ArgumentParser(description='One proxy of the bench.')
    parser.add_argument('--name', required=True)
    parser.add_argument('--log-file', required=True)
    parser.add_argument('--timeout-ms', type=int, default=5000)
    parsed = parser.parse_args()
    run(main(parsed.name, parsed.log_file, parsed.timeout_ms))
