"""Detects announcements that are older than the upstream's newest start.

An announcement may arrive late: after its sender has ended and another
process has announced itself at the same address, or after this daemon was
restarted and lost the announcements it had received.
"""

from typing import NamedTuple

from bilberry_core.announced_state import AnnouncedState
from bilberry_core.bounds import MAX_NAME_LENGTH
from bilberry_core.departure import DEPARTURE_S
from bilberry_core.endpoint import EndpointState
from bilberry_core.upstream_notice import UpstreamIdentity
from msgspec.structs import replace

from bilberry_proxy.announcement_body import AnnouncementBody

#: Longest time for which an announcement may be delayed, in seconds.
MAX_DELAY_S = 15.0
#: Most by which the clock of an upstream may be ahead, in milliseconds.
MAX_AHEAD_MS = 86_400_000
#: Time for which a start that has left must go on to announce itself until the
#: departure is taken for that of an earlier start, in seconds.
RETURN_S = DEPARTURE_S
#: Number of announcements in that time, at least.
MIN_RETURNS = 3


class Timestamp(NamedTuple):
    """Monotonic time in seconds, and wall clock time in milliseconds."""

    now: float
    wall_ms: int


class ReturningStart(NamedTuple):
    """A start that has left and announces itself again.

    `since` is the time of the first such announcement, in seconds, `sequence`
    the number of the newest of `count`.
    """

    upstream: UpstreamIdentity
    since: float
    sequence: int
    count: int = 1


class UpstreamStarts:
    """The newest known start of the upstream, and recent departures.

    This daemon may receive the departure of a start that it doesn't know: it
    was restarted, or every announcement of that start is late. The departure is
    remembered for `MAX_DELAY_S`: an announcement of a start before it is late.

    A departure names no start, so a late one may end a start that is newer.
    That one goes on to announce itself; after `RETURN_S` it is taken for a
    start of its own, as of then.
    """

    def __init__(self) -> None:
        """Starts without a known upstream."""
        self._upstream_id = ''
        self._started_ms = 0
        self._sequence = 0
        self._has_left = False
        self._departures: dict[str, Timestamp] = {}
        self._returning: ReturningStart | None = None
        self._returned: dict[UpstreamIdentity, int] = {}

    @property
    def has_left_for_good(self) -> bool:
        """Whether the newest known start has left and can't come back.

        An upstream that doesn't name its starts may announce itself again.
        """
        is_named = bool(self._upstream_id and self._started_ms)
        return self._has_left and is_named and bool(self._sequence)

    @property
    def sequence(self) -> int:
        """The number of the newest announcement, 0 if it has none."""
        return self._sequence

    def check(self, announced: AnnouncementBody, wall_ms: int) -> None:
        """Raises `ValueError` if the announced start is yet to come.

        Each announcement of an upstream that has started would be late.
        """
        ahead_ms = announced.started_ms - wall_ms
        if ahead_ms > MAX_AHEAD_MS:
            raise ValueError(f'the start is {ahead_ms} ms in the future')

    def admit(
        self, announced: AnnouncementBody, timestamp: Timestamp
    ) -> AnnouncementBody | None:
        """Returns the announcement to use; None if it is late."""
        upstream = UpstreamIdentity(announced.upstream_id, announced.started_ms)
        returned_ms = self._returned.get(upstream)
        if returned_ms is not None:
            announced = replace(announced, started_ms=returned_ms)
        if not self.is_late(announced, timestamp.now):
            return announced
        if not self._has_returned(announced, timestamp.now):
            return None
        self._returned = {upstream: timestamp.wall_ms}
        return replace(announced, started_ms=timestamp.wall_ms)

    def is_late(self, announced: AnnouncementBody, now: float) -> bool:
        """Returns whether a newer announcement or departure is known."""
        if self._departed_since(announced, now):
            return True
        if announced.started_ms != self._started_ms:
            return announced.started_ms < self._started_ms
        if announced.upstream_id != self._upstream_id:
            return False
        if not announced.sequence:
            return False
        return self._has_left or announced.sequence <= self._sequence

    def note(self, announced: AnnouncementBody) -> None:
        """Records an announcement that is not late."""
        self._upstream_id = announced.upstream_id
        self._started_ms = announced.started_ms
        self._sequence = announced.sequence
        self._has_left = False

    def note_sequence(self, sequence: int) -> None:
        """Records the number of an announcement that was acknowledged before.

        Announcements of the newest known start up to it are late.
        """
        self._sequence = max(self._sequence, sequence)

    def end(self, upstream_id: str, timestamp: Timestamp) -> bool:
        """Records that an upstream left.

        Returns False if it isn't the upstream of the newest known start.
        """
        is_current = upstream_id == self._upstream_id
        if self._has_left or not is_current:
            # It may be that of a start of which nothing was heard yet.
            self._drop_old_departures(timestamp.now)
            self._departures[upstream_id] = timestamp
        if is_current:
            self._has_left = True
        return is_current

    def describe_departure(self, upstream_id: str) -> AnnouncedState | None:
        """Returns the state to be kept of an upstream that left.

        None if its departure binds no other start: it names none.
        """
        departure = self._departures.get(upstream_id)
        if departure is not None and 0 < len(upstream_id) <= MAX_NAME_LENGTH:
            bound = UpstreamIdentity(upstream_id, departure.wall_ms)
            return AnnouncedState(bound, 0, EndpointState.GONE)
        if upstream_id != self._upstream_id or not self.has_left_for_good:
            return None
        upstream = UpstreamIdentity(upstream_id, self._started_ms)
        return AnnouncedState(upstream, self._sequence, EndpointState.GONE)

    def _has_returned(self, announced: AnnouncementBody, now: float) -> bool:
        """Returns whether a start that left shows that it has not."""
        upstream = UpstreamIdentity(announced.upstream_id, announced.started_ms)
        is_newest = upstream == (self._upstream_id, self._started_ms)
        if not (is_newest and self.has_left_for_good and announced.sequence):
            return False
        known = self._returning
        if known is None or known.upstream != upstream:
            known = ReturningStart(upstream, now, announced.sequence)
        elif announced.sequence > known.sequence:
            known = known._replace(
                sequence=announced.sequence, count=known.count + 1
            )
        else:
            return False
        self._returning = known
        return known.count >= MIN_RETURNS and now - known.since > RETURN_S

    def _departed_since(self, announced: AnnouncementBody, now: float) -> bool:
        self._drop_old_departures(now)
        departure = self._departures.get(announced.upstream_id)
        return (
            departure is not None and announced.started_ms <= departure.wall_ms
        )

    def _drop_old_departures(self, now: float) -> None:
        for upstream_id, departure in tuple(self._departures.items()):
            if now - departure.now > MAX_DELAY_S:
                del self._departures[upstream_id]
