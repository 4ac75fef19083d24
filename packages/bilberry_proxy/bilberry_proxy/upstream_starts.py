"""Tells announcements that arrive late from those of the newest start.

Announcements may be delayed on their way, also until after their sender has
ended and another process has announced itself at the same address.
"""

from bilberry_proxy.announcement_body import AnnouncementBody


class UpstreamStarts:
    """The newest start of the upstream that was heard of."""

    def __init__(self) -> None:
        """Starts with nothing heard."""
        self._upstream_id = ''
        self._started_ms = 0
        self._sequence = 0
        self._has_left = False

    def is_late(self, announced: AnnouncementBody) -> bool:
        """Tells whether something newer was heard before."""
        if announced.started_ms != self._started_ms:
            return announced.started_ms < self._started_ms
        if announced.upstream_id != self._upstream_id:
            return False
        if not announced.sequence:
            return False
        return self._has_left or announced.sequence <= self._sequence

    def note(self, announced: AnnouncementBody) -> None:
        """Takes in an announcement that is not late."""
        self._upstream_id = announced.upstream_id
        self._started_ms = announced.started_ms
        self._sequence = announced.sequence
        self._has_left = False

    def end(self, upstream_id: str) -> bool:
        """Notes that an upstream leaves; False where it is not the newest."""
        if upstream_id != self._upstream_id:
            return False
        self._has_left = True
        return True
