"""Tests what is told of responses that are cut or late, over real sockets."""

from asyncio import Runner, sleep
from contextlib import suppress
from unittest.mock import patch

from bilberry_core.settings import TimingSettings
from bilberry_proxy.caller_connection import CallerConnection
from bilberry_proxy.context import ProxyOptions
from bilberry_proxy.dialect import OWN_DIALECT
from testtools import TestCase
from uvloop import new_event_loop

from standin.large_body import LARGE_PATH
from tests.bilberry_proxy.fleet import (
    SERVICE,
    Fleet,
    configure,
    open_fleet,
    until,
)
from tests.bilberry_proxy.test_stop import (
    accept_slowly,
    connect_slowly,
    stop,
)

ID_HEADER = 'x-id'
REQUEST_ID = 'abc'
OPTIONS = ProxyOptions(OWN_DIALECT._replace(request_id=ID_HEADER.encode()))
#: Length of a response that no buffer on its way takes whole, and of one that
#: the proxy of its caller takes whole.
LONG_BYTES = 1_000_000
SHORT_BYTES = 250 << 10
TIMEOUT_MS = 300


class CutResponseTest(TestCase):
    """One response to a caller that reads slowly."""

    def run_scenario(self, scenario, size: int, *upstreams, timeout_ms=9000):
        """Returns the lines of a request for a response of this size.

        The scenario is called with the fleet and the streams of the caller,
        who has read the head. Daemons use this event loop as well.
        """

        async def request():
            async with open_fleet(
                *upstreams,
                configuration=configure(timeout_ms=timeout_ms),
                options=OPTIONS,
            ) as fleet:
                node = fleet.nodes[0]
                node.proxy._settings = node.proxy._settings._replace(
                    timing=TimingSettings(drain_ms=200, linger_ms=0)
                )
                fleet.nodes[-1].upstream.say({ID_HEADER: REQUEST_ID})
                reader, writer = await connect_slowly(node)
                writer.write(
                    f'GET {LARGE_PATH}a HTTP/1.1\r\nhost: {SERVICE}\r\n'
                    f'{ID_HEADER}: {REQUEST_ID}\r\n\r\n'.encode()
                )
                await reader.readuntil(b'\r\n\r\n')
                await scenario(fleet, reader, writer)
                writer.close()
                for other in fleet.nodes:
                    other.proxy.update_gauges()
                return [
                    other.metrics.render().decode() for other in fleet.nodes
                ]

        with (
            patch.object(CallerConnection, 'connection_made', accept_slowly),
            patch('standin.large_body.LARGE_BYTES', size),
            self.assertLogs('bilberry_proxy', 'INFO') as logs,
            Runner(loop_factory=new_event_loop) as runner,
        ):
            self.metrics = runner.run(request())
        return {
            record.getMessage(): record
            for record in logs.records
            if getattr(record, 'request', '') == REQUEST_ID
        }

    def test_stop_cuts_a_response_without_saying_where_it_was(self):
        """A part waits for the caller, and the rest is at another daemon."""

        async def scenario(fleet: Fleet, _reader, _writer):
            await until(lambda: fleet.nodes[1].proxy._calls.open_calls)
            await stop(fleet.nodes[0])
            await until(lambda: not fleet.nodes[1].proxy._calls.open_calls)

        lines = self.run_scenario(scenario, LONG_BYTES, {}, {'slots': 2})
        cut = lines['response_cut']
        self.assertEqual(
            ('WARNING', 'proxy_stop', 'draining', 'ran'),
            (cut.levelname, cut.cause, cut.code, cut.verdict),
        )
        self.assertLess(0, cut.unread_bytes)
        self.assertEqual(LONG_BYTES, cut.passed_bytes + cut.missing_bytes)
        self.assertLess(0, cut.missing_bytes)
        self.assertLess(200, cut.age_ms)
        self.assertLessEqual(cut.answering_ms, cut.age_ms)
        self.assertIn(
            'bilberry_response_cut_total{kind="proxy_stop"} 1.0',
            self.metrics[0],
        )

    def test_stop_drops_what_a_caller_has_not_read_without_a_line(self):
        """The proxy had the whole response, and its request had ended."""

        async def scenario(fleet: Fleet, _reader, _writer):
            node = fleet.nodes[0]
            await until(lambda: not node.proxy._context.running)
            await stop(node)

        lines = self.run_scenario(scenario, SHORT_BYTES, {'slots': 2})
        cut = lines['response_cut']
        self.assertEqual(
            ('proxy_stop', SHORT_BYTES, 0),
            (cut.cause, cut.passed_bytes, cut.missing_bytes),
        )
        self.assertLess(0, cut.unread_bytes)
        self.assertEqual(200, lines['request_routed'].status)

    def test_caller_that_goes_cuts_its_response_without_a_line(self):
        """The daemon beside the upstream drops its part of it."""

        async def scenario(fleet: Fleet, _reader, writer):
            calls = fleet.nodes[1].proxy._calls
            await until(lambda: calls.open_calls)
            writer.transport.abort()
            await until(lambda: not calls.open_calls)

        lines = self.run_scenario(scenario, LONG_BYTES, {}, {'slots': 2})
        self.assertEqual('caller_gone', lines['response_cut'].cause)
        self.assertLess(0, lines['response_cut'].missing_bytes)

    def test_response_that_stands_still_is_cut_without_a_line(self):
        """Its caller takes nothing after the deadline."""

        async def scenario(fleet: Fleet, reader, _writer):
            running = fleet.nodes[0].proxy._context.running
            await until(lambda: not running)
            with suppress(ConnectionError):
                await reader.read()

        with patch('bilberry_proxy.exchange.RESPONSE_PAUSE_S', 0.01):
            lines = self.run_scenario(
                scenario, LONG_BYTES, {'slots': 2}, timeout_ms=TIMEOUT_MS
            )
        cut = lines['response_cut']
        self.assertEqual(('deadline', 'deadline'), (cut.cause, cut.code))
        self.assertLess(TIMEOUT_MS, cut.age_ms)

    def test_response_that_ends_late_is_not_told(self):
        """Its caller gets it whole, after the deadline."""

        async def scenario(_fleet, reader, _writer):
            size = 0
            while size < LONG_BYTES:
                size += len(await reader.read(1 << 16))
                await sleep(0.03)

        lines = self.run_scenario(
            scenario, LONG_BYTES, {'slots': 2}, timeout_ms=TIMEOUT_MS
        )
        late = lines['response_late']
        self.assertEqual(
            ('INFO', LONG_BYTES), (late.levelname, late.passed_bytes)
        )
        self.assertAlmostEqual(TIMEOUT_MS, late.age_ms - late.late_ms, 2)
        self.assertNotIn('response_cut', lines)
        self.assertIn(
            'bilberry_response_late_total{kind=""} 1.0', self.metrics[0]
        )

    def test_response_in_time_is_told_as_late_or_cut(self):
        """Its caller reads it at once."""

        async def scenario(_fleet, reader, _writer):
            await reader.readexactly(LONG_BYTES)

        lines = self.run_scenario(scenario, LONG_BYTES, {}, {'slots': 2})
        self.assertEqual({'request_routed'}, set(lines))
