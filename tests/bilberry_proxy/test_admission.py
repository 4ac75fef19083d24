"""Tests of admission: slots, order and shedding of calls."""

from typing import NamedTuple

from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.policy import Priority
from bilberry_core.upstream_notice import UpstreamIdentity, UpstreamNotice
from bilberry_proxy.admission import DEFERRABLE_SHARE, QUEUE_PER_SLOT
from bilberry_proxy.rank import Rank
from bilberry_proxy.slot_queue import SlotQueue
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

SLOTS = 2
FAR_DEADLINE = 1e9
#: Rate limit, in requests a second.
LIMIT = 5


class Call(NamedTuple):
    """A call; `arrival` is its position in the order of arrival."""

    arrival: int
    priority: Priority


def build_queue(slots: int = SLOTS) -> SlotQueue:
    """Returns a queue for an upstream with `slots` slots."""
    queue = SlotQueue()
    queue.slots.resize(
        Endpoint(
            'node',
            1,
            1,
            'callouts',
            Address('127.0.0.1', 1),
            'one',
            EndpointState.READY,
            slots,
            110,
        ),
    )
    return queue


class Upstream:
    """An upstream that records the outcome of each call offered to it."""

    def __init__(self) -> None:
        """Creates an idle upstream."""
        self.queue = build_queue()
        self.running: list[Call] = []
        self.shed: list[Call] = []
        self.served: list[Call] = []
        self.max_running = 0

    def offer(self, call: Call, suspect: bool = False) -> None:
        """Queues a call and starts the calls that get a slot."""
        if suspect:
            refused = self.queue.push_suspect(call)
        else:
            refused = self.queue.push(call, call.priority, 0, FAR_DEADLINE)
        if refused is not None:
            self.shed.append(refused.call)
        self._start_waiting()

    def finish(self) -> None:
        """Ends the oldest running call."""
        if self.running:
            call = self.running.pop(0)
            self.served.append(call)
            self.queue.end(call, 0.001)
            self._start_waiting()

    def _start_waiting(self) -> None:
        call = self.queue.pop_next(0)
        while call is not None:
            self.queue.slots.run()
            self.running.append(call)
            call = self.queue.pop_next(0)
        self.max_running = max(self.max_running, len(self.running))


steps = st.lists(
    st.one_of(st.none(), st.tuples(st.sampled_from(Priority), st.booleans())),
    max_size=80,
)


