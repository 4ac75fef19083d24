"""Represents one source that a daemon is attached to, or probes."""

from enum import StrEnum
from typing import Any

from bilberry_core.board import Beacon
from bilberry_core.settings import Peer

from bilberry_spread.reception import is_later_beacon
from bilberry_spread.runtime import Link, send_if_open


class Reason(StrEnum):
    """The reason why a source is dialed."""

    ATTACH = 'attach'
    BEACON_STALE = 'beacon_stale'
    START_RULE = 'start_rule'
    RETURN = 'return'


class Source:
    """A source that this daemon is attached to, or probes.

    `opened` is the monotonic time at which its stream opened.
    """

    def __init__(self, peer: Peer, why: Reason, since: float) -> None:
        """Starts without a stream; `since` is the monotonic dial time."""
        self.peer = peer
        self.why = why
        self.since = since
        self.opened: float | None = None
        self.is_dial_recorded = False
        self.link: Link | None = None
        self._beacon: Beacon | None = None

    @property
    def is_open(self) -> bool:
        """Whether the stream is open."""
        return self.link is not None

    def record_beacon(self, beacon: Beacon) -> bool:
        """Records a beacon; returns whether it is later than the last."""
        before = self._beacon
        self._beacon = beacon
        return before is not None and is_later_beacon(beacon, before)

    def send(self, sent: Any) -> None:
        """Sends a message if the stream is open."""
        if self.link is not None:
            send_if_open(self.link, sent)

    def close(self) -> None:
        """Closes the stream if it is open."""
        if self.link is not None:
            self.link.close()
