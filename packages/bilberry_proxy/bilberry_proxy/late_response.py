"""Decides how long a response goes on after the deadline of its request.

What an upstream has made is delivered, also when late. But a body without a
length may have no end, and an upstream that sends nothing may have stopped. So
the daemon beside the upstream, which knows for whom the response waits, limits
what comes after the deadline.
"""

from bilberry_proxy.http_headers import Headers
from bilberry_proxy.response_size import MAX_BYTES, parse_length

#: Time between two checks of a late response, in seconds.
LATE_CHECK_S = 0.05
#: Longest time for which a late response of known length waits for its
#: upstream, in seconds.
MAX_SIZED_WAIT_S = 5.0
#: The same of a response without a length, in seconds.
MAX_UNSIZED_WAIT_S = 0.2
#: Bytes that a response without a length has after the deadline.
MAX_UNSIZED_BYTES = 1 << 20


class LateResponse:
    """A response that is on its way when its deadline passes."""

    def __init__(self, headers: Headers) -> None:
        """`headers` are those of the response."""
        length = parse_length(headers)
        self._is_sized = length is not None and length <= MAX_BYTES
        self._is_late = False
        self._late_bytes = 0
        self._waited_s: float = 0

    def add(self, size: int) -> None:
        """Counts a part of the body."""
        if self._is_late:
            self._late_bytes += size

    def may_go_on(self, *, waits_for_upstream: bool) -> bool:
        """Returns whether the response goes on until the next check.

        The first check is at the deadline, the next ones follow in steps of
        `LATE_CHECK_S`.
        """
        if self._is_late and waits_for_upstream:
            self._waited_s += LATE_CHECK_S
        self._is_late = True
        if self._is_sized:
            return self._waited_s < MAX_SIZED_WAIT_S
        if self._late_bytes > MAX_UNSIZED_BYTES:
            return False
        return self._waited_s < MAX_UNSIZED_WAIT_S
