"""Tests of planned stops while the links between daemons are full."""

from asyncio import create_task, gather, open_connection, run, wait_for
from contextlib import suppress
from random import Random
from unittest.mock import patch

from bilberry_core.settings import TimingSettings
from testtools import TestCase

from standin.large_body import LARGE_PATH
from tests.bilberry_proxy.fleet import (
    SERVICE,
    Node,
    configure,
    open_fleet,
    until,
)
from tests.bilberry_proxy.slow_link import slow_links
from tests.bilberry_proxy.test_stop import stop

RESPONSE_BYTES = 100_000
#: Rate of each daemon's link, in bytes a second.
LINK_BYTES_PER_S = 400_000
#: Responses that the link carries in the time of a stop, and those of others.
OWN = 4
OTHERS = 24
OTHER_DAEMONS = 6
DRAIN_MS = 2000
DEADLINE_MS = 20_000


async def download(node: Node, name: str) -> bytes:
    """Returns the response as far as it arrives."""
    reader, writer = await open_connection(*node.callers)
    writer.write(
        f'GET {LARGE_PATH}{name} HTTP/1.1\r\nhost: {SERVICE}\r\n'
        'connection: close\r\n\r\n'.encode()
    )
    received = b''
    with suppress(ConnectionError):
        while piece := await reader.read(1 << 16):
            received += piece
    writer.close()
    return received


def build_body(path: str) -> bytes:
    """Returns a body that can't be compressed."""
    return Random(path).randbytes(RESPONSE_BYTES)


def measure_body(response: bytes) -> int:
    """Returns the number of bytes of the body."""
    return len(response.partition(b'\r\n\r\n')[2])


class StopOnSlowLinksTest(TestCase):
    """Responses that their upstream has sent reach their callers."""

    def setUp(self):
        """Gives the upstreams large responses and the daemons slow links."""
        super().setUp()
        bodies = patch('standin.upstream.build_large_body', build_body)
        bodies.start()
        self.addCleanup(bodies.stop)
        links = slow_links(LINK_BYTES_PER_S)
        links.__enter__()
        self.addCleanup(links.__exit__, None, None, None)

    def test_ready_response_is_cut_at_the_end_of_a_stop(self):
        """It waits behind those of daemons that go on."""

        async def scenario():
            configuration = configure(timeout_ms=DEADLINE_MS)
            upstream = {'slots': OWN + OTHERS}
            nodes = [upstream, *({} for _ in range(OTHER_DAEMONS + 1))]
            async with open_fleet(*nodes, configuration=configuration) as fleet:
                served, stopping, *going = fleet.nodes
                runs = served.upstream.records
                others = [
                    create_task(
                        download(going[number % len(going)], f'other-{number}')
                    )
                    for number in range(OTHERS)
                ]
                await until(lambda: runs.runs.total() == OTHERS)
                own = [
                    create_task(download(stopping, f'own-{number}'))
                    for number in range(OWN)
                ]
                await until(lambda: runs.runs.total() == OWN + OTHERS)
                await until(lambda: not runs.running)
                stopping.proxy._settings = stopping.proxy._settings._replace(
                    timing=TimingSettings(drain_ms=DRAIN_MS, linger_ms=100)
                )
                await stop(stopping)
                bodies = await wait_for(gather(*own), 5)
                for task in others:
                    task.cancel()
                await gather(*others, return_exceptions=True)
                return [measure_body(body) for body in bodies]

        sizes = run(scenario())
        self.assertEqual(OWN, len(sizes))
        self.assertEqual({RESPONSE_BYTES}, set(sizes))
