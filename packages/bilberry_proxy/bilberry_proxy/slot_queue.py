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
    estimate_wait_s,
    is_full,
    suggest_retry_after_ms,
    would_time_out,
)
from bilberry_proxy.rate_limiter import RateLimiter
from bilberry_proxy.slots import Slots
from bilberry_proxy.suspect_queue import SuspectQueue

QueuedCall = TypeVar('QueuedCall')


class ShedCall(NamedTuple, Generic[QueuedCall]):
    """A shed call, the reason, and the time after which it may be retried."""

    call: QueuedCall
    detail: str
    retry_after_ms: int


class SlotQueue(Generic[QueuedCall]):
    """The slots of one upstream and the calls that wait for them."""

    def __init__(self) -> None:
        """Starts without slots until `slots.resize` is called."""
        self.slots = Slots()
        self.limiter = RateLimiter()
        self._queue: AdmissionQueue[QueuedCall] = AdmissionQueue()
        self._suspects: SuspectQueue[QueuedCall] = SuspectQueue()

    @property
    def is_free(self) -> bool:
        """Whether a new call gets a slot at once."""
        if self._queue or self._suspects.is_active:
            return False
        return self._may_send

    @property
    def _may_send(self) -> bool:
        return self.slots.has_free_slot and self.limiter.has_token

    def __len__(self) -> int:
        """Returns how many calls wait in the queue."""
        return len(self._queue)

    def is_free_within(self, priority: Priority, within_ms: int) -> bool:
        """Returns whether a new call is expected to get a slot in time."""
        if self.is_free or within_ms >= NO_WAIT_LIMIT_MS:
            return True
        occupancy = self.measure_occupancy()
        ahead = self._queue.count_ahead(priority)
        return estimate_wait_s(occupancy, ahead) * MS_PER_S <= within_ms

    def push(
        self,
        call: QueuedCall,
        priority: Priority,
        now: float,
        deadline: float,
    ) -> ShedCall[QueuedCall] | None:
        """Queues a call; returns the call that is shed, if any.

        `now` and `deadline` are monotonic time, in seconds.
        """
        occupancy = self.measure_occupancy()
        age_s = min(MAX_AGE_S[priority], deadline - now)
        ahead = self._queue.count_ahead(priority)
        if would_time_out(occupancy, ahead, age_s):
            return self._shed_call(
                call, 'the wait for a slot would be too long'
            )
        shed = None
        if is_full(occupancy):
            evicted = self._queue.evict_below(priority)
            if evicted is None:
                return self._shed_call(call, 'the queue is full')
            shed = self._shed_call(
                evicted.call,
                'evicted by a call of higher priority',
            )
        self._queue.push(Ticket(call, priority, now + age_s))
        return shed

    def push_suspect(self, call: QueuedCall) -> ShedCall[QueuedCall] | None:
        """Queues a suspect until the upstream is idle, or sheds it."""
        if self._suspects.is_full:
            return self._shed_call(call, 'too many suspects wait to run alone')
        self._suspects.push(call)
        return None

    def pop_next(self) -> QueuedCall | None:
        """Removes and returns the next call, which gets a slot, or None."""
        call = self._find_next()
        if call is not None:
            self._acquire()
        return call

    def try_acquire(self) -> bool:
        """Counts a call that is sent at once; False if it has to wait."""
        if not self.is_free:
            return False
        self._acquire()
        return True

    def measure_occupancy(self) -> Occupancy:
        """Returns the load of the upstream."""
        return self.slots.measure_occupancy(
            len(self._queue),
            self.limiter.pace,
        )

    def defer(self) -> int:
        """Returns the time after which a refused call may return, in ms."""
        retry_after_ms = suggest_retry_after_ms(self.measure_occupancy())
        self.limiter.defer()
        return retry_after_ms

    def end(self, call: QueuedCall, latency_s: float) -> None:
        """Frees the slot of a call; `latency_s` is 0 if it got no response."""
        self.slots.free(latency_s)
        self._suspects.end(call)

    def remove(self, call: QueuedCall) -> None:
        """Removes a waiting call."""
        if not self._suspects.remove(call):
            self._queue.remove(call)

    def clear(self) -> list[QueuedCall]:
        """Removes and returns every waiting call."""
        queued = [ticket.call for ticket in self._queue.clear()]
        return queued + self._suspects.clear()

    def shed_expired(self, now: float) -> list[ShedCall[QueuedCall]]:
        """Removes and returns the calls that have waited too long."""
        return [
            self._shed_call(ticket.call, 'the wait for a slot was too long')
            for ticket in self._queue.pop_expired(now)
        ]

    def _acquire(self) -> None:
        self.slots.acquire()
        self.limiter.take()

    def _find_next(self) -> QueuedCall | None:
        if not self.limiter.has_token:
            return None
        if self.slots.has_free_slot and not self._suspects.blocks_others:
            ticket = self._queue.pop()
            if ticket is not None:
                return ticket.call
        self._suspects.end_turn_of_others()
        return self._suspects.start_next(self.slots.outstanding)

    def _shed_call(self, call: QueuedCall, detail: str) -> ShedCall[QueuedCall]:
        return ShedCall(call, detail, self.defer())
