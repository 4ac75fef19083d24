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
    suggest_retry_after_ms,
    would_time_out,
)
from bilberry_proxy.slots import Slots
from bilberry_proxy.suspect_queue import SuspectQueue

Waiting = TypeVar('Waiting')


class ShedCall(NamedTuple, Generic[Waiting]):
    """A call that is shed, why, and when it may come back."""

    call: Waiting
    detail: str
    retry_after_ms: int


class SlotQueue(Generic[Waiting]):
    """The calls that wait for a slot of one upstream."""

    def __init__(self) -> None:
        """Starts empty, without slots."""
        self.slots = Slots()
        self._queue: AdmissionQueue[Waiting] = AdmissionQueue()
        self._suspects: SuspectQueue[Waiting] = SuspectQueue()

    @property
    def is_free(self) -> bool:
        """Whether a call that comes now gets a slot at once."""
        if self._queue or self._suspects.is_active:
            return False
        return self.slots.has_free_slot

    def __len__(self) -> int:
        """Returns how many calls wait in the queue."""
        return len(self._queue)

    def is_free_within(self, priority: Priority, within_ms: int) -> bool:
        """Tells whether a call that comes now gets a slot within this time."""
        if self.is_free or within_ms >= NO_WAIT_LIMIT_MS:
            return True
        occupancy = self.slots.measure_occupancy(len(self._queue))
        ahead = self._queue.count_ahead(priority)
        return estimate_wait_s(occupancy, ahead) * MS_PER_S <= within_ms

    def push(
        self,
        call: Waiting,
        priority: Priority,
        now: float,
        deadline: float,
    ) -> ShedCall[Waiting] | None:
        """Lets a call wait; returns the call that is shed, if any.

        `now` and `deadline` are monotonic time, in seconds.
        """
        occupancy = self.slots.measure_occupancy(len(self._queue))
        age_s = min(MAX_AGE_S[priority], deadline - now)
        ahead = self._queue.count_ahead(priority)
        if would_time_out(occupancy, ahead, age_s):
            return self._build_shed(
                call, 'the wait for a slot would be too long'
            )
        shed = None
        if is_full(occupancy):
            evicted = self._queue.evict_below(priority)
            if evicted is None:
                return self._build_shed(call, 'the queue is full')
            shed = self._build_shed(
                evicted.waiting,
                'a call of higher priority came',
            )
        self._queue.push(Ticket(call, priority, now + age_s))
        return shed

    def push_suspect(self, call: Waiting) -> ShedCall[Waiting] | None:
        """Lets a suspect wait for an empty upstream, or sheds it."""
        if self._suspects.is_full:
            return self._build_shed(call, 'too many suspects wait to run alone')
        self._suspects.push(call)
        return None

    def pop_next(self) -> Waiting | None:
        """Returns the next call that gets a slot, which is taken."""
        call = self._find_next()
        if call is not None:
            self.slots.acquire()
        return call

    def end(self, call: Waiting, latency_s: float) -> None:
        """Takes the slot of a call back; `latency_s` is 0 if it never ran."""
        self.slots.free(latency_s)
        self._suspects.end(call)

    def remove(self, call: Waiting) -> None:
        """Removes a call that waits."""
        if not self._suspects.remove(call):
            self._queue.remove(call)

    def clear(self) -> list[Waiting]:
        """Removes and returns every call that waits."""
        queued = [ticket.waiting for ticket in self._queue.clear()]
        return queued + self._suspects.clear()

    def shed_expired(self, now: float) -> list[ShedCall[Waiting]]:
        """Removes the calls that have waited for too long."""
        return [
            self._build_shed(ticket.waiting, 'the wait for a slot was too long')
            for ticket in self._queue.pop_expired(now)
        ]

    def _find_next(self) -> Waiting | None:
        if self.slots.has_free_slot and not self._suspects.blocks_others:
            ticket = self._queue.pop()
            if ticket is not None:
                return ticket.waiting
        self._suspects.end_turn_of_others()
        return self._suspects.start_next(self.slots.outstanding)

    def _build_shed(self, call: Waiting, detail: str) -> ShedCall[Waiting]:
        occupancy = self.slots.measure_occupancy(len(self._queue))
        return ShedCall(call, detail, suggest_retry_after_ms(occupancy))
