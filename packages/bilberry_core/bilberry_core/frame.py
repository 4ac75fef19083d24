"""Encodes and decodes frames.

A frame is a big-endian length of four bytes and a payload of that length.

The length is bounded, so a peer can't make a receiver buffer more than that.
"""

from collections.abc import Iterator

from bilberry_core.error import FrameError

#: Largest frame, in bytes.
MAX_FRAME_BYTES = 4 << 20
_LENGTH_BYTES = 4


def encode_frame(payload: bytes) -> bytes:
    """Returns `payload` as a frame; raises `FrameError` if it is too long."""
    size = len(payload)
    if size > MAX_FRAME_BYTES:
        raise FrameError(f'frame of {size} bytes, limit {MAX_FRAME_BYTES}')
    return size.to_bytes(_LENGTH_BYTES, 'big') + payload


class FrameReader:
    """A decoder that splits a byte stream into the payloads of its frames."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Accepts frames of at most `max_frame_bytes`."""
        self.max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    def feed(self, received: bytes) -> Iterator[bytes]:
        """Yields the payload of each complete frame.

        Raises `FrameError` if a frame exceeds the limit.
        """
        self._buffer += received
        start = 0
        buffered = len(self._buffer)
        while buffered - start >= _LENGTH_BYTES:
            body = start + _LENGTH_BYTES
            size = int.from_bytes(self._buffer[start:body], 'big')
            if size > self.max_frame_bytes:
                raise FrameError(f'frame of {size} bytes exceeds the limit')
            if buffered - body < size:
                break
            start = body + size
            yield bytes(self._buffer[body:start])
        del self._buffer[:start]
