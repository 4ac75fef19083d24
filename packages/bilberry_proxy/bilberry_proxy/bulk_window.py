"""Limits how much of long responses is on its way to all other daemons.

This handles large responses that fill the daemon's link. The link sends in the
order of arrival, so whatever is on its way delays every small message of every
stream. The window grows while long responses arrive without delay, and shrinks
when they wait on the way; so a fast link is used in full, and on a slow one a
small message waits for about `MAX_QUEUE_DELAY_S`. A call behind a request
crosses four links, and the wait at each of them adds to its time.

The window follows the delay beyond the shortest one, as that of LEDBAT does
(RFC 6817). A receiver or this daemon may be busy when a slice arrives, and a
wait for that is no queue on the link. So the least delay of several slices is
taken: a queue delays all of them. Where all wait for busy daemons, small
messages wait there as well, and a share of that wait is allowed on the link.
"""

from typing import NamedTuple

from bilberry_proxy.reply_slices import MAX_SLICE_BYTES, MIN_SLICE_BYTES

#: Delay on the link from which the window shrinks, in seconds.
MAX_QUEUE_DELAY_S = 0.005
#: Delay on the link at which a new window no longer doubles, in seconds.
START_QUEUE_DELAY_S = MAX_QUEUE_DELAY_S / 2
#: Share of the mean delay that the link may add to it, if that is more.
QUEUE_SHARE = 0.5
#: Slices whose least delay is taken.
SAMPLE_SLICES = 16
#: Smallest and largest window, in bytes.
MIN_WINDOW_BYTES = 2 * MIN_SLICE_BYTES
MAX_WINDOW_BYTES = 16 << 20
#: Bytes by which a window that was once too large grows, if a sample arrived
#: without delay.
GAIN_BYTES = MIN_SLICE_BYTES
#: Share of a window by which it grows, if that is more.
GAIN_SHARE = 0.25
#: Largest share of the window that is taken off after one sample.
MAX_LOSS_SHARE = 0.5
#: Time after which a measured rate is no longer known, in seconds.
RATE_AGE_S = 30.0
#: Weight of the newest rate in the exponential moving average.
_RATE_WEIGHT = 0.25
#: Slices that a window holds if they are of medium size.
_SLICES_PER_WINDOW = 8


class ArrivedSlice(NamedTuple):
    """A slice that was received after `delay_s`, of `size` bytes."""

    delay_s: float
    size: int


class DelaySample:
    """The delays of the last slices.

    `is_limited` tells whether the window held back responses all the while.
    """

    def __init__(self, now: float) -> None:
        """Starts at `now`, in seconds, without delays."""
        self.is_limited = True
        self.least_s = float('inf')
        self._sum_s: float = 0
        self._count = 0
        self._size = 0
        self._since = now

    @property
    def mean_s(self) -> float:
        """The mean delay, in seconds."""
        return self._sum_s / self._count

    def add(self, arrived: ArrivedSlice) -> None:
        """Adds a slice."""
        self.least_s = min(self.least_s, arrived.delay_s)
        self._sum_s += arrived.delay_s
        self._count += 1
        self._size += arrived.size

    def is_complete(self, window: float) -> bool:
        """Returns whether a `window` of bytes has arrived, and some slices."""
        return self._count >= SAMPLE_SLICES and self._size >= window

    def measure_rate(self, now: float) -> float:
        """Returns the rate of arrival until `now`, in bytes a second."""
        return self._size / max(now - self._since, 1e-3)


class LinkRate:
    """The rate at which long responses leave, while others wait.

    It is known once something was seen to wait on the link: before that the
    window is small, and the link may carry much more.
    """

    def __init__(self) -> None:
        """Starts unknown."""
        self._mean: float = 0
        self._measured_at = float('-inf')

    def record(self, rate: float, now: float) -> None:
        """Records a rate, in bytes a second, at `now`, in seconds."""
        if self.estimate(now) is None:
            self._mean = rate
        self._mean += (rate - self._mean) * _RATE_WEIGHT
        self._measured_at = now

    def estimate(self, now: float) -> float | None:
        """Returns the rate in bytes a second; None if it is not known."""
        if now - self._measured_at > RATE_AGE_S:
            return None
        return self._mean


class BulkWindow:
    """The bytes of long responses that may be on their way at a time."""

    def __init__(self) -> None:
        """Starts with the smallest window."""
        self.size: float = MIN_WINDOW_BYTES
        self.rate = LinkRate()
        self._base_s = float('inf')
        self._is_new = True
        self._sample: DelaySample | None = None

    @property
    def slice_bytes(self) -> int:
        """The size of the next slice; a small window has small ones."""
        size = int(self.size / _SLICES_PER_WINDOW)
        return min(max(size, MIN_SLICE_BYTES), MAX_SLICE_BYTES)

    def pause(self) -> None:
        """Records that the window holds back nothing now."""
        if self._sample is not None:
            self._sample.is_limited = False

    def adapt(self, arrived: ArrivedSlice, now: float) -> None:
        """Adapts to a slice that arrived at `now`, in seconds."""
        self._base_s = min(self._base_s, arrived.delay_s)
        if self._is_new:
            self._start(arrived)
        if self._sample is None:
            self._sample = DelaySample(now)
        self._sample.add(arrived)
        if self._sample.is_complete(self.size):
            sample = self._sample
            self._sample = None
            self._follow(sample, now)

    def _follow(self, sample: DelaySample, now: float) -> None:
        rate = sample.measure_rate(now)
        queue_s = sample.least_s - self._base_s
        if queue_s > START_QUEUE_DELAY_S:
            self._is_new = False
        allowed_s = max(
            (sample.mean_s - self._base_s) * QUEUE_SHARE,
            MAX_QUEUE_DELAY_S,
        )
        if sample.is_limited and not self._is_new:
            self.rate.record(rate, now)
        if queue_s < allowed_s:
            if sample.is_limited:
                self._grow(1 - queue_s / allowed_s)
        else:
            self._shrink((queue_s - allowed_s) * rate, sample)

    def _start(self, arrived: ArrivedSlice) -> None:
        """Doubles the window with each that arrives without delay."""
        room = 1 - (arrived.delay_s - self._base_s) / START_QUEUE_DELAY_S
        if room > 0:
            gain = arrived.size * room
            self.size = min(self.size + gain, MAX_WINDOW_BYTES)

    def _grow(self, room: float) -> None:
        gain = max(GAIN_BYTES, self.size * GAIN_SHARE)
        self.size = min(self.size + gain * room, MAX_WINDOW_BYTES)

    def _shrink(self, excess: float, sample: DelaySample) -> None:
        """Takes the bytes that wait for too long off the window.

        A delay that stays with the smallest window is that of the way.
        """
        if self.size <= MIN_WINDOW_BYTES:
            self._base_s = sample.least_s
        loss = min(excess, self.size * MAX_LOSS_SHARE)
        self.size = max(self.size - loss, MIN_WINDOW_BYTES)
