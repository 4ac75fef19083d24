"""Tests how calls made for running requests are recognized and served."""

from random import Random

from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.policy import Priority
from bilberry_proxy.running_requests import RunningRequests
from bilberry_proxy.slot_queue import SlotQueue
from testtools import TestCase

from tests.bilberry_proxy.played_load import VirtualClock

#: Slots of the service that callers reach, and of the one that it calls.
FRONT_SLOTS = 30
BACK_SLOTS = 20
#: Work of a request at each of them and of a call, in seconds.
FRONT_WORK_S = 0.1
BACK_WORK_S = 0.13
CALL_WORK_S = 0.024
DEADLINE_S = 1.2
SECONDS = 30.0
_TICK_S = 0.02


class RunningRequestsTest(TestCase):
    """A call is recognized by the request for which it is made."""

    def test_call_of_a_running_request_is_recognized(self):
        """Also a call that is made for a call."""
        running = RunningRequests()
        running.add('a')
        self.assertTrue(running.is_call_of_one('a.b'))
        self.assertTrue(running.is_call_of_one('a.b.c'))

    def test_request_does_not_become_urgent_by_its_id(self):
        """Its own ID, and that of a request that has ended, don't count."""
        running = RunningRequests()
        running.add('a')
        running.add('a')
        running.remove('a')
        self.assertFalse(running.is_call_of_one('a'))
        self.assertFalse(running.is_call_of_one('b.c'))
        self.assertTrue(running.is_call_of_one('a.b'))
        running.remove('a')
        self.assertFalse(running.is_call_of_one('a.b'))
        self.assertEqual(0, len(running))

    def test_request_without_id_is_not_kept(self):
        """Not every deployment gives requests an ID."""
        running = RunningRequests()
        running.add('')
        running.remove('')
        self.assertEqual(0, len(running))
        self.assertFalse(running.is_call_of_one(''))


class PlayedPool:
    """The slots of one service, as if one upstream had all of them."""

    def __init__(self, clock: VirtualClock, slots: int) -> None:
        """Starts idle."""
        self._clock = clock
        self._queue: SlotQueue[PlayedWork] = SlotQueue()
        endpoint = Endpoint(
            'i', 1, 1, 's', Address('', 0), 'd', EndpointState.READY, slots, 999
        )
        self._queue.slots.resize(endpoint)

    def receive(self, work: 'PlayedWork') -> None:
        """Admits, queues or refuses work."""
        if self._queue.try_acquire():
            self._begin(work)
            return
        shed = self._queue.push(
            work, work.priority, self._clock.now(), work.deadline
        )
        if shed is not None:
            shed.call.refuse()

    def free(self, work: 'PlayedWork', service_s: float) -> None:
        """Frees the slot of work and admits waiting work."""
        self._queue.end(work, service_s)
        following = self._queue.pop_next(self._clock.now())
        if following is not None:
            self._begin(following)

    def _begin(self, work: 'PlayedWork') -> None:
        self._queue.slots.run()
        work.begin()

    def tick(self) -> None:
        """Refuses what has waited too long."""
        for shed in self._queue.shed_expired(self._clock.now()):
            shed.call.refuse()


class PlayedWork:
    """A request that may make a call to another service before it ends."""

    def __init__(self, play, pool, work_s, priority, parent=None):
        """`parent` is the request for which a call is made."""
        self.priority = priority
        self.deadline = (
            parent.deadline if parent else play.clock.now() + DEADLINE_S
        )
        self._play = play
        self._pool = pool
        self._work_s = work_s
        self._parent = parent
        self._began_at: float = 0

    def begin(self) -> None:
        """Works, and makes a call where it has to."""
        self._began_at = self._play.clock.now()
        self._play.clock.call_at(self._began_at + self._work_s, self._worked)

    def refuse(self) -> None:
        """Ends without a slot; the request of a call fails with it."""
        if self._parent is not None:
            self._parent.end(is_good=False)

    def end(self, is_good: bool) -> None:
        """Frees the slot and counts the request."""
        now = self._play.clock.now()
        self._pool.free(self, now - self._began_at)
        if self._parent is not None:
            self._parent.end(is_good and now <= self.deadline)
        else:
            self._play.good += is_good and now <= self.deadline

    def _worked(self) -> None:
        if self._parent is None and self._play.makes_call(self._pool):
            call = PlayedWork(
                self._play,
                self._play.back,
                CALL_WORK_S,
                self._play.call_priority,
                self,
            )
            self._play.back.receive(call)
        else:
            self.end(is_good=True)


class NestedPlay:
    """Two services with more requests than slots; one calls the other."""

    def __init__(self, call_priority: Priority, factor: float) -> None:
        """Offers `factor` times what the slots carry."""
        self.clock = VirtualClock()
        self.front = PlayedPool(self.clock, FRONT_SLOTS)
        self.back = PlayedPool(self.clock, BACK_SLOTS)
        self.call_priority = call_priority
        self.good = 0
        self._random = Random(1)
        self._factor = factor

    def makes_call(self, pool: PlayedPool) -> bool:
        """Returns whether a request at this service makes a call."""
        return pool is self.front

    def play(self) -> float:
        """Returns the good responses a second."""
        end = self.clock.now() + SECONDS
        front_rate = self._factor * 200
        back_rate = self._factor * 100
        self._arrive(self.front, FRONT_WORK_S, front_rate, end)
        self._arrive(self.back, BACK_WORK_S, back_rate, end)
        self._tick(end)
        self.clock.run_until(end + DEADLINE_S)
        return self.good / SECONDS

    def _arrive(self, pool, work_s, rate, end) -> None:
        now = self.clock.now()
        if now >= end:
            return
        pool.receive(PlayedWork(self, pool, work_s, Priority.NORMAL))
        self.clock.call_at(
            now + self._random.expovariate(rate),
            lambda: self._arrive(pool, work_s, rate, end),
        )

    def _tick(self, end) -> None:
        self.front.tick()
        self.back.tick()
        if self.clock.now() < end:
            self.clock.call_at(
                self.clock.now() + _TICK_S, lambda: self._tick(end)
            )


class NestedLoadTest(TestCase):
    """A full service does not fill the one that waits for its calls."""

    def test_calls_of_running_requests_are_served_under_overload(self):
        """At 1.5 to 3 times the load, within a tenth of the load's best."""
        best = NestedPlay(Priority.URGENT, 1.2).play()
        for factor in (1.5, 2, 3):
            good = NestedPlay(Priority.URGENT, factor).play()
            self.assertGreater(good, 0.9 * best, factor)

    def test_calls_behind_new_requests_waste_the_work_done(self):
        """Without precedence fewer requests succeed on the same slots."""
        first = NestedPlay(Priority.URGENT, 2).play()
        behind = NestedPlay(Priority.NORMAL, 2).play()
        self.assertLess(behind, 0.8 * first)
