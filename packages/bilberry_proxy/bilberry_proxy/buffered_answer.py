"""Buffers a response until it is complete or exceeds a size limit.

If a response breaks off before anything was sent to the caller, it can be
replaced by the response of another attempt.
"""

from bilberry_proxy.http_headers import Headers

#: Longest body that is buffered, in bytes.
MAX_BUFFERED_BYTES = 64 << 10


class BufferedAnswer:
    """The head of a response and the part of its body received so far."""

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def body(self) -> bytes:
        """The part of the body received so far."""
        return b''.join(self._parts)

    @property
    def is_long(self) -> bool:
        """Whether the body is too long to be buffered."""
        return self._size > MAX_BUFFERED_BYTES

    def add(self, body: bytes) -> None:
        """Appends to the body."""
        if body:
            self._parts.append(body)
            self._size += len(body)
