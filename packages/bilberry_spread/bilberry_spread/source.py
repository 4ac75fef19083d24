"""One source that a daemon is attached to, or tries."""

from enum import StrEnum
from typing import Any

from bilberry_core.board import Beacon
from bilberry_core.settings import Peer

from bilberry_spread.reception import is_later_beacon
from bilberry_spread.runtime import Link, send_if_open


class Reason(StrEnum):
    """Why a source is dialed."""

    ATTACH = 'attach'
    BEACON_STALE = 'beacon_stale'
    START_RULE = 'start_rule'
    RETURN = 'return'


class Source:
    """A source that this daemon is attached to, or tries."""

    def __init__(self, peer: Peer, why: Reason, since: float) -> None:
        """Starts without a stream, at monotonic time `since`."""
        self.peer = peer
        self.why = why
        self.since = since
        self.link: Link | None = None
        self._beacon: Beacon | None = None

    @property
    def is_open(self) -> bool:
        """Whether the stream is open."""
        return self.link is not None

    def record_beacon(self, beacon: Beacon) -> bool:
        """Tells whether this beacon is later than another from here."""
        before = self._beacon
        self._beacon = beacon
        return before is not None and is_later_beacon(beacon, before)

    def send(self, sent: Any) -> None:
        """Sends a message if the stream is open."""
        if self.link is not None:
            send_if_open(self.link, sent)

    def close(self) -> None:
        """Ends the stream."""
        if self.link is not None:
            self.link.close()
