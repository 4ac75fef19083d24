"""Drives a replica: passes it time, syncs its journal, sends messages."""

from asyncio import Event, sleep
from collections.abc import Callable
from typing import Any, TypeVar

from bilberry_core.clock import MS_PER_S, Clock, RandomSource
from bilberry_core.error import BilberryError
from bilberry_core.journal import Journal

from bilberry_replica.consensus import get_tick_deadline
from bilberry_replica.leading import maintain_membership, make_beacon
from bilberry_replica.node import EventTime, Send
from bilberry_replica.replica import Replica
from bilberry_replica.stall import is_stall_due

#: Share of the election timeout within which a quorum must have replied for
#: the leader to make a beacon.
_QUORUM_AGE_SHARE = 2 / 3

#: Share of the interval between beacons that a new leader keeps: a restarted
#: proxy waits until it has seen one advance.
NEW_LEADER_SHARE = 0.1

Returned = TypeVar('Returned')


class Driver:
    """Runner of the events, timers and journal syncs of one replica.

    `send`
        Sends a message to a replica; returns False if it was not sent.

    `watchers`
        Callbacks that are called after every event.
    """

    def __init__(
        self,
        replica: Replica,
        journal: Journal,
        clock: Clock,
        random: RandomSource,
        send: Callable[[str, Any], bool],
    ) -> None:
        """Drives a replica that was opened from this journal."""
        self.replica = replica
        self.clock = clock
        self.send = send
        self.watchers: list[Callable[[], None]] = []
        self._journal = journal
        self._random = random
        self._flush_needed = Event()
        self._flush_needed.set()
        self._failed = Event()
        self._failure: BilberryError | None = None
        timing = replica.node.timing
        self._max_wait_s = min(timing.heartbeat_s, timing.election_s / 4)

    @property
    def has_failed(self) -> bool:
        """Whether an event has failed, so that this replica must stop."""
        return self._failed.is_set()

    def get_event_time(self) -> EventTime:
        """Returns the current time with a new random jitter."""
        return EventTime(self.clock.now(), self._random.random())

    def run_event(
        self,
        event: Callable[..., Returned],
        *arguments: Any,
    ) -> Returned:
        """Calls `event(*arguments, event_time)` and sends its early messages.

        After an error this replica must not continue, so `wait_for_failure`
        raises the error as well.
        """
        try:
            returned = event(*arguments, self.get_event_time())
        except BilberryError as error:
            self._failure = error
            self._failed.set()
            raise
        self._send_all(self.replica.drain_early())
        if self.replica.needs_flush:
            self._flush_needed.set()
        for watcher in self.watchers:
            watcher()
        return returned

    async def wait_for_failure(self) -> None:
        """Waits until an event has failed, and raises its error."""
        await self._failed.wait()
        if self._failure is not None:
            raise self._failure

    async def sync_forever(self) -> None:
        """Syncs the journal whenever a flush is needed.

        Raises `JournalError` once the journal is unusable.
        """
        while True:
            await self._flush_needed.wait()
            self._flush_needed.clear()
            flush = self.replica.begin_flush(self.get_event_time())
            await self._journal.sync()
            sends = self.run_event(self.replica.end_flush, flush)
            self._send_all(sends)

    async def finish(self) -> None:
        """Waits for the sync that runs, for a limited time."""
        await self._journal.finish()

    async def tick_forever(self) -> None:
        """Ticks the replica whenever something is due."""
        while True:
            wait_s = get_tick_deadline(self.replica.node) - self.clock.now()
            await sleep(min(max(wait_s, 0), self._max_wait_s))
            if self._is_tick_due():
                self.run_event(self.replica.tick)
                self.run_event(maintain_membership, self.replica)

    async def beacon_forever(self, interval_ms: int) -> None:
        """Makes a beacon in each interval while this replica leads."""
        age_s = self.replica.node.timing.election_s * _QUORUM_AGE_SHARE
        interval_s = interval_ms / MS_PER_S
        while True:
            self.run_event(make_beacon, self.replica, age_s)
            led_s = self.clock.now() - self.replica.node.leading_since
            is_new = self.replica.node.is_leader and led_s < interval_s
            await sleep(interval_s * (NEW_LEADER_SHARE if is_new else 1))

    def _is_tick_due(self) -> bool:
        now = self.clock.now()
        node = self.replica.node
        if is_stall_due(node, self.replica.flush_began_at, now):
            return True
        return now >= get_tick_deadline(node)

    def _send_all(self, sends: list[Send] | tuple[Send, ...]) -> None:
        for sent in sends:
            self.send(sent.target, sent.message)
