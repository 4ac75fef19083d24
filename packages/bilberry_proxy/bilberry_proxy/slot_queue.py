"""Decides which call gets a slot next.

This combines the admission queue, the suspects, the slots and the rate limit.
It does no I/O and reads no clock; the time is passed in.
"""

from typing import Generic, NamedTuple, TypeVar

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.call import NO_WAIT_LIMIT_MS
from bilberry_core.policy import Priority

from bilberry_proxy.admission import (
    MAX_AGE_S,
    AdmissionQueue,
    Occupancy,
    Ticket,
    bound_retry_after_ms,
    is_full,
    suggest_retry_after_ms,
    would_time_out,
)
from bilberry_proxy.rank import Rank
from bilberry_proxy.slots import Slots
from bilberry_proxy.suspect_queue import SuspectQueue

QueuedCall = TypeVar('QueuedCall')

#: Reservations that may wait in the queue, per slot. Most of them get their
#: slot elsewhere.
RESERVATIONS_PER_SLOT = 16


class ShedCall(NamedTuple, Generic[QueuedCall]):
    """A shed call, the reason, and the time after which it may be retried."""

    call: QueuedCall
    detail: str
    retry_after_ms: int


class SlotQueue(Generic[QueuedCall]):
    """The slots of one upstream and the calls that wait for them.

    Times named `now` are monotonic, in seconds.
    """

    def __init__(self) -> None:
        """Starts without slots until `slots.resize` is called."""
        self.slots: Slots[QueuedCall] = Slots()
        self._queue: AdmissionQueue[QueuedCall] = AdmissionQueue()
        self._suspects: SuspectQueue[QueuedCall] = SuspectQueue()

    @property
    def is_free(self) -> bool:
        """Whether a new call gets a slot at once."""
        if self._queue or self._suspects.is_active:
            return False
        return self.slots.has_free_slot and self.slots.limiter.has_token

    def __len__(self) -> int:
        """Returns how many calls wait in the queue."""
        return len(self._queue)

    def is_free_within(
        self,
        priority: Priority,
        within_ms: int,
        now: float,
    ) -> bool:
        """Returns whether a new call is expected to get a slot in time."""
        if self.is_free or within_ms >= NO_WAIT_LIMIT_MS:
            return True
        occupancy = self.measure_occupancy()
        wait_s = self._queue.estimate_wait_s(Rank(priority), now, occupancy)
        return wait_s * MS_PER_S <= within_ms

    def push(
        self,
        call: QueuedCall,
        priority: Priority,
        now: float,
        deadline: float,
    ) -> ShedCall[QueuedCall] | None:
        """Queues a call; returns the call that is shed, if any.

        `deadline` is monotonic time, in seconds.
        """
        occupancy = self.measure_occupancy()
        age_s = min(MAX_AGE_S[priority], deadline - now)
        rank = Rank(priority)
        ahead = self._queue.count_ahead(rank)
        if would_time_out(occupancy, ahead, age_s):
            return self._shed_call(
                call, 'the wait for a slot would be too long'
            )
        shed = None
        if is_full(occupancy):
            evicted = self._queue.evict_below(rank)
            if evicted is None:
                return self._shed_call(call, 'the queue is full')
            shed = self._shed_call(
                evicted.call,
                'evicted by a call of higher priority',
            )
        self._queue.push(Ticket(call, rank, now + age_s), now)
        return shed

    def push_reservation(
        self,
        reservation: QueuedCall,
        rank: Rank,
        now: float,
        max_wait_s: float,
    ) -> ShedCall[QueuedCall] | None:
        """Queues a reservation, or sheds it if no slot is expected in time."""
        occupancy = self.measure_occupancy()
        wait_s = self._queue.estimate_wait_s(rank, now, occupancy)
        if wait_s > max_wait_s:
            excess_s = wait_s - max_wait_s + occupancy.pace.backlog_s
            self.slots.limiter.defer()
            return ShedCall(
                reservation,
                'no slot is expected to become free in time',
                bound_retry_after_ms(excess_s),
            )
        if len(self._queue) >= self.slots.capacity * RESERVATIONS_PER_SLOT:
            return self._shed_call(reservation, 'the queue is full')
        ticket = Ticket(reservation, rank, now + max_wait_s, True)
        self._queue.push(ticket, now)
        return None

    def push_suspect(self, call: QueuedCall) -> ShedCall[QueuedCall] | None:
        """Queues a suspect until the upstream is idle, or sheds it."""
        if self._suspects.is_full:
            return self._shed_call(call, 'too many suspects wait to run alone')
        self._suspects.push(call)
        return None

    def pop_next(self, now: float) -> QueuedCall | None:
        """Removes and returns the next call, which gets a slot, or None.

        A reservation may get its slot shortly before it is free.
        """
        call = self.slots.pop_early()
        if call is not None:
            return call
        call = self._find_next(now)
        if call is not None:
            self.slots.acquire()
        return call

    def try_acquire(self) -> bool:
        """Counts a call that is sent at once; False if it has to wait."""
        is_free = self.is_free
        if is_free:
            self.slots.acquire()
        return is_free

    def measure_occupancy(self) -> Occupancy:
        """Returns the load of the upstream."""
        return self.slots.measure_occupancy(len(self._queue))

    def defer(self) -> int:
        """Returns the time after which a refused call may return, in ms."""
        retry_after_ms = suggest_retry_after_ms(self.measure_occupancy())
        self.slots.limiter.defer()
        return retry_after_ms

    def end(self, call: QueuedCall, latency_s: float) -> None:
        """Frees the slot of a call; `latency_s` is 0 if it got no response."""
        self.slots.free(latency_s)
        self._suspects.end(call)

    def remove(self, call: QueuedCall, now: float) -> None:
        """Removes a waiting call."""
        if self._suspects.remove(call) or self.slots.remove_early(call):
            return
        self._queue.remove(call, now)

    def clear(self) -> list[QueuedCall]:
        """Removes and returns every waiting call."""
        queued = [ticket.call for ticket in self._queue.clear()]
        return queued + self._suspects.clear() + self.slots.clear_early()

    def shed_expired(self, now: float) -> list[ShedCall[QueuedCall]]:
        """Removes and returns the calls that have waited too long."""
        return [
            self._shed_call(ticket.call, 'the wait for a slot was too long')
            for ticket in self._queue.pop_expired(now)
        ]

    def _find_next(self, now: float) -> QueuedCall | None:
        if not self.slots.limiter.has_token:
            return None
        if self._may_start_next() and not self._suspects.blocks_others:
            ticket = self._queue.pop(now)
            if ticket is not None:
                return ticket.call
        self._suspects.end_turn_of_others()
        return self._suspects.start_next(self.slots.outstanding)

    def _may_start_next(self) -> bool:
        """Returns whether the next call in the queue may have a slot now."""
        if self.slots.has_free_slot:
            return True
        ticket = self._queue.peek()
        if ticket is None or not ticket.is_reservation:
            return False
        return self.slots.may_offer

    def _shed_call(self, call: QueuedCall, detail: str) -> ShedCall[QueuedCall]:
        return ShedCall(call, detail, self.defer())
