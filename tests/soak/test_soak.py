"""Tests a short run of the soak with a fixed seed, and its links."""

from asyncio import (
    gather,
    open_connection,
    run,
    sleep,
    start_server,
    wait_for,
)
from time import monotonic

from bilberry_core.endpoint import Address
from testtools import TestCase

from soak.link import BUFFER_BYTES, Link, LinkState, open_narrow_socket
from soak.run import run_seed

#: Seeds that failed before, with the cause, kept as regression tests.
REGRESSIONS: dict[int, str] = {}
SEED = 7
SECONDS = 8.0
#: What a link carries, in bytes a second, and one of its senders' bodies.
LINK_BYTES_PER_S = 400_000
BODY_BYTES = 100_000
#: Bytes that wait on a link at most: in the buffers of its sockets, which the
#: kernel doubles, and in those of the process that forwards.
LINK_HOLDS_BYTES = 8 * BUFFER_BYTES


class SoakTest(TestCase):
    """Real daemons under injected faults."""

    def test_promises_hold_through_faults(self):
        """Kills, freezes, lost disks and link faults break no promise."""
        for seed in (SEED, *REGRESSIONS):
            report = run(run_seed(seed, SECONDS))
            self.assertEqual((), report.broken)
            self.assertTrue(report.faults)


class LinkTest(TestCase):
    """The fault-injecting loopback proxy."""

    def exchange(self, state: LinkState) -> bytes:
        """Returns the response of an echo server through a link."""

        async def echo(reader, writer):
            writer.write(await reader.read(9))

        async def scenario():
            server = await start_server(echo, '127.0.0.1', 0)
            target = Address(*server.sockets[0].getsockname())
            link = Link(target)
            address = await link.listen()
            reader, writer = await open_connection(*address)
            await sleep(0.01)
            link.change(state)
            try:
                writer.write(b'hello')
                return await wait_for(reader.read(9), 0.5)
            except ConnectionResetError:
                return b'reset'
            except TimeoutError:
                return b'silence'
            finally:
                await link.close()
                server.close()

        return run(scenario())

    def test_each_state_forwards_or_blocks_bytes(self):
        """Only open and slow links forward bytes."""
        received = {state: self.exchange(state) for state in LinkState}
        self.assertEqual(
            {
                LinkState.OPEN: b'hello',
                LinkState.SLOW: b'hello',
                LinkState.RESET: b'reset',
                LinkState.ONE_WAY: b'silence',
                LinkState.SILENT: b'silence',
            },
            {
                state: b'reset' if answer == b'' else answer
                for state, answer in received.items()
            },
        )


class LinkRateTest(TestCase):
    """A link that carries a number of bytes a second."""

    def play(self, scenario):
        """Returns what `scenario` returns for a link and sent counts.

        Behind the link a server sends a body on each connection, as fast as
        it is taken.
        """
        sent: list[int] = []

        async def send(_reader, writer):
            number = len(sent)
            sent.append(0)
            writer.transport.set_write_buffer_limits(0)
            while sent[number] < BODY_BYTES:
                writer.write(bytes(BUFFER_BYTES))
                await writer.drain()
                sent[number] += BUFFER_BYTES
            writer.close()

        async def run_scenario():
            listening = open_narrow_socket()
            listening.bind(('127.0.0.1', 0))
            server = await start_server(send, sock=listening)
            target = Address(*listening.getsockname())
            link = Link(target, LINK_BYTES_PER_S)
            address = await link.listen()
            try:
                return await scenario(address, sent)
            finally:
                await link.close()
                server.close()

        return run(run_scenario())

    def test_connections_share_the_rate(self):
        """Two bodies take the time of both, and neither waits for the other."""

        async def take(address):
            reader, writer = await open_connection(*address)
            body = await reader.read()
            writer.close()
            return len(body), monotonic()

        async def scenario(address, _sent):
            begin = monotonic()
            taken = await gather(take(address), take(address))
            return taken, begin

        taken, begin = self.play(scenario)
        sizes, ends = zip(*taken, strict=True)
        self.assertGreaterEqual(min(sizes), BODY_BYTES)
        needed_s = 2 * BODY_BYTES / LINK_BYTES_PER_S
        self.assertGreater(max(ends) - begin, 0.9 * needed_s)
        self.assertGreater(min(ends) - begin, 0.7 * needed_s)

    def test_full_link_holds_back_its_sender(self):
        """It can send little more than was received."""

        async def scenario(address, sent):
            reader, writer = await open_connection(*address)
            received = len(await reader.readexactly(BODY_BYTES // 4))
            ahead = sent[0] - received
            writer.close()
            return ahead

        self.assertLess(self.play(scenario), LINK_HOLDS_BYTES)
