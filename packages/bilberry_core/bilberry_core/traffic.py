"""Counts what this process sends and receives, by stream purpose.

Control bytes are those of every purpose but calls.
"""

from typing import NamedTuple

from bilberry_core.handshake import Purpose


class TrafficReading(NamedTuple):
    """The bytes sent and received since the start of the process.

    `refused` are invalid records of received messages.
    """

    sent: int
    received: int
    refused: int = 0


class TrafficCounter:
    """A counter of the bytes and the refused records of one purpose."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        self.refused = 0


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
            purpose: TrafficReading(
                counter.sent, counter.received, counter.refused
            )
            for purpose, counter in self._counters.items()
        }
