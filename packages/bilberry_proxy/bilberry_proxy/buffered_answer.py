"""An answer that is kept back until it is whole or long.

A broken answer of which the caller has seen nothing can be replaced by that
of another attempt.
"""

from bilberry_proxy.http_headers import Headers

#: Longest body that is kept back, in bytes.
MAX_BUFFERED_BYTES = 64 << 10


class BufferedAnswer:
    """The start of an answer and what has come of its body."""

    def __init__(self, status: int, headers: Headers) -> None:
        """Starts without a body."""
        self.status = status
        self.headers = headers
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def body(self) -> bytes:
        """What has come of the body."""
        return b''.join(self._parts)

    @property
    def is_long(self) -> bool:
        """Whether the answer is too long to be kept back."""
        return self._size > MAX_BUFFERED_BYTES

    def add(self, body: bytes) -> None:
        """Takes more of the body."""
        if body:
            self._parts.append(body)
            self._size += len(body)
