"""Tests that bodies of any size are streamed within bounded memory."""

from asyncio import Event, open_connection, run, sleep, start_server

from bilberry_core.endpoint import Address
from bilberry_proxy.call import WINDOW_BYTES
from bilberry_proxy.request_body import RequestBody
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_proxy.fleet import SERVICE, call, open_fleet, until

CHUNK = b'x' * 65536
TOTAL = 400
STABLE_ITERATIONS = 500
#: More than all buffers between an upstream and a caller that reads nothing.
BOUND_BYTES = 12 << 20


async def until_stable(measure) -> None:
    """Waits until `measure` is constant for `STABLE_ITERATIONS` iterations."""
    iterations = 0
    before = measure()
    while iterations < STABLE_ITERATIONS:
        await sleep(0)
        iterations = iterations + 1 if measure() == before else 0
        before = measure()


class FakeAttempt:
    """An attempt that records what is sent."""

    def __init__(self) -> None:
        self.body = b''
        self.is_complete = False

    def send(self, body: bytes, last: bool) -> None:
        """Records more of the body."""
        self.body += body
        self.is_complete = self.is_complete or last


class RequestBodyTest(TestCase):
    """Buffering and forwarding of a request body."""

    @given(st.lists(st.binary(max_size=9), max_size=12), st.integers(0, 12))
    def test_body_is_whole_whenever_the_attempt_begins(self, chunks, start):
        """The buffered and the forwarded bytes add up to the body."""
        body = RequestBody(16)
        attempt = FakeAttempt()
        kept = b''
        attached = False
        feeds = [(chunk, False) for chunk in chunks] + [(b'', True)]
        for index, (chunk, last) in enumerate(feeds):
            body.feed(chunk, last)
            if body.is_ready and index >= start and not attached:
                attached, kept = True, body.buffered
                body.attach(attempt)
        if attached:
            self.assertEqual(b''.join(chunks), kept + attempt.body)

    def test_caller_waits_for_credit(self):
        """After a full window nothing more is read until credit arrives."""
        body = RequestBody(16)
        body.feed(b'x' * 17, last=False)
        body.attach(FakeAttempt())
        self.assertTrue(body.wants_more)
        body.feed(b'x' * WINDOW_BYTES, last=False)
        self.assertFalse(body.wants_more)
        body.credit(WINDOW_BYTES)
        self.assertTrue(body.wants_more)

    def test_long_body_is_not_sent_twice(self):
        """A body that was forwarded is not available for another attempt."""
        body = RequestBody(16)
        body.feed(b'x' * 17, last=False)
        body.attach(FakeAttempt())
        self.assertTrue(body.is_replayable)
        body.feed(b'y', last=True)
        self.assertFalse(body.is_replayable)


class SlowCallerTest(TestCase):
    """A caller that does not read slows the upstream, not the daemons."""

    def test_answer_is_paused_while_its_caller_does_not_read(self):
        """A large response is paused at its source, then arrives complete."""
        sent = 0

        async def scenario():
            done = Event()

            async def serve(reader, writer):
                nonlocal sent
                await reader.readuntil(b'\r\n\r\n')
                length = len(CHUNK) * TOTAL
                head = f'HTTP/1.1 200 \r\ncontent-length: {length}\r\n\r\n'
                writer.write(head.encode())
                for _ in range(TOTAL):
                    writer.write(CHUNK)
                    sent += len(CHUNK)
                    await writer.drain()
                done.set()

            server = await start_server(serve, '127.0.0.1', 0)
            async with open_fleet({'slots': 2}, {}) as fleet:
                upstream = fleet.nodes[0].upstream
                upstream.close()
                upstream.address = Address(*server.sockets[0].getsockname())
                await upstream.announce()
                reader, writer = await open_connection(*fleet.nodes[1].callers)
                writer.write(
                    f'GET / HTTP/1.1\r\nhost: {SERVICE}\r\n\r\n'.encode()
                )
                await until(lambda: sent)
                await until_stable(lambda: sent)
                sent_before_read = sent
                await reader.readuntil(b'\r\n\r\n')
                body = 0
                while body < len(CHUNK) * TOTAL:
                    body += len(await reader.read(1 << 20))
                writer.close()
                server.close()
                return sent_before_read, body, done.is_set()

        sent_before_read, body, finished = run(scenario())
        self.assertLess(sent_before_read, BOUND_BYTES)
        self.assertEqual(len(CHUNK) * TOTAL, body)
        self.assertTrue(finished)


class StreamingTest(TestCase):
    """Bodies that are incomplete when the request is dispatched."""

    def test_body_in_many_pieces_arrives_whole(self):
        """A slow upload of several windows is forwarded as it arrives."""
        body = bytes(range(256)) * 4096

        async def scenario():
            async with open_fleet({'slots': 2}, {}) as fleet:
                reader, writer = await open_connection(*fleet.nodes[1].callers)
                head = (
                    f'POST / HTTP/1.1\r\nhost: {SERVICE}\r\n'
                    f'content-length: {len(body)}\r\n\r\n'
                )
                writer.write(head.encode())
                for index in range(0, len(body), 50_000):
                    writer.write(body[index : index + 50_000])
                    await writer.drain()
                    await sleep(0)
                await reader.readuntil(b'\r\n\r\n')
                answer = await reader.readexactly(len(body))
                writer.close()
                return answer

        self.assertTrue(run(scenario()) == body)

    def test_pipelined_requests_are_answered_in_order(self):
        """Pipelined requests get their responses in order."""

        async def scenario():
            async with open_fleet({'slots': 2}, {}) as fleet:
                reader, writer = await open_connection(*fleet.nodes[1].callers)
                for index in range(5):
                    head = f'GET /{index} HTTP/1.1\r\nhost: {SERVICE}\r\n\r\n'
                    writer.write(head.encode())
                bodies = []
                for _ in range(5):
                    await reader.readuntil(b'\r\n\r\n')
                    bodies.append(await reader.readexactly(2))
                writer.close()
                return bodies

        self.assertEqual(
            [f'/{index}'.encode() for index in range(5)], run(scenario())
        )

    def test_garbage_from_a_caller_is_answered_400(self):
        """Bytes that are not HTTP get 400 and affect no other caller."""

        async def scenario():
            async with open_fleet({'slots': 2}) as fleet:
                reader, writer = await open_connection(*fleet.nodes[0].callers)
                writer.write(b'\x00\x01 garbage\r\n\r\n')
                refused = await reader.read()
                writer.close()
                return refused[:12], (await call(fleet.nodes[0])).status

        self.assertEqual((b'HTTP/1.1 400', 200), run(scenario()))
