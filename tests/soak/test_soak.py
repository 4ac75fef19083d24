"""Tests a short run of the soak with a fixed seed, and its links."""

from asyncio import open_connection, run, sleep, start_server, wait_for

from bilberry_core.endpoint import Address
from testtools import TestCase

from soak.link import Link, LinkState
from soak.run import run_seed

#: Seeds that failed before, with the cause, kept as regression tests.
REGRESSIONS: dict[int, str] = {}
SEED = 7
SECONDS = 8.0


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
