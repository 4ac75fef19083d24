"""Counts the slots of the upstream beside this daemon and tracks its load."""

from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import Load

from bilberry_proxy.admission import Occupancy
from bilberry_proxy.rate_limiter import Pace

_US_PER_S = 1_000_000
_INITIAL_LATENCY_US = 5000
#: Weight of the newest latency in the exponential moving average.
_LATENCY_WEIGHT = 0.1


class Slots:
    """The used and free slots of an upstream, and its mean latency."""

    def __init__(self) -> None:
        """Starts with a capacity of 0 until the upstream is announced."""
        self.outstanding = 0
        self.capacity = 0
        self._latency_us: float = _INITIAL_LATENCY_US

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot is free."""
        return self.outstanding < self.capacity

    def resize(self, own: Endpoint | None) -> None:
        """Sets the capacity to what the upstream announced, 0 if None."""
        self.capacity = min(own.slots, own.connections) if own else 0

    def acquire(self) -> None:
        """Counts one more call that has a slot."""
        self.outstanding += 1

    def free(self, latency_s: float) -> None:
        """Frees a slot and updates the mean latency.

        `latency_s` is 0 if the call got no response; the mean is kept then.
        """
        self.outstanding -= 1
        if latency_s > 0:
            newest_us = latency_s * _US_PER_S
            step_us = (newest_us - self._latency_us) * _LATENCY_WEIGHT
            self._latency_us += step_us

    def measure_load(self, queued: int) -> Load:
        """Returns the load of the upstream, as reported to other daemons."""
        latency_us = int(self._latency_us)
        return Load(self.outstanding, queued, self.capacity, latency_us)

    def measure_occupancy(self, queued: int, pace: Pace = Pace()) -> Occupancy:
        """Returns the load of the upstream, as used by admission."""
        return Occupancy(
            self.outstanding,
            self.capacity,
            queued,
            int(self._latency_us),
            pace,
        )
