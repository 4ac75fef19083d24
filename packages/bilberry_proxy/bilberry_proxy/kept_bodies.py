"""Limits the bytes of request bodies that are kept for another attempt.

The first bytes of each body are kept with its request. What is kept here comes
behind them, while it isn't known yet whether the upstream takes the request.
"""

#: Bytes that all requests of a daemon keep together.
MAX_KEPT_BYTES = 16 << 20


class KeptBodies:
    """The bytes that the requests of one daemon keep."""

    def __init__(self, max_bytes: int = MAX_KEPT_BYTES) -> None:
        """Starts with none of at most `max_bytes`."""
        self.size = 0
        self._max_bytes = max_bytes

    def add(self, size: int) -> bool:
        """Counts bytes that are kept; False if there is no room for them."""
        if self.size + size > self._max_bytes:
            return False
        self.size += size
        return True

    def remove(self, size: int) -> None:
        """Counts bytes that are kept no longer."""
        self.size -= size
