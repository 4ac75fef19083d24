"""Compresses long messages, where that makes them shorter."""

from zlib import compress

#: Minimum length of a message that is compressed, in bytes.
COMPRESS_BYTES = 1024
#: Share of its length that a message must lose to be worth its compression.
MIN_GAIN = 0.05
#: Messages of a type that are sent as they are after one that gained nothing.
SKIPPED_AFTER_NO_GAIN = 15
_LEVEL = 1


def compress_message(encoded: bytes) -> bytes:
    """Returns a long message compressed, a short one as it is."""
    if len(encoded) < COMPRESS_BYTES:
        return encoded
    return compress(encoded, _LEVEL)


class Compressor:
    """Compresses the messages of one stream.

    Bodies are often compressed already, and compressing them again takes time
    and gains nothing. So a type of message whose last attempt gained nothing is
    tried only now and then.
    """

    def __init__(self) -> None:
        """Starts with every type of message worth a try."""
        self._skips: dict[type, int] = {}

    def compress(self, kind: type, encoded: bytes) -> bytes:
        """Returns a message compressed, or as it is if that gains nothing."""
        if len(encoded) < COMPRESS_BYTES:
            return encoded
        skips = self._skips.get(kind, 0)
        if skips:
            self._skips[kind] = skips - 1
            return encoded
        compressed = compress(encoded, _LEVEL)
        if len(compressed) <= len(encoded) * (1 - MIN_GAIN):
            return compressed
        self._skips[kind] = SKIPPED_AFTER_NO_GAIN
        return encoded
