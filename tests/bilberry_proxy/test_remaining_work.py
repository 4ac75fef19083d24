"""Tests what a planned stop tells of the work that it waits for."""

from asyncio import open_connection, run, wait_for

from bilberry_core.messages.call import CallStart
from bilberry_core.policy import Priority
from bilberry_core.settings import TimingSettings
from testtools import TestCase

from standin.large_body import LARGE_BYTES, LARGE_PATH
from tests.bilberry_proxy.fleet import SERVICE, Node, open_fleet, until
from tests.bilberry_proxy.test_reply_drop import DaemonStream
from tests.bilberry_proxy.test_stop import stop

MODULE = 'bilberry_proxy.remaining_work'


class RemainingWorkTest(TestCase):
    """The lines at the begin and at the end of a stop."""

    def test_stop_tells_nothing_of_the_requests_that_it_began_with(self):
        """One runs at the upstream and is given up."""

        async def scenario():
            upstream = {'slots': 1, 'latency_ms': 3000}
            async with open_fleet(upstream) as fleet:
                node = fleet.nodes[0]
                limit_stop(node)
                reader, writer = await open_connection(*node.callers)
                writer.write(
                    f'GET / HTTP/1.1\r\nhost: {SERVICE}\r\n\r\n'.encode()
                )
                await until(node.upstream.records.runs.total)
                with self.assertLogs(MODULE, 'INFO') as logs:
                    await stop(node)
                await wait_for(reader.read(), 5)
                writer.close()
                return logs.records

        records = run(scenario())
        self.assertEqual(
            ['proxy_draining', 'proxy_drained'],
            [record.getMessage() for record in records],
        )
        for record in records:
            self.assertEqual(
                (1, 1, 0, 0, 0, 0),
                (
                    record.requests,
                    record.running,
                    record.claims,
                    record.calls,
                    record.unsent,
                    record.unread,
                ),
            )
        self.assertEqual(2, records[-1].left)

    def test_stop_tells_nothing_of_long_responses_to_other_daemons(self):
        """The other daemon takes nothing of one."""

        async def scenario():
            async with open_fleet({'slots': 1}) as fleet:
                node = fleet.nodes[0]
                limit_stop(node)
                calls = node.proxy._calls
                stream = DaemonStream()
                calls.accept(stream)
                stream.receiver(
                    CallStart(
                        1,
                        SERVICE,
                        b'GET',
                        f'{LARGE_PATH}a'.encode(),
                        ((b'host', SERVICE.encode()),),
                        b'',
                        last=True,
                        deadline_ms=9000,
                        priority=Priority.URGENT,
                    )
                )
                await until(lambda: calls.unsent_responses)
                with self.assertLogs(MODULE, 'INFO') as logs:
                    await stop(node)
                node.proxy.update_gauges()
                text = node.metrics.render().decode()
                return logs.records, calls.left_bytes, text

        records, left, text = run(scenario())
        begin, end = records
        self.assertEqual((0, 1), (begin.requests, begin.unsent))
        self.assertEqual((0, 1), (end.requests, end.unsent))
        self.assertEqual(left, (end.unsent_bytes, end.on_way_bytes))
        self.assertLess(0, left.on_way)
        self.assertLess(left.on_way, left.unsent)
        self.assertLessEqual(left.unsent + left.on_way, LARGE_BYTES)
        for line in (
            f'bilberry_response_unsent_bytes{{kind=""}} {float(left.unsent)}',
            f'bilberry_response_on_way_bytes{{kind=""}} {float(left.on_way)}',
        ):
            self.assertIn(line, text)

    def test_stop_of_an_idle_proxy_leaves_something(self):
        """Nothing is in progress."""

        async def scenario():
            async with open_fleet({'slots': 1}) as fleet:
                with self.assertLogs(MODULE, 'INFO') as logs:
                    await stop(fleet.nodes[0])
                return logs.records

        for record in run(scenario()):
            self.assertEqual(0, record.requests + record.unread)
            self.assertEqual(0, record.unsent_bytes + record.unread_bytes)


def limit_stop(node: Node) -> None:
    """Lets a stop give up early."""
    node.proxy._settings = node.proxy._settings._replace(
        timing=TimingSettings(drain_ms=200, linger_ms=0)
    )
