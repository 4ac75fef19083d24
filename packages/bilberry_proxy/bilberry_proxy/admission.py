"""Admission of calls to the upstream beside a daemon, by priority.

The functions and the queue do no I/O and read no clock. No more calls are
admitted than the upstream has slots and connections, nor at a higher rate than
it accepts. Further calls wait in a short queue, or are shed at once with the
time after which the caller may retry.
"""

from collections import deque
from typing import Generic, NamedTuple, TypeVar

from bilberry_core.clock import MS_PER_S
from bilberry_core.policy import Priority

from bilberry_proxy.queue_departures import QueueDepartures
from bilberry_proxy.rank import BY_RANK, DEFERRABLE_RANK, Rank
from bilberry_proxy.rate_limiter import Pace

QueuedCall = TypeVar('QueuedCall')

#: Calls that may wait in the queue, per slot.
QUEUE_PER_SLOT = 4
#: One in this many admissions from the queue goes to the oldest deferrable
#: call.
DEFERRABLE_SHARE = 16
#: Shortest time after which a shed caller may retry, in milliseconds.
MIN_RETRY_AFTER_MS = 50
#: Longest time after which a shed caller may retry, in milliseconds.
MAX_RETRY_AFTER_MS = 5000

#: Longest wait in the queue, in seconds.
MAX_AGE_S = {
    Priority.URGENT: 2.0,
    Priority.NORMAL: 1.0,
    Priority.DEFERRABLE: 2.0,
}
_US_PER_S = 1_000_000


class Ticket(NamedTuple, Generic[QueuedCall]):
    """A queued call; `expires_at` is monotonic time, in seconds.

    `is_reservation` tells that its request is sent once a slot was offered.
    """

    call: QueuedCall
    rank: Rank
    expires_at: float
    is_reservation: bool = False


class Occupancy(NamedTuple):
    """The load of an upstream.

    `latency_us` is the mean duration of one call, in microseconds, `pace` the
    rate at which the upstream accepts requests.
    """

    outstanding: int
    capacity: int
    queued: int
    latency_us: int
    pace: Pace = Pace()


def estimate_wait_s(occupancy: Occupancy, ahead: int) -> float:
    """Returns the estimated wait behind `ahead` calls, in seconds."""
    paced_s = occupancy.pace.estimate_wait_s(ahead)
    if occupancy.outstanding < occupancy.capacity and not ahead:
        return paced_s
    capacity = max(occupancy.capacity, 1)
    slot_s = (ahead + 1) / capacity * occupancy.latency_us / _US_PER_S
    return max(slot_s, paced_s)


def suggest_retry_after_ms(occupancy: Occupancy) -> int:
    """Returns the time to work off the current queue, in milliseconds."""
    wait_s = max(
        estimate_wait_s(occupancy, occupancy.queued),
        occupancy.pace.suggest_return_s(occupancy.queued),
    )
    return bound_retry_after_ms(wait_s)


def bound_retry_after_ms(wait_s: float) -> int:
    """Returns a wait in seconds as a Retry-After in milliseconds.

    The time is kept between `MIN_RETRY_AFTER_MS` and `MAX_RETRY_AFTER_MS`.
    """
    bounded = min(int(wait_s * MS_PER_S), MAX_RETRY_AFTER_MS)
    return max(bounded, MIN_RETRY_AFTER_MS)


