"""Buffers and forwards the body of a request to the chosen endpoint.

The first bytes are buffered, so that another attempt can send them again. All
further bytes are forwarded unbuffered, as flow-control credit allows.
"""

from bilberry_proxy.attempt import Attempt
from bilberry_proxy.call import WINDOW_BYTES


class RequestBody:
    """The body of one request, as received so far."""

    def __init__(self, max_buffered_bytes: int) -> None:
        """Buffers up to `max_buffered_bytes` for further attempts."""
        self.is_complete = False
        self.is_replayable = True
        self._max_buffered_bytes = max_buffered_bytes
        self._buffered = b''
        self._pending: list[tuple[bytes, bool]] = []
        self._attempt: Attempt | None = None
        self._window = WINDOW_BYTES

    @property
    def buffered(self) -> bytes:
        """The bytes that are sent with the start of each attempt."""
        return self._buffered

    @property
    def is_ready(self) -> bool:
        """Whether an attempt may start: the body is complete or too long."""
        return (
            self.is_complete or len(self._buffered) > self._max_buffered_bytes
        )

    @property
    def wants_more(self) -> bool:
        """Whether there is room to read more of the body."""
        if not self.is_ready:
            return True
        return self._attempt is not None and self._window > 0

    @property
    def is_whole(self) -> bool:
        """Whether `buffered` is the complete body."""
        return self.is_complete and self.is_replayable and not self._pending

    def feed(self, body: bytes, last: bool) -> None:
        """Adds received bytes of the body."""
        if self.is_ready:
            self._forward(body, last)
        elif body:
            self._buffered = self._buffered + body if self._buffered else body
        self.is_complete = self.is_complete or last

    def buffer_up_to(self, max_buffered_bytes: int) -> None:
        """Buffers more than before; no attempt may be attached."""
        self._max_buffered_bytes = max_buffered_bytes
        pending = self._pending
        self._pending = []
        for body, _last in pending:
            self._buffered += body

    def attach(self, attempt: Attempt) -> None:
        """Forwards the bytes that follow `buffered` to `attempt`."""
        self._attempt = attempt
        self._window = WINDOW_BYTES - len(self._buffered)
        pending = self._pending
        self._pending = []
        for body, last in pending:
            self._forward(body, last)

    def detach(self) -> None:
        """Buffers received bytes until the next attempt is attached."""
        self._attempt = None

    def credit(self, size: int) -> None:
        """Allows `size` more bytes to be forwarded."""
        self._window += size

    def _forward(self, body: bytes, last: bool) -> None:
        if self._attempt is None:
            self._pending.append((body, last))
            return
        self.is_replayable = False
        self._window -= len(body)
        self._attempt.send(body, last)
