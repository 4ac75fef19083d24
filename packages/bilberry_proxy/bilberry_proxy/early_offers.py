"""Decides how many slots are offered before they are free.

This handles slow ways to the senders of a full upstream. From the offer of a
slot to the arrival of the request takes a trip to the sender and back, and the
slot stands empty for as long. So slots are offered earlier by about that time:
a request that arrives before a slot is free is the next to get one.
"""

_US_PER_S = 1_000_000
#: Weight of the newest time in the exponential moving average.
_WEIGHT = 0.1
#: Time that a sender on a fast way takes, in seconds.
_INITIAL_TAKE_S = 0.001
#: Share of the time between two free slots that an empty slot may take.
MAX_EMPTY_SHARE = 0.2
#: Most slots that are offered early.
MAX_EARLY = 4


class EarlyOffers:
    """How long the senders take to use a slot that was offered."""

    def __init__(self) -> None:
        """Starts with the time of a fast way."""
        self._take_s = _INITIAL_TAKE_S

    def record_take(self, take_s: float) -> None:
        """Records the time from an offer to its request, in seconds."""
        self._take_s += (take_s - self._take_s) * _WEIGHT

    def count(self, latency_us: float, slots: int) -> int:
        """Returns how many slots may be offered early.

        `latency_us` is the mean duration of a call, in microseconds; 0 if it
        is unknown.
        """
        if not slots or not latency_us:
            return 0
        gap_s = latency_us / slots / _US_PER_S
        early = int(self._take_s / gap_s + 1 - MAX_EMPTY_SHARE)
        return min(early, MAX_EARLY)
