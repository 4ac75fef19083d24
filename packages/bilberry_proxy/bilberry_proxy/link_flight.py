"""Tracks which slices of long responses are still on this daemon's link.

The link sends in the order of arrival. So a slice that was acknowledged shows
that every slice sent before it has left the link as well, though its receiver
may not have answered yet: a slow receiver holds back nobody else.
"""

from typing import NamedTuple

#: Time after which a slice that was not acknowledged no longer counts, in
#: seconds: its receiver stands still and must not hold back the others.
STALLED_S = 1.0


class SentSlice(NamedTuple):
    """A slice that was sent at `sent_at`, in seconds, of `size` bytes.

    `position` counts the slices in the order in which they were sent.
    """

    position: int
    sent_at: float
    size: int


class LinkFlight:
    """The slices of all streams that may still be on the link."""

    def __init__(self) -> None:
        """Starts empty."""
        self._size = 0
        self._position = 0
        self._slices: dict[int, SentSlice] = {}

    def send(self, size: int, now: float) -> SentSlice:
        """Records a slice that is sent at `now`, in seconds."""
        self._position += 1
        sent = SentSlice(self._position, now, size)
        self._slices[sent.position] = sent
        self._size += size
        return sent

    def acknowledge(self, received: SentSlice) -> bool:
        """Records the receipt of a slice.

        Returns False if it had left the link before, by what is known.
        """
        if received.position not in self._slices:
            return False
        while self._slices:
            oldest = next(iter(self._slices.values()))
            if oldest.position > received.position:
                break
            self.remove(oldest)
        return True

    def remove(self, sent: SentSlice) -> None:
        """Stops counting a slice."""
        if self._slices.pop(sent.position, None) is not None:
            self._size -= sent.size

    def measure(self, now: float) -> int:
        """Returns the bytes on the link at `now`, in seconds."""
        while self._slices:
            oldest = next(iter(self._slices.values()))
            if now - oldest.sent_at <= STALLED_S:
                break
            self.remove(oldest)
        return self._size
