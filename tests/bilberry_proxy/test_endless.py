"""Tests of upstreams that send bytes without end in place of a response."""

from asyncio import (
    IncompleteReadError,
    get_running_loop,
    open_connection,
    run,
    sleep,
)

from bilberry_core.verdict import FailureCode
from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.upstream_request import UpstreamRequest
from testtools import TestCase

from standin.endless import ENDLESS_FORMS, ENDLESS_PATH
from tests.bilberry_proxy.fleet import SERVICE, call, configure, open_fleet
from tests.bilberry_proxy.test_upstream_connection import GET, Exchange
from tests.virtual_time import VirtualClock, run_virtually

DIALECT = HttpDialect(request_id=b'x-request-id', close_delimited=True)
REQUEST = UpstreamRequest(
    b'GET', b'/', ((b'host', b'a'),), b'', True, request_id=b'mine'
)
#: Size of a read of the event loop, in bytes.
READ_BYTES = 256 << 10
#: What a connection may take of bytes that are no response.
MOST_BYTES = 1 << 20
#: What a proxy may make of the forms that are a response without end.
BODIES = frozenset(
    ('large_chunks', 'without_length', 'after_the_response', 'refusal')
)
TIMEOUT_MS = 400
CONFIGURATION = configure(timeout_ms=TIMEOUT_MS)
#: Time by which a request is ended after its timeout, in seconds.
SLACK_S = 0.5


class EndlessResponseTest(TestCase):
    """One connection, to which each form is sent as fast as it reads."""

    def flood(self, name: str) -> tuple[Exchange, int]:
        """Returns the connection and the bytes that it has taken."""
        form = ENDLESS_FORMS[name]

        async def scenario():
            exchange = Exchange(REQUEST, DIALECT)
            read = form.piece * (READ_BYTES // len(form.piece))
            taken = 0
            exchange.receive(form.begin)
            while not exchange.transport.is_aborted and taken < 2 * MOST_BYTES:
                if exchange.transport.is_reading:
                    exchange.receive(read)
                    taken += len(read)
                await sleep(0)
            return exchange, taken

        return run(scenario())

    def test_bytes_that_are_no_response_are_read_without_end(self):
        """In a head, before one, as framing, and as responses to others."""
        for name in ENDLESS_FORMS.keys() - BODIES:
            exchange, taken = self.flood(name)
            self.assertTrue(exchange.transport.is_aborted, name)
            self.assertLessEqual(taken, MOST_BYTES, name)
            self.assertEqual(FailureCode.UPSTREAM_MALFORMED, exchange.code)

    def test_one_read_holds_the_event_loop(self):
        """Other connections have their turn before it is parsed whole."""
        turns = []

        async def scenario():
            exchange = Exchange(GET, OWN_DIALECT)
            chunks = b'20\r\n%b\r\n' % (b'x' * 32) * 6000
            head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            exchange.receive(head + chunks + b'0\r\n\r\n')
            while not exchange.is_whole and exchange.code is None:
                turns.append(len(exchange.body))
                await sleep(0)
            return exchange

        exchange = run(scenario())
        self.assertEqual(6000 * 32, len(exchange.body))
        self.assertGreater(len(turns), 6000 // 100)
        self.assertTrue(exchange.transport.is_reading)

    def test_full_reads_follow_each_other_in_one_turn(self):
        """The event loop reads on at once while its buffer is filled."""

        async def scenario():
            exchange = Exchange(GET, OWN_DIALECT)
            head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'
            exchange.receive(head % (2 * READ_BYTES))
            found = [exchange.transport.is_reading]
            exchange.receive(b'x' * READ_BYTES)
            found.append(exchange.transport.is_reading)
            while not exchange.transport.is_reading:
                await sleep(0)
            exchange.receive(b'x' * READ_BYTES)
            while not exchange.is_whole and exchange.code is None:
                await sleep(0)
            return found, exchange.code

        self.assertEqual(([True, False], None), run(scenario()))


class EndlessFleetTest(TestCase):
    """Requests through two daemons, beside an upstream of each form."""

    async def ask(self, node, path: str) -> tuple[int, float]:
        """Returns the status that a caller gets, 0 for a cut, and the time."""
        reader, writer = await open_connection(*node.callers)
        writer.write(
            f'POST {path} HTTP/1.1\r\nhost: {SERVICE}\r\n'
            'content-length: 0\r\nconnection: close\r\n\r\n'.encode()
        )
        began = get_running_loop().time()
        status = 0
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            status = int(head.split()[1])
            while await reader.read(READ_BYTES):
                """Takes what comes until the connection ends."""
        except (ConnectionError, IncompleteReadError):
            """The response is cut."""
        writer.close()
        return status, get_running_loop().time() - began

    async def ask_all(self, fleet, pace: str) -> None:
        """Asks for each form at each node, and for a sound response."""
        for name in sorted(ENDLESS_FORMS):
            for node in fleet.nodes:
                path = f'{ENDLESS_PATH}{name}{pace}'
                status, took_s = await self.ask(node, path)
                limit_s = TIMEOUT_MS / 1000 + SLACK_S
                self.assertLess(took_s, limit_s, f'{path}: {status}')
        good = await call(fleet.nodes[1], '/good')
        self.assertEqual(200, good.status)
        open_left = len(fleet.nodes[0].upstream.open_connections)
        self.assertLessEqual(open_left, 2)

    def test_request_has_no_end_after_its_timeout(self):
        """Each form, as fast as it is read."""

        async def scenario():
            async with open_fleet(
                {'slots': 64}, {}, configuration=CONFIGURATION
            ) as fleet:
                await self.ask_all(fleet, '')

        run(scenario())

    def test_slow_response_has_no_end_after_its_timeout(self):
        """Each form, a byte at a time."""

        async def scenario():
            async with open_fleet(
                {'slots': 64},
                {},
                configuration=CONFIGURATION,
                clock=VirtualClock(),
            ) as fleet:
                await self.ask_all(fleet, '/slow')

        run_virtually(scenario())
