"""The body of a caller's request on its way to the chosen endpoint.

The first bytes are kept, so that another attempt can send them again. What
comes after them goes straight on, as credits allow.
"""

from bilberry_proxy.attempt import Attempt
from bilberry_proxy.call import WINDOW_BYTES


class RequestBody:
    """The body of one request, as far as it has come."""

    def __init__(self, kept_bytes: int) -> None:
        """Keeps up to `kept_bytes` for further attempts."""
        self.is_complete = False
        self.is_replayable = True
        self._kept_bytes = kept_bytes
        self._kept = b''
        self._pending: list[tuple[bytes, bool]] = []
        self._attempt: Attempt | None = None
        self._window = WINDOW_BYTES

    @property
    def kept(self) -> bytes:
        """The bytes that go with the start of each attempt."""
        return self._kept

    @property
    def is_ready(self) -> bool:
        """Whether an attempt may start: the body is whole or long."""
        return self.is_complete or len(self._kept) > self._kept_bytes

    @property
    def wants_more(self) -> bool:
        """Whether the caller may send more now."""
        if not self.is_ready:
            return True
        return self._attempt is not None and self._window > 0

    @property
    def is_whole(self) -> bool:
        """Whether the bytes kept are the whole body."""
        return self.is_complete and self.is_replayable and not self._pending

    def feed(self, body: bytes, last: bool) -> None:
        """Takes more of the body from the caller."""
        if self.is_ready:
            self._forward(body, last)
        elif body:
            self._kept = self._kept + body if self._kept else body
        self.is_complete = self.is_complete or last

    def attach(self, attempt: Attempt) -> None:
        """Sends what comes after the bytes kept to `attempt`."""
        self._attempt = attempt
        self._window = WINDOW_BYTES - len(self._kept)
        pending = self._pending
        self._pending = []
        for body, last in pending:
            self._forward(body, last)

    def detach(self) -> None:
        """Holds what comes from now on."""
        self._attempt = None

    def credit(self, size: int) -> None:
        """Allows this many further bytes."""
        self._window += size

    def _forward(self, body: bytes, last: bool) -> None:
        if self._attempt is None:
            self._pending.append((body, last))
            return
        self.is_replayable = False
        self._window -= len(body)
        self._attempt.send(body, last)
