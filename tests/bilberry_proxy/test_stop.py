"""Tests of a planned stop while callers use the proxy."""

from asyncio import create_task, open_connection, run, sleep, wait_for
from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, socket
from unittest.mock import patch

from bilberry_core.board import Phase
from bilberry_core.settings import TimingSettings
from bilberry_proxy.caller_connection import CallerConnection
from testtools import TestCase

from tests.bilberry_proxy.fleet import (
    SERVICE,
    Node,
    call,
    open_fleet,
    until,
)

#: Size of a response that the proxy takes whole from its upstream, while only
#: a part of it fits into the buffers of the sockets.
RESPONSE_BYTES = 250 << 10
SOCKET_BUFFER_BYTES = 4096


class PlannedStopTest(TestCase):
    """Requests that were accepted get their whole response."""

    def test_response_to_a_slow_caller_is_not_cut_by_a_stop(self):
        """Bytes that are still buffered are sent before the end."""

        async def scenario():
            async with open_fleet({'slots': 2}) as fleet:
                node = fleet.nodes[0]
                reader, writer = await connect_slowly(node)
                head = (
                    f'POST / HTTP/1.1\r\nhost: {SERVICE}\r\n'
                    f'content-length: {RESPONSE_BYTES}\r\n\r\n'
                )
                writer.write(head.encode() + bytes(RESPONSE_BYTES))
                await reader.readuntil(b'\r\n\r\n')
                stopping = create_task(stop(node))
                await sleep(0.3)
                body = await wait_for(reader.readexactly(RESPONSE_BYTES), 5)
                writer.close()
                await stopping
                return len(body)

        with patch.object(CallerConnection, 'connection_made', accept_slowly):
            self.assertEqual(RESPONSE_BYTES, run(scenario()))

    def test_response_is_cut_if_another_request_follows_the_close(self):
        """A socket that closes with unread bytes drops what it has to send."""

        async def scenario():
            async with open_fleet({'slots': 2}, {'slots': 2}) as fleet:
                node = fleet.nodes[0]
                node.proxy._settings = node.proxy._settings._replace(
                    timing=TimingSettings(drain_ms=5000, linger_ms=1000)
                )
                reader, writer = await connect_slowly(node)
                stopping = create_task(stop(node))
                await sleep(0)
                head = (
                    f'POST / HTTP/1.1\r\nhost: {SERVICE}\r\n'
                    f'content-length: {RESPONSE_BYTES}\r\n\r\n'
                )
                writer.write(head.encode() + bytes(RESPONSE_BYTES))
                answer = await reader.readuntil(b'\r\n\r\n')
                await until(lambda: not node.proxy._context.running)
                writer.write(
                    f'GET / HTTP/1.1\r\nhost: {SERVICE}\r\n\r\n'.encode()
                )
                body = await wait_for(reader.readexactly(RESPONSE_BYTES), 5)
                rest = await wait_for(reader.read(), 5)
                writer.close()
                await stopping
                return answer, len(body), rest

        with patch.object(CallerConnection, 'connection_made', accept_slowly):
            answer, size, rest = run(scenario())
        self.assertIn(b'connection: close', answer.lower())
        self.assertEqual((RESPONSE_BYTES, b''), (size, rest))

    def test_request_that_arrives_whole_late_in_a_stop_is_passed_on_and_cut(
        self,
    ):
        """Its head came in time and the end of its body didn't."""

        async def scenario():
            upstream = {'slots': 1, 'latency_ms': 3000}
            async with open_fleet({}, upstream) as fleet:
                node = fleet.nodes[0]
                node.proxy._settings = node.proxy._settings._replace(
                    timing=TimingSettings(drain_ms=1000, linger_ms=200)
                )
                reader, writer = await open_connection(*node.callers)
                writer.write(
                    f'POST / HTTP/1.1\r\nhost: {SERVICE}\r\n'
                    'content-length: 8\r\n\r\nhalf'.encode()
                )
                await until(lambda: node.proxy.busy)
                stopping = create_task(stop(node))
                phase = node.board.phase
                await until(lambda: phase.value is Phase.DRAINING)
                writer.write(b'half')
                answer = await wait_for(reader.read(), 5)
                writer.close()
                await stopping
                return answer, fleet.nodes[1].upstream.records.runs.total()

        answer, runs = run(scenario())
        self.assertEqual(b'HTTP/1.1 503', answer[: len('HTTP/1.1 503')])
        self.assertIn(b'bilberry-verdict: not_run', answer)
        self.assertEqual(0, runs)

    def test_request_that_outlasts_a_stop_is_passed_on_and_cut(self):
        """It comes while callers are still served, too late for its work."""

        async def scenario():
            upstream = {'slots': 2, 'latency_ms': 800}
            async with open_fleet({}, upstream) as fleet:
                node = fleet.nodes[0]
                node.proxy._settings = node.proxy._settings._replace(
                    timing=TimingSettings(drain_ms=600, linger_ms=500)
                )
                first = await call(node)
                stopping = create_task(stop(node))
                await until(lambda: node.board.phase.value is Phase.LEAVING)
                late = await call(node)
                await stopping
                runs = fleet.nodes[1].upstream.records.runs.total()
                return first.status, late, runs

        first, late, runs = run(scenario())
        self.assertEqual((200, 503, 1), (first, late.status, runs))
        self.assertIn((b'bilberry-verdict', b'not_run'), late.headers)

    def test_request_that_is_left_after_a_stop_gets_no_response(self):
        """One is at work, one is queued, and one has half of its body."""

        async def scenario():
            upstream = {'slots': 1, 'latency_ms': 3000}
            async with open_fleet({}, upstream) as fleet:
                node = fleet.nodes[0]
                node.proxy._settings = node.proxy._settings._replace(
                    timing=TimingSettings(drain_ms=200, linger_ms=0)
                )
                callers = []
                runs = fleet.nodes[1].upstream.records.runs
                for body in (b'body', b'body', b'half'[:2]):
                    callers.append(await open_connection(*node.callers))
                    callers[-1][1].write(
                        f'POST / HTTP/1.1\r\nhost: {SERVICE}\r\n'
                        'content-length: 4\r\n\r\n'.encode()
                        + body
                    )
                    await until(runs.total)
                await until(lambda: len(node.proxy._context.running) == 3)
                await stop(node)
                answers = [
                    await wait_for(reader.read(), 5) for reader, _ in callers
                ]
                for _, writer in callers:
                    writer.close()
                return answers, runs.total()

        (running, queued, partial), runs = run(scenario())
        for answer in (running, queued):
            self.assertEqual(b'HTTP/1.1 502', answer[: len('HTTP/1.1 502')])
            self.assertIn(b'bilberry-verdict: may_have_run', answer)
        self.assertEqual(b'HTTP/1.1 503', partial[: len('HTTP/1.1 503')])
        self.assertIn(b'bilberry-verdict: not_run', partial)
        self.assertEqual(1, runs)


def accept_slowly(
    connection, transport, accept=CallerConnection.connection_made
):
    """Accepts a connection whose socket buffers little."""
    accepted = transport.get_extra_info('socket')
    accepted.setsockopt(SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER_BYTES)
    accept(connection, transport)


async def connect_slowly(node: Node):
    """Returns the streams of a caller that receives little at a time."""
    slow = socket()
    slow.setsockopt(SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER_BYTES)
    slow.setblocking(False)
    slow.connect_ex(node.callers)
    await sleep(0.05)
    return await open_connection(sock=slow, limit=SOCKET_BUFFER_BYTES)


async def stop(node: Node) -> None:
    """Stops the proxy as a daemon does on SIGTERM."""
    await node.proxy.drain()
    await node.proxy.stop()
