"""Counts the slots of the upstream beside this daemon and tracks its load."""

from collections import deque
from typing import Generic, TypeVar

from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import Load

from bilberry_proxy.admission import Occupancy
from bilberry_proxy.early_offers import EarlyOffers
from bilberry_proxy.rate_limiter import RateLimiter

SlotCall = TypeVar('SlotCall')

_US_PER_S = 1_000_000
_INITIAL_LATENCY_US = 5000
#: Weight of the newest latency in the exponential moving average.
_LATENCY_WEIGHT = 0.1


class Slots(Generic[SlotCall]):
    """The slots of an upstream, its rate limit and its mean latency.

    `outstanding` counts the calls that have a slot or were offered one, and
    `running` those that were sent to the upstream. A slot may be offered
    before it is free; the call then waits for it here.
    """

    def __init__(self) -> None:
        """Starts with a capacity of 0 until the upstream is announced."""
        self.outstanding = 0
        self.running = 0
        self.capacity = 0
        self.limiter = RateLimiter()
        self.early_offers = EarlyOffers()
        self._early: deque[SlotCall] = deque()
        self._latency_us: float = _INITIAL_LATENCY_US
        self._has_ended = False

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot is free and not offered."""
        return self.outstanding < self.capacity

    @property
    def may_offer(self) -> bool:
        """Whether a slot is free, or is to be offered before it is."""
        latency_us = self._latency_us if self._has_ended else 0
        early = self.early_offers.count(latency_us, self.capacity)
        return self.outstanding < self.capacity + early

    def resize(self, own: Endpoint | None) -> None:
        """Sets the capacity to what the upstream announced, 0 if None."""
        self.capacity = min(own.slots, own.connections) if own else 0

    def acquire(self) -> None:
        """Counts one more call that has a slot or is offered one."""
        self.outstanding += 1
        self.limiter.take()

    def give_back(self) -> None:
        """Frees a slot that no request was sent to."""
        self.outstanding -= 1
        self.limiter.give_back()

    def is_ready_for(self, call: SlotCall) -> bool:
        """Returns whether the slot that was offered to a call is free.

        Otherwise the call gets the next one, before all others.
        """
        if self.running < self.capacity:
            return True
        self._early.append(call)
        return False

    def pop_early(self) -> SlotCall | None:
        """Removes and returns a call that came before its slot was free."""
        if self._early and self.running < self.capacity:
            return self._early.popleft()
        return None

    def remove_early(self, call: SlotCall) -> bool:
        """Removes a call that waits for its slot, and frees that."""
        if call not in self._early:
            return False
        self._early.remove(call)
        self.give_back()
        return True

    def clear_early(self) -> list[SlotCall]:
        """Removes and returns all calls that wait for their slots."""
        calls = list(self._early)
        for call in calls:
            self.remove_early(call)
        return calls

    def run(self) -> None:
        """Counts one more call that is sent to the upstream."""
        self.running += 1

    def free(self, latency_s: float) -> None:
        """Frees the slot of a call and updates the mean latency.

        `latency_s` is 0 if the call got no response; the mean is kept then.
        """
        self.outstanding -= 1
        self.running -= 1
        if latency_s > 0:
            self._has_ended = True
            newest_us = latency_s * _US_PER_S
            step_us = (newest_us - self._latency_us) * _LATENCY_WEIGHT
            self._latency_us += step_us

    def measure_load(self, queued: int) -> Load:
        """Returns the load of the upstream, as reported to other daemons."""
        latency_us = int(self._latency_us)
        return Load(self.outstanding, queued, self.capacity, latency_us)

    def measure_occupancy(self, queued: int) -> Occupancy:
        """Returns the load of the upstream, as used by admission."""
        return Occupancy(
            self.outstanding,
            self.capacity,
            queued,
            int(self._latency_us),
            self.limiter.pace,
        )