class SlotQueueTest(TestCase):
    """Each call is either served or shed once, within the slots."""

    @given(steps)
    def test_no_call_is_lost_or_duplicated(self, script):
        """Each offered call is served or shed, and slots aren't exceeded."""
        upstream = Upstream()
        offered = []
        for index, step in enumerate(script):
            if step is None:
                upstream.finish()
                continue
            call = Call(index, step[0])
            offered.append(call)
            upstream.offer(call, suspect=step[1])
        while upstream.running:
            upstream.finish()
        ended = sorted(upstream.served + upstream.shed)
        self.assertEqual(sorted(offered), ended)
        self.assertLessEqual(upstream.max_running, SLOTS)

    @given(steps)
    def test_suspects_run_alone(self, script):
        """While a suspect runs no other call does."""
        upstream = Upstream()
        suspects = set()
        for index, step in enumerate(script):
            if step is None:
                upstream.finish()
                continue
            call = Call(index, step[0])
            if step[1]:
                suspects.add(call)
            upstream.offer(call, suspect=step[1])
            if suspects & set(upstream.running):
                self.assertEqual(1, len(upstream.running))

    @given(st.lists(st.sampled_from(Priority), max_size=40))
    def test_urgent_is_not_shed_before_lower_priorities(self, priorities):
        """No urgent call is shed while one of lower priority waits."""
        upstream = Upstream()
        for index, priority in enumerate(priorities):
            upstream.offer(Call(index, priority))
        waiting = set(
            Call(index, priority) for index, priority in enumerate(priorities)
        ) - set(upstream.shed + upstream.running)
        if any(call.priority is Priority.URGENT for call in upstream.shed):
            self.assertEqual(
                {Priority.URGENT},
                {waiting_call.priority for waiting_call in waiting},
            )

    @given(st.lists(st.sampled_from(Priority), min_size=1, max_size=20))
    def test_urgent_calls_get_the_tokens_of_a_limited_upstream(self, order):
        """Of the calls that wait, the most urgent one is sent first."""
        upstream = Upstream()
        limiter = upstream.queue.slots.limiter
        limiter.advance(100)
        limiter.follow(UpstreamNotice(UpstreamIdentity('i-1'), LIMIT))
        for index, priority in enumerate(order):
            upstream.offer(Call(index, priority))
        self.assertEqual([], upstream.running)
        limiter.advance(100 + 1 / LIMIT)
        waiting = set(
            Call(index, priority) for index, priority in enumerate(order)
        ) - set(upstream.shed)
        sent = upstream.queue.pop_next(0)
        ranks = list(Priority)
        most_urgent = min(ranks.index(call.priority) for call in waiting)
        self.assertEqual(most_urgent, ranks.index(sent.priority))
        self.assertIsNone(upstream.queue.pop_next(0))

    def test_what_waits_too_long_for_a_token_is_refused_at_once(self):
        """The time to retry after grows with each refusal."""
        upstream = Upstream()
        limiter = upstream.queue.slots.limiter
        limiter.advance(100)
        limiter.follow(UpstreamNotice(UpstreamIdentity('i-1'), LIMIT))
        queue = upstream.queue
        self.assertFalse(queue.is_free_within(Priority.NORMAL, 10, 100))
        self.assertTrue(
            queue.is_free_within(Priority.NORMAL, 1000 // LIMIT, 100)
        )
        after_ms = [queue.defer() for _ in range(3)]
        self.assertEqual([200, 400, 600], after_ms)

    def test_urgent_call_overtakes_deferrable_calls(self):
        """An urgent call that arrived last is served next, not the oldest."""
        upstream = Upstream()
        arrived = [
            Call(index, Priority.DEFERRABLE) for index in range(SLOTS + 3)
        ]
        urgent = Call(99, Priority.URGENT)
        for call in (*arrived, urgent):
            upstream.offer(call)
        naive_next = arrived[SLOTS]
        upstream.finish()
        self.assertNotIn(naive_next, upstream.running)
        self.assertIn(urgent, upstream.running)

    def test_deferrable_is_not_starved(self):
        """A deferrable call runs under a constant load of urgent ones."""
        upstream = Upstream()
        deferrable = Call(0, Priority.DEFERRABLE)
        for index in range(1, SLOTS + 1):
            upstream.offer(Call(index, Priority.URGENT))
        upstream.offer(deferrable)
        for index in range(DEFERRABLE_SHARE + SLOTS):
            upstream.offer(Call(100 + index, Priority.URGENT))
            upstream.finish()
        self.assertIn(deferrable, upstream.served + upstream.running)

    def test_wait_in_the_queue_is_bounded(self):
        """A call that waited too long is shed, with a time for its retry."""
        queue = build_queue(1)
        for index in range(3):
            queue.push(
                Call(index, Priority.NORMAL), Priority.NORMAL, 0, FAR_DEADLINE
            )
        queue.pop_next(0)
        self.assertEqual([], queue.shed_expired(0.5))
        late = queue.shed_expired(30)
        self.assertEqual([1, 2], [refused.call.arrival for refused in late])
        self.assertTrue(all(refused.retry_after_ms > 0 for refused in late))

    def test_call_that_would_time_out_is_shed_at_once(self):
        """A call whose estimated wait exceeds its deadline is not queued."""
        queue = build_queue(1)
        for index in range(3):
            queue.push(
                Call(index, Priority.NORMAL), Priority.NORMAL, 0, FAR_DEADLINE
            )
            queue.pop_next(0)
        late = Call(9, Priority.NORMAL)
        refused = queue.push(late, Priority.NORMAL, 0, 0.001)
        self.assertEqual(late, refused.call)

    def test_late_request_waits_behind_those_that_can_be_in_time(self):
        """It takes a slot before less urgent requests only."""
        queue = build_queue(1)
        queue.try_acquire()
        ranks = (
            Rank(Priority.DEFERRABLE),
            Rank(Priority.NORMAL, is_late=True),
            Rank(Priority.NORMAL),
            Rank(Priority.URGENT),
        )
        for rank in ranks:
            queue.push_reservation(rank, rank, 0, 9)
        admitted = []
        for _ in ranks:
            queue.slots.run()
            queue.end(None, 0.1)
            admitted.append(queue.pop_next(0))
        self.assertEqual(list(reversed(ranks)), admitted)

    def test_refused_reservation_returns_when_its_wait_fits(self):
        """The time to come back is what the wait is too long by."""
        queue = build_queue(1)
        queue.try_acquire()
        queue.push_reservation(1, Rank(Priority.NORMAL), 0, 9)
        refused = queue.push_reservation(9, Rank(Priority.NORMAL), 0.5, 0.4)
        self.assertEqual(9, refused.call)
        self.assertEqual(600, refused.retry_after_ms)

    def test_refused_reservations_return_at_the_rate_of_the_limit(self):
        """Guards against callers that all come back at the same moment."""
        queue = build_queue()
        queue.slots.limiter.follow(
            UpstreamNotice(UpstreamIdentity('i-1'), LIMIT)
        )
        queue.slots.limiter.advance(0)
        refused = [
            queue.push_reservation(index, Rank(Priority.NORMAL), 0, 0.05)
            for index in range(4)
        ]
        times = [shed.retry_after_ms for shed in refused]
        self.assertEqual([150, 350, 550, 750], times)

    @given(st.lists(st.sampled_from(Priority), max_size=20), st.randoms())
    def test_length_is_right_after_every_way_out(self, priorities, random):
        """Calls leave by their turn, their cancellation or their age."""
        queue = build_queue()
        queue.slots.run()
        calls = [Call(*entry) for entry in enumerate(priorities)]
        for call in calls:
            queue.push(call, call.priority, 0, random.random() * 4)
        left = len(queue)
        if left:
            queue.remove(random.choice(calls[:left]), 0)
            left = len(queue)
        for now in (0, 0.5, 1):
            left -= len(queue.shed_expired(now))
            self.assertEqual(left, len(queue))
        self.assertEqual(left, len(queue.clear()))
        self.assertEqual(0, len(queue))

    def test_queue_is_bounded(self):
        """No more than `QUEUE_PER_SLOT` calls wait per slot."""
        upstream = Upstream()
        for index in range(100):
            upstream.offer(Call(index, Priority.NORMAL))
        self.assertEqual(SLOTS * QUEUE_PER_SLOT, len(upstream.queue))
