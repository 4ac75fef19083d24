"""Buffers and forwards the body of a request to the chosen endpoint.

The first bytes are buffered, so that another attempt can send them again. All
further bytes are forwarded, as flow-control credit allows. They are kept until
the first credit, which comes from an upstream that takes the request: a refused
attempt may have been sent a part of the body, and the next one needs the whole.
"""

from typing import NamedTuple

from bilberry_proxy.attempt import Attempt
from bilberry_proxy.call import WINDOW_BYTES
from bilberry_proxy.kept_bodies import KeptBodies


class BodyStart(NamedTuple):
    """The bytes that an attempt begins with; `last` if they are the body."""

    content: bytes
    last: bool


class RequestBody:
    """The body of one request, as received so far."""

    def __init__(
        self,
        max_buffered_bytes: int,
        kept_bodies: KeptBodies | None = None,
    ) -> None:
        """Buffers up to `max_buffered_bytes` for further attempts.

        What is forwarded behind them is kept if `kept_bodies` has room for it.
        """
        self.is_complete = False
        self.is_replayable = True
        self._max_buffered_bytes = max_buffered_bytes
        self._kept_bodies = kept_bodies
        self._buffered = b''
        self._pending: list[tuple[bytes, bool]] = []
        self._kept: list[tuple[bytes, bool]] = []
        self._kept_size = 0
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
        has_rest = bool(self._pending or self._kept)
        return self.is_complete and self.is_replayable and not has_rest

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

    def begin_attempt(self) -> BodyStart | None:
        """Returns what an attempt begins with; None if a part is lost.

        A body that can't be sent whole is not sent at all.
        """
        if not self.is_replayable:
            return None
        return BodyStart(self._buffered, self.is_whole)

    def attach(self, attempt: Attempt) -> None:
        """Forwards the bytes that follow `buffered` to `attempt`."""
        self.release()
        self._attempt = attempt
        self._window = WINDOW_BYTES - len(self._buffered)
        pending = self._pending
        self._pending = []
        for body, last in pending:
            self._forward(body, last)

    def detach(self) -> None:
        """Buffers received bytes until the next attempt is attached.

        That one begins with the bytes that this attempt was sent.
        """
        self._attempt = None
        self._pending = self._kept + self._pending
        self._kept = []

    def credit(self, size: int) -> None:
        """Allows `size` more bytes to be forwarded: the upstream reads."""
        self._window += size
        self.is_replayable = self.is_replayable and not self._kept
        self.release()
        self._kept_bodies = None

    def release(self) -> None:
        """Keeps nothing of what was forwarded any more."""
        self._kept = []
        if self._kept_bodies is not None:
            self._kept_bodies.remove(self._kept_size)
        self._kept_size = 0

    def _forward(self, body: bytes, last: bool) -> None:
        if self._attempt is None:
            self._pending.append((body, last))
            return
        self._keep(body, last)
        self._window -= len(body)
        self._attempt.send(body, last)

    def _keep(self, body: bytes, last: bool) -> None:
        kept_bodies = self._kept_bodies
        size = len(body)
        if self.is_replayable and kept_bodies and kept_bodies.add(size):
            self._kept.append((body, last))
            self._kept_size += size
            return
        self.is_replayable = False
        self.release()
