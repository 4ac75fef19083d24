"""Represents one source of configurations that this daemon has a stream to."""

from enum import StrEnum
from typing import Any

from bilberry_core.board import Beacon
from bilberry_core.clock import MS_PER_S
from bilberry_core.keepalive import MAX_UNACKNOWLEDGED_MS
from bilberry_core.settings import Peer

from bilberry_spread.reception import is_later_beacon
from bilberry_spread.runtime import Link, send_if_open

#: Longest time that a subscription may take to its source, in seconds.
SUBSCRIPTION_S = MAX_UNACKNOWLEDGED_MS / MS_PER_S


class Reason(StrEnum):
    """The reason why a source is dialed."""

    ATTACH = 'attach'
    BEACON_STALE = 'beacon_stale'
    START_RULE = 'start_rule'
    STANDBY = 'standby'
    RETURN = 'return'


class Source:
    """A source that this daemon is attached to, or may attach to.

    `since` is the monotonic time of the dial, `opened` that of the open stream
    and `asked` that at which it was last asked for a configuration, in seconds.
    """

    def __init__(self, peer: Peer, why: Reason, since: float) -> None:
        """Starts without a stream."""
        self.peer = peer
        self.why = why
        self.since = since
        self.opened: float | None = None
        self.asked: float = since
        self.is_dial_recorded = False
        self.link: Link | None = None
        self._beacon: Beacon | None = None
        self._first_beacon: float | None = None
        self._last_advance: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether the stream is open."""
        return self.link is not None

    @property
    def beacon(self) -> Beacon | None:
        """The last beacon of the source."""
        return self._beacon

    def open(self, link: Link, now: float) -> None:
        """Records that the stream is open."""
        self.link = link
        self.opened = now

    def record_beacon(
        self, beacon: Beacon, now: float, *, is_newest: bool
    ) -> bool:
        """Records a beacon; returns whether it is later than the last.

        The first one shows that the source is current only if it is newer than
        those of all other sources.
        """
        before = self._beacon
        self._beacon = beacon
        if before is None:
            self._first_beacon = now
        is_later = before is not None and is_later_beacon(beacon, before)
        if is_later or is_newest:
            self._last_advance = now
        return is_later

    def has_advanced_within(self, seconds: float, now: float) -> bool:
        """Returns whether its beacon advanced in the last `seconds`."""
        advanced = self._last_advance
        return advanced is not None and now - advanced < seconds

    def is_open_for(self, seconds: float, now: float) -> bool:
        """Returns whether the stream has been open for `seconds`."""
        return self.opened is not None and now - self.opened >= seconds

    def is_silent(self, seconds: float, now: float) -> bool:
        """Returns whether it is open, but no beacon advanced in `seconds`."""
        if not self.is_open_for(seconds, now):
            return False
        return not self.has_advanced_within(seconds, now)

    def is_lost(self, seconds: float, now: float) -> bool:
        """Returns whether it is silent, and no beacon can be on its way.

        Until the first beacon the subscription may take as long as it may be
        unacknowledged.
        """
        if self._first_beacon is None:
            return self.is_open_for(SUBSCRIPTION_S + seconds, now)
        is_new = now - self._first_beacon < seconds
        return not is_new and self.is_silent(seconds, now)

    def is_behind(self, version: int, seconds: float, now: float) -> bool:
        """Returns whether it names a newer version, but does not send it."""
        if self._beacon is None or self._beacon.version <= version:
            return False
        return now - self.asked >= SUBSCRIPTION_S + seconds

    def send(self, sent: Any) -> None:
        """Sends a message if the stream is open."""
        if self.link is not None:
            send_if_open(self.link, sent)

    def close(self) -> None:
        """Closes the stream if it is open."""
        if self.link is not None:
            self.link.close()