class AdmissionQueue(Generic[QueuedCall]):
    """A queue of calls that wait for a slot, by rank.

    Urgent calls come first; deferrable ones are never starved.
    """

    def __init__(self) -> None:
        self._queues: dict[Rank, deque[Ticket[QueuedCall]]] = {
            rank: deque() for rank in BY_RANK
        }
        self._departures = {rank: QueueDepartures() for rank in BY_RANK}
        self._admitted = 0
        self._length = 0

    def __len__(self) -> int:
        """Returns how many calls wait."""
        return self._length

    def count_ahead(self, rank: Rank) -> int:
        """Returns how many calls are ahead of a new one of `rank`."""
        until = BY_RANK.index(rank) + 1
        return sum(len(self._queues[ahead]) for ahead in BY_RANK[:until])

    def estimate_wait_s(
        self,
        rank: Rank,
        now: float,
        occupancy: Occupancy,
    ) -> float:
        """Returns the expected wait of a new call, in seconds.

        `now` is monotonic time, in seconds.
        """
        ahead = self.count_ahead(rank)
        capacity = max(occupancy.capacity, 1)
        wait_s = self._departures[rank].estimate_wait_s(
            ahead,
            now,
            occupancy.latency_us / capacity / _US_PER_S,
        )
        return max(wait_s, occupancy.pace.estimate_wait_s(ahead))

    def push(self, ticket: Ticket[QueuedCall], now: float) -> None:
        """Adds a call to the queue; `now` is monotonic time, in seconds."""
        queue = self._queues[ticket.rank]
        departures = self._departures[ticket.rank]
        departures.record_arrival(now, is_first=not queue)
        queue.append(ticket)
        self._length += 1

    def evict_below(self, rank: Rank) -> Ticket[QueuedCall] | None:
        """Removes and returns the newest call of the lowest rank.

        Only calls of a lower rank than `rank` are removed; returns None if
        there is none.
        """
        lowest = BY_RANK.index(rank) + 1
        for lower in reversed(BY_RANK[lowest:]):
            if self._queues[lower]:
                self._length -= 1
                return self._queues[lower].pop()
        return None

    def peek(self) -> Ticket[QueuedCall] | None:
        """Returns the next call for a free slot, or None."""
        queue = self._find_next()
        return queue[0] if queue else None

    def pop(self, now: float) -> Ticket[QueuedCall] | None:
        """Removes and returns the next call for a free slot, or None.

        `now` is monotonic time, in seconds.
        """
        queue = self._find_next()
        self._admitted += 1
        if queue is None:
            return None
        ticket = queue.popleft()
        self._length -= 1
        self._departures[ticket.rank].record_departure(now)
        return ticket

    def remove(self, call: QueuedCall, now: float) -> None:
        """Removes one call; `now` is monotonic time, in seconds."""
        for rank, queue in self._queues.items():
            for ticket in queue:
                if ticket.call is call:
                    queue.remove(ticket)
                    self._length -= 1
                    self._departures[rank].record_departure(now)
                    return

    def clear(self) -> list[Ticket[QueuedCall]]:
        """Removes and returns every call."""
        tickets = [
            ticket for queue in self._queues.values() for ticket in queue
        ]
        for queue in self._queues.values():
            queue.clear()
        self._length = 0
        return tickets

    def pop_expired(self, now: float) -> list[Ticket[QueuedCall]]:
        """Removes and returns every call whose `expires_at` has passed."""
        expired: list[Ticket[QueuedCall]] = []
        if not self._length:
            return expired
        for rank, queue in self._queues.items():
            late = [ticket for ticket in queue if ticket.expires_at <= now]
            if late:
                kept = (
                    unexpired
                    for unexpired in queue
                    if unexpired.expires_at > now
                )
                self._queues[rank] = deque(kept)
            expired += late
        self._length -= len(expired)
        return expired

    def _find_next(self) -> deque[Ticket[QueuedCall]] | None:
        """Returns the queue whose turn it is."""
        if not self._length:
            return None
        deferrable = self._queues[DEFERRABLE_RANK]
        if deferrable and (self._admitted + 1) % DEFERRABLE_SHARE == 0:
            return deferrable
        for queue in self._queues.values():
            if queue:
                return queue
        return None


def is_full(occupancy: Occupancy) -> bool:
    """Returns whether the queue accepts no further call."""
    return occupancy.queued >= occupancy.capacity * QUEUE_PER_SLOT


def would_time_out(
    occupancy: Occupancy,
    ahead: int,
    remaining_s: float,
) -> bool:
    """Returns whether a call would get its slot only after its time limit."""
    return estimate_wait_s(occupancy, ahead) >= remaining_s
