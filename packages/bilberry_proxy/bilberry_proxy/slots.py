"""The slots of the upstream beside this daemon, and how busy it is."""

from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import Load

from bilberry_proxy.admission import Occupancy

_US_PER_S = 1_000_000
_INITIAL_LATENCY_US = 5000
#: Weight of the newest latency in the moving mean.
_LATENCY_WEIGHT = 0.1


class Slots:
    """Counts the calls that have a slot and learns how long they take."""

    def __init__(self) -> None:
        """Starts with every slot free and none known."""
        self.outstanding = 0
        self.capacity = 0
        self._latency_us: float = _INITIAL_LATENCY_US

    @property
    def has_free_slot(self) -> bool:
        """Whether one more call may have a slot."""
        return self.outstanding < self.capacity

    def resize(self, own: Endpoint | None) -> None:
        """Takes over what the upstream announces."""
        self.capacity = min(own.slots, own.connections) if own else 0

    def acquire(self) -> None:
        """Gives a slot to a call."""
        self.outstanding += 1

    def free(self, latency_s: float) -> None:
        """Takes a slot back; `latency_s` is 0 where nothing ran."""
        self.outstanding -= 1
        if latency_s > 0:
            newest_us = latency_s * _US_PER_S
            step_us = (newest_us - self._latency_us) * _LATENCY_WEIGHT
            self._latency_us += step_us

    def measure_load(self, queued: int) -> Load:
        """Returns how busy the upstream is, as told to other daemons."""
        latency_us = int(self._latency_us)
        return Load(self.outstanding, queued, self.capacity, latency_us)

    def measure_occupancy(self, queued: int) -> Occupancy:
        """Returns how busy the upstream is, as admission weighs it."""
        latency_us = int(self._latency_us)
        return Occupancy(self.outstanding, self.capacity, queued, latency_us)
