"""Decides how long a response goes on after the deadline of its request.

What an upstream has made is delivered, also when late. But a body without a
length may have no end, and an upstream that sends little may have stopped. So
the daemon beside the upstream, which knows for whom the response waits, limits
what comes after the deadline.
"""

from bilberry_proxy.http_headers import Headers
from bilberry_proxy.response_size import parse_length

#: Time between two checks of a late response, in seconds.
LATE_CHECK_S = 0.05
#: Longest time after the deadline for a response without a length, and longest
#: time in which a late one waits for its upstream, in seconds.
MAX_LATE_S = 0.25
#: Longest length of a response that counts as known, in bytes.
MAX_KNOWN_BYTES = 64 << 20
#: Bytes between two checks below which a response waits for its upstream.
MIN_PROGRESS_BYTES = 4096


class LateResponse:
    """A response that is on its way when its deadline passes."""

    def __init__(self, headers: Headers) -> None:
        """`headers` are those of the response."""
        length = parse_length(headers)
        self._is_sized = length is not None and length <= MAX_KNOWN_BYTES
        self._checked_at: float | None = None
        self._received = 0
        self._spent_s: float = 0

    def add(self, size: int) -> None:
        """Counts a part of the body."""
        self._received += size

    def may_go_on(self, now: float, *, has_room: bool) -> bool:
        """Returns whether the response goes on until the next check.

        The first check is at the deadline, the next ones follow in steps of
        `LATE_CHECK_S`; `now` is monotonic time, in seconds. Without room it
        waits for its caller.
        """
        is_waiting = has_room and self._received < MIN_PROGRESS_BYTES
        since = now if self._checked_at is None else self._checked_at
        if is_waiting or not self._is_sized:
            self._spent_s += now - since
        self._checked_at = now
        self._received = 0
        return self._spent_s < MAX_LATE_S
