"""Counts the bytes that this process sends and receives, by stream purpose.

Control bytes are those of every purpose but calls.
"""

from typing import NamedTuple

from bilberry_core.handshake import Purpose


class TrafficReading(NamedTuple):
    """The bytes sent and received since the start of the process."""

    sent: int
    received: int


class TrafficCounter:
    """A counter of the bytes of one purpose."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0


class Traffic:
    """The byte counters of every purpose."""

    def __init__(self) -> None:
        self._counters = {purpose: TrafficCounter() for purpose in Purpose}

    def get_counter(self, purpose: Purpose) -> TrafficCounter:
        """Returns the counter that streams of this purpose add to."""
        return self._counters[purpose]

    def read(self) -> dict[Purpose, TrafficReading]:
        """Returns the current byte counts of each purpose."""
        return {
            purpose: TrafficReading(counter.sent, counter.received)
            for purpose, counter in self._counters.items()
        }
