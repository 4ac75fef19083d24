"""How many bytes this process sent and received, by purpose of the stream.

Control bytes are those of every purpose but calls.
"""

from typing import NamedTuple

from bilberry_core.handshake import Purpose


class TrafficReading(NamedTuple):
    """Bytes since the start of the process."""

    sent: int
    received: int


class TrafficCounter:
    """Counts the bytes of one purpose."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.sent = 0
        self.received = 0


class Traffic:
    """Counts the bytes of every purpose."""

    def __init__(self) -> None:
        """Starts at zero."""
        self._counters = {purpose: TrafficCounter() for purpose in Purpose}

    def get_counter(self, purpose: Purpose) -> TrafficCounter:
        """Returns the counter that streams of this purpose add to."""
        return self._counters[purpose]

    def read(self) -> dict[Purpose, TrafficReading]:
        """Returns the bytes of each purpose until now."""
        return {
            purpose: TrafficReading(counter.sent, counter.received)
            for purpose, counter in self._counters.items()
        }
