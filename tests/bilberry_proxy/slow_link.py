"""Gives each daemon of a fleet a slow link for what it sends on its streams."""

from asyncio import Transport, create_task, sleep
from collections import deque
from contextlib import contextmanager
from unittest.mock import patch

from bilberry_core.stream import Stream
from bilberry_proxy.call_server import CallServer

#: Bytes that a link sends at a time.
STEP_BYTES = 2048


class SlowLink:
    """Sends what its transports write, in the order of arrival."""

    def __init__(self, bytes_per_s: float) -> None:
        """Starts idle."""
        self._bytes_per_s = bytes_per_s
        self._waiting: deque[tuple['SlowTransport', bytes]] = deque()
        self._task = None

    def carry(self, transport: 'SlowTransport', payload: bytes) -> None:
        """Sends a payload once all earlier ones are sent."""
        self._waiting.append((transport, payload))
        if self._task is None or self._task.done():
            self._task = create_task(self._send())

    async def _send(self) -> None:
        while self._waiting:
            transport, payload = self._waiting.popleft()
            for begin in range(0, len(payload), STEP_BYTES):
                step = payload[begin : begin + STEP_BYTES]
                await sleep(len(step) / self._bytes_per_s)
                transport.deliver(step)


class SlowTransport:
    """A transport whose bytes go over a slow link."""

    def __init__(self, inner: Transport, stream: Stream, link: SlowLink):
        """Sends the bytes of `stream` on `inner`, at the pace of `link`."""
        self._inner = inner
        self._stream = stream
        self._link = link
        self._waiting = 0
        self._high = 1 << 16
        self._is_closing = False

    def __getattr__(self, name: str):
        """Returns what the link does not change."""
        return getattr(self._inner, name)

    def set_write_buffer_limits(self, high: int) -> None:
        """Sets how many bytes may wait before the stream isn't writable."""
        self._high = high

    def get_write_buffer_size(self) -> int:
        """Returns the number of bytes that wait."""
        return self._waiting

    def write(self, payload: bytes) -> None:
        """Puts bytes behind all others of the link."""
        self._waiting += len(payload)
        self._link.carry(self, payload)
        if self._waiting > self._high:
            self._stream.pause_writing()

    def is_closing(self) -> bool:
        """Returns whether nothing more can be sent."""
        return self._is_closing or self._inner.is_closing()

    def close(self) -> None:
        """Closes the connection once the bytes are sent."""
        self._is_closing = True
        if not self._waiting:
            self._inner.close()

    def deliver(self, payload: bytes) -> None:
        """Sends bytes that have crossed the link."""
        self._waiting -= len(payload)
        if not self._inner.is_closing():
            self._inner.write(payload)
        if self._waiting <= self._high:
            self._stream.resume_writing()
        if self._is_closing and not self._waiting:
            self._inner.close()


@contextmanager
def slow_links(bytes_per_s: float):
    """Gives each daemon that serves calls a link of its own."""
    links: dict[CallServer, SlowLink] = {}
    accept = CallServer.accept

    def accept_slowly(server: CallServer, stream: Stream) -> None:
        link = links.setdefault(server, SlowLink(bytes_per_s))
        stream._transport = SlowTransport(stream._transport, stream, link)
        accept(server, stream)

    with patch.object(CallServer, 'accept', accept_slowly):
        yield
