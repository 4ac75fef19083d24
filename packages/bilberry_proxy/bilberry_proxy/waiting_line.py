"""Which call gets a slot next: the queue, the suspects and the slots together.

No sockets and no clock: every decision is over values that are passed in.
"""

from typing import Generic, NamedTuple, TypeVar

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.call import NO_WAIT_LIMIT_MS
from bilberry_core.policy import Priority

from bilberry_proxy.admission import (
    MAX_AGE_S,
    AdmissionQueue,
    Ticket,
    estimate_wait_s,
    is_full,
    is_hopeless,
    suggest_retry_after_ms,
)
from bilberry_proxy.slots import Slots
from bilberry_proxy.suspect_lane import SuspectLane

Waiting = TypeVar('Waiting')


class Refused(NamedTuple, Generic[Waiting]):
    """A call that is shed, why, and when it may come back."""

    call: Waiting
    detail: str
    retry_after_ms: int


class WaitingLine(Generic[Waiting]):
    """The calls that wait for a slot of one upstream."""

    def __init__(self) -> None:
        """Starts empty, without slots."""
        self.slots = Slots()
        self._queue: AdmissionQueue[Waiting] = AdmissionQueue()
        self._lane: SuspectLane[Waiting] = SuspectLane()

    @property
    def is_free(self) -> bool:
        """Whether a call that comes now gets a slot at once."""
        if self._queue or self._lane.is_active:
            return False
        return self.slots.has_room

    def __len__(self) -> int:
        """Returns how many calls wait in the queue."""
        return len(self._queue)

    def is_soon_free(self, priority: Priority, within_ms: int) -> bool:
        """Tells whether a call that comes now gets a slot within this time."""
        if self.is_free or within_ms >= NO_WAIT_LIMIT_MS:
            return True
        occupancy = self.slots.measure_occupancy(len(self._queue))
        ahead = self._queue.count_ahead(priority)
        return estimate_wait_s(occupancy, ahead) * MS_PER_S <= within_ms

    def enter(
        self,
        call: Waiting,
        priority: Priority,
        now: float,
        deadline: float,
    ) -> Refused[Waiting] | None:
        """Lets a call wait; returns the call that is shed, if any.

        `now` and `deadline` are monotonic time, in seconds.
        """
        occupancy = self.slots.measure_occupancy(len(self._queue))
        age_s = min(MAX_AGE_S[priority], deadline - now)
        ahead = self._queue.count_ahead(priority)
        if is_hopeless(occupancy, ahead, age_s):
            return self._refuse(call, 'the wait for a slot would be too long')
        shed = None
        if is_full(occupancy):
            evicted = self._queue.evict_below(priority)
            if evicted is None:
                return self._refuse(call, 'the queue is full')
            shed = self._refuse(
                evicted.waiting,
                'a call of higher priority came',
            )
        self._queue.push(Ticket(call, priority, now + age_s))
        return shed

    def enter_suspect(self, call: Waiting) -> Refused[Waiting] | None:
        """Lets a suspect wait for an empty upstream, or sheds it."""
        if self._lane.is_full:
            return self._refuse(call, 'too many suspects wait to run alone')
        self._lane.push(call)
        return None

    def take_next(self) -> Waiting | None:
        """Returns the next call that gets a slot, which is taken."""
        call = self._find_next()
        if call is not None:
            self.slots.take()
        return call

    def end(self, call: Waiting, latency_s: float) -> None:
        """Takes the slot of a call back; `latency_s` is 0 if it never ran."""
        self.slots.free(latency_s)
        self._lane.end(call)

    def leave(self, call: Waiting) -> None:
        """Removes a call that waits."""
        if not self._lane.remove(call):
            self._queue.remove(call)

    def clear(self) -> list[Waiting]:
        """Removes and returns every call that waits."""
        queued = [ticket.waiting for ticket in self._queue.clear()]
        return queued + self._lane.clear()

    def shed_expired(self, now: float) -> list[Refused[Waiting]]:
        """Removes the calls that have waited for too long."""
        return [
            self._refuse(ticket.waiting, 'the wait for a slot was too long')
            for ticket in self._queue.pop_expired(now)
        ]

    def _find_next(self) -> Waiting | None:
        if self.slots.has_room and not self._lane.blocks_others:
            ticket = self._queue.pop()
            if ticket is not None:
                return ticket.waiting
        self._lane.end_others_turn()
        return self._lane.start_next(self.slots.outstanding)

    def _refuse(self, call: Waiting, detail: str) -> Refused[Waiting]:
        occupancy = self.slots.measure_occupancy(len(self._queue))
        return Refused(call, detail, suggest_retry_after_ms(occupancy))
