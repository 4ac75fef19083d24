"""Limits how much of long responses is on its way to all other daemons.

This handles large responses that fill the daemon's link. The link sends in the
order of arrival, so whatever is on its way delays every small message of every
stream. The window grows while long responses arrive without delay, and shrinks
when they wait on the way; so a fast link is used in full, and on a slow one a
small message waits for about `MAX_QUEUE_DELAY_S`.
"""

from bilberry_proxy.reply_slices import SLICE_BYTES

#: Delay on the way, beyond the shortest seen, beyond which the window shrinks.
MAX_QUEUE_DELAY_S = 0.05
#: Time after which a slice that was not acknowledged no longer counts, in
#: seconds: its receiver stands still and must not hold back the others.
STALLED_S = 1.0
#: Slices after which the shortest delay of a stream is taken as known.
MIN_ACKNOWLEDGED = 16
#: Smallest and largest window, in bytes.
MIN_WINDOW_BYTES = 2 * SLICE_BYTES
MAX_WINDOW_BYTES = 16 << 20
#: Largest share of the window that is taken off for one late slice.
_SHRINK_SHARE = 0.125


class BulkWindow:
    """The bytes of long responses that may be on their way at a time."""

    def __init__(self) -> None:
        """Starts with the smallest window."""
        self.size: float = MIN_WINDOW_BYTES
        self._shortest_s = float('inf')

    def adapt(self, delay_s: float, shortest_s: float | None) -> None:
        """Adapts to the delay of a slice.

        `shortest_s` is the shortest delay on its way; None if too few were
        seen. The shortest of all ways is taken, unless this way is much
        longer: streams that begin together delay each other's slices.
        """
        self._shortest_s = min(self._shortest_s, delay_s)
        base_s = self._shortest_s
        if shortest_s is not None and shortest_s > base_s + MAX_QUEUE_DELAY_S:
            base_s = shortest_s
        room = 1 - (delay_s - base_s) / MAX_QUEUE_DELAY_S
        change = max(SLICE_BYTES * room, -self.size * _SHRINK_SHARE)
        size = self.size + change
        self.size = min(max(size, MIN_WINDOW_BYTES), MAX_WINDOW_BYTES)


class Flight:
    """The slices of one stream that are sent and not acknowledged."""

    def __init__(self) -> None:
        """Starts empty."""
        self._size = 0
        self._sent: dict[int, list[tuple[float, int]]] = {}
        self._acknowledged = 0
        self._shortest_s = float('inf')

    @property
    def shortest_s(self) -> float | None:
        """The shortest delay, in seconds; None if too few were seen."""
        if self._acknowledged < MIN_ACKNOWLEDGED:
            return None
        return self._shortest_s

    def send(self, call: int, size: int, now: float) -> None:
        """Records a slice that is sent."""
        self._sent.setdefault(call, []).append((now, size))
        self._size += size

    def acknowledge(self, call: int, now: float) -> float | None:
        """Records the receipt of a call's oldest slice.

        Returns its delay in seconds; None if the call is not known.
        """
        sent = self._sent.get(call)
        if sent is None:
            return None
        sent_at, size = sent.pop(0)
        if not sent:
            self._sent.pop(call)
        self._size -= size
        delay_s = now - sent_at
        self._acknowledged += 1
        self._shortest_s = min(self._shortest_s, delay_s)
        return delay_s

    def cancel(self, call: int) -> None:
        """Forgets the slices of a call."""
        self._size -= sum(size for _, size in self._sent.pop(call, ()))

    def measure(self, now: float) -> int:
        """Returns the bytes on their way; 0 if their receiver stands still."""
        oldest = min((sent[0][0] for sent in self._sent.values()), default=now)
        return 0 if now - oldest > STALLED_S else self._size
