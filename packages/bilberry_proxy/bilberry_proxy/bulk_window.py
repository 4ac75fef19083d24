"""Limits how much of long responses is on its way to all other daemons.

This handles large responses that fill the daemon's link. The link sends in the
order of arrival, so whatever is on its way delays every small message of every
stream. The window grows while long responses arrive without delay, and shrinks
when they wait on the way; so a fast link is used in full, and on a slow one a
small message waits for about `MAX_QUEUE_DELAY_S`. A call behind a request
crosses four links, and the wait at each of them adds to its time.

The window follows the delay beyond the shortest one seen lately, as that of
LEDBAT does (RFC 6817).
"""

from typing import NamedTuple

from bilberry_proxy.reply_slices import MAX_SLICE_BYTES, MIN_SLICE_BYTES

#: Delay on the way, beyond the shortest, from which the window shrinks, in
#: seconds.
MAX_QUEUE_DELAY_S = 0.005
#: Time for which the shortest delay is remembered at least, in seconds.
BASE_DELAY_S = 60.0
#: Time after which a slice that was not acknowledged no longer counts, in
#: seconds: its receiver stands still and must not hold back the others.
STALLED_S = 1.0
#: Slices after which the shortest delay of a stream is taken as known.
MIN_ACKNOWLEDGED = 16
#: Smallest and largest window, in bytes.
MIN_WINDOW_BYTES = 2 * MIN_SLICE_BYTES
MAX_WINDOW_BYTES = 16 << 20
#: Bytes by which a window that was once too large grows, or shrinks, with each
#: window that arrives without delay, or with twice the longest delay.
GAIN_BYTES = 2 * MIN_SLICE_BYTES
#: Slices that a window holds if they are of medium size.
_SLICES_PER_WINDOW = 8
#: Largest share of the window that is taken off for one late slice.
_SHRINK_SHARE = 0.125


class ShortestDelay:
    """The shortest delay of the last one or two `BASE_DELAY_S`."""

    def __init__(self) -> None:
        """Starts without a delay."""
        self._since: float = 0
        self._current_s = float('inf')
        self._previous_s = float('inf')

    @property
    def seconds(self) -> float:
        """The shortest delay, in seconds."""
        return min(self._current_s, self._previous_s)

    def record(self, delay_s: float, now: float) -> None:
        """Records a delay at `now`, both in seconds."""
        if now - self._since > BASE_DELAY_S:
            self._previous_s = self._current_s
            self._current_s = float('inf')
            self._since = now
        self._current_s = min(self._current_s, delay_s)


class BulkWindow:
    """The bytes of long responses that may be on their way at a time."""

    def __init__(self) -> None:
        """Starts with the smallest window."""
        self.size: float = MIN_WINDOW_BYTES
        self._shortest = ShortestDelay()
        self._is_new = True

    @property
    def slice_bytes(self) -> int:
        """The size of the next slice; a small window has small ones."""
        size = int(self.size / _SLICES_PER_WINDOW)
        return min(max(size, MIN_SLICE_BYTES), MAX_SLICE_BYTES)

    def adapt(
        self,
        arrived: 'ArrivedSlice',
        shortest_s: float | None,
        now: float,
    ) -> None:
        """Adapts to the delay of a slice that arrived at `now`, in seconds.

        `shortest_s` is the shortest delay on its way; None if too few were
        seen. The shortest of all ways is taken, unless this way is much
        longer: streams that begin together delay each other's slices.
        """
        delay_s, size = arrived
        self._shortest.record(delay_s, now)
        base_s = self._shortest.seconds
        if shortest_s is not None and shortest_s > base_s + MAX_QUEUE_DELAY_S:
            base_s = shortest_s
        room = 1 - (delay_s - base_s) / MAX_QUEUE_DELAY_S
        self._is_new = self._is_new and room > 0
        change = size * room
        if not self._is_new:
            change *= GAIN_BYTES / self.size
        change = max(change, -self.size * _SHRINK_SHARE)
        self.size = min(
            max(self.size + change, MIN_WINDOW_BYTES),
            MAX_WINDOW_BYTES,
        )


class ArrivedSlice(NamedTuple):
    """A slice that was received after `delay_s`, of `size` bytes."""

    delay_s: float
    size: int


class Flight:
    """The slices of one stream that are sent and not acknowledged."""

    def __init__(self) -> None:
        """Starts empty."""
        self._size = 0
        self._sent: dict[int, list[tuple[float, int]]] = {}
        self._acknowledged = 0
        self._shortest = ShortestDelay()

    def __len__(self) -> int:
        """Returns the number of calls with slices on their way."""
        return len(self._sent)

    def __contains__(self, call: int) -> bool:
        """Returns whether slices of a call are on their way."""
        return call in self._sent

    @property
    def size(self) -> int:
        """The bytes on their way, also those of a receiver at a stand."""
        return self._size

    @property
    def shortest_s(self) -> float | None:
        """The shortest delay, in seconds; None if too few were seen."""
        if self._acknowledged < MIN_ACKNOWLEDGED:
            return None
        return self._shortest.seconds

    def send(self, call: int, size: int, now: float) -> None:
        """Records a slice that is sent."""
        self._sent.setdefault(call, []).append((now, size))
        self._size += size

    def acknowledge(self, call: int, now: float) -> ArrivedSlice | None:
        """Records the receipt of a call's oldest slice, and returns it.

        Returns None if the call is not known.
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
        self._shortest.record(delay_s, now)
        return ArrivedSlice(delay_s, size)

    def measure_call(self, call: int) -> int:
        """Returns the bytes of one call that are on their way."""
        return sum(size for _, size in self._sent.get(call, ()))

    def cancel(self, call: int) -> None:
        """Forgets the slices of a call."""
        self._size -= sum(size for _, size in self._sent.pop(call, ()))

    def measure(self, now: float) -> int:
        """Returns the bytes on their way; 0 if their receiver stands still."""
        oldest = min((sent[0][0] for sent in self._sent.values()), default=now)
        return 0 if now - oldest > STALLED_S else self._size
