"""Tests the search for a slot at several upstreams."""

from types import SimpleNamespace

from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import Load, SlotRefused, SlotRequest
from bilberry_core.policy import Priority
from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy.call import SlotReceiver
from bilberry_proxy.selection import Selection
from bilberry_proxy.slot_search import (
    REFUSAL_GRACE_S,
    FoundSlot,
    SearchPlan,
    SlotSearch,
)
from bilberry_proxy.timers import TICK_S, TimerWheel
from testtools import TestCase

from tests.bilberry_proxy.test_selection import build_endpoint

MAX_WAIT_MS = 200
HEAD_START_MS = 50
REFUSED = SlotRefused(
    0,
    Failure(Verdict.NOT_RUN, FailureCode.NO_FREE_SLOT, 'full'),
    Load(0, 0, 0, 0),
)


class FakeReservation:
    """A requested slot that records whether it was withdrawn."""

    def __init__(self, request: SlotRequest, receiver: SlotReceiver) -> None:
        """Waits."""
        self.request = request
        self.receiver = receiver
        self.is_cancelled = False

    def cancel(self) -> None:
        """Records that the slot is not wanted any more."""
        self.is_cancelled = True


class FakeTarget:
    """The daemon beside an upstream, which may reply at once."""

    def __init__(self) -> None:
        """Lets requests wait."""
        self.reservations: list[FakeReservation] = []
        self.offers = False
        self.refuses = False

    def reserve(
        self,
        request: SlotRequest,
        receiver: SlotReceiver,
    ) -> FakeReservation:
        """Records a request for a slot."""
        reservation = FakeReservation(request, receiver)
        self.reservations.append(reservation)
        if self.refuses:
            receiver.refuse_slot(REFUSED)
        if self.offers:
            receiver.offer_slot()
        return reservation


class SlotSearchTest(TestCase):
    """One request, two near and two far upstreams."""

    def setUp(self):
        """Builds the upstreams."""
        super().setUp()
        self.now: float = 100
        self.targets = {f'node-{index}': FakeTarget() for index in range(4)}
        self.timers = TimerWheel(self.now)
        context = SimpleNamespace(
            clock=SimpleNamespace(now=lambda: self.now),
            timers=self.timers,
            find_target=self._find_target,
        )
        self.found: list[FoundSlot] = []
        self.refused: list[Selection] = []
        self.ends = 0
        self.search = SlotSearch(context, self)
        self.places = [
            Selection(build_endpoint(index), 4, '', has_other=True)
            for index in range(4)
        ]

    # Callbacks of the search.

    def on_slot(self, found: FoundSlot) -> None:
        """Records the slot."""
        self.found.append(found)

    def on_slot_refused(self, asked: Selection, _failed: SlotRefused) -> None:
        """Records a refusal."""
        self.refused.append(asked)

    def on_no_slot(self) -> None:
        """Records the end of the search."""
        self.ends += 1

    def start(self) -> None:
        """Starts the search."""
        self.search.start(
            SearchPlan(
                'callouts',
                Priority.NORMAL,
                tuple(self.places[:2]),
                tuple(self.places[2:]),
                MAX_WAIT_MS,
                HEAD_START_MS,
            ),
        )

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        self.now += seconds
        self.timers.advance(self.now)

    def list_waiting(self) -> list[str]:
        """Returns the upstreams at which the request waits."""
        return [
            name
            for name, target in self.targets.items()
            if any(not one.is_cancelled for one in target.reservations)
        ]

    def get_reservation(self, index: int) -> FakeReservation:
        """Returns the newest reservation at an upstream."""
        return self.targets[f'node-{index}'].reservations[-1]

    def test_first_offer_is_used_and_others_are_withdrawn(self):
        """No slot is kept for a request that runs elsewhere."""
        self.start()
        self.get_reservation(1).receiver.offer_slot()
        self.get_reservation(0).receiver.offer_slot()
        self.assertEqual(
            [self.places[1]], [one.selection for one in self.found]
        )
        self.assertEqual(['node-1'], self.list_waiting())
        self.advance(1)
        self.assertEqual(0, self.ends)

    def test_slot_that_is_free_at_once_is_used(self):
        """The offer comes before the reservation is known."""
        self.targets['node-0'].offers = True
        self.start()
        self.assertEqual(1, len(self.found))
        self.assertIs(self.get_reservation(0), self.found[0].reservation)
        self.assertEqual([], self.targets['node-1'].reservations)

    def test_far_upstreams_are_asked_after_the_head_start(self):
        """With the time that is left."""
        self.start()
        self.assertEqual(['node-0', 'node-1'], self.list_waiting())
        self.advance(HEAD_START_MS / 1000 + TICK_S)
        self.assertEqual(4, len(self.list_waiting()))
        left_ms = self.get_reservation(2).request.max_wait_ms
        self.assertTrue(0 < left_ms <= MAX_WAIT_MS - HEAD_START_MS)

    def test_far_upstreams_are_asked_once_near_ones_refused(self):
        """There is nothing to wait for."""
        self.targets['node-0'].refuses = True
        self.targets['node-1'].refuses = True
        self.start()
        self.assertEqual(self.places[:2], self.refused)
        self.assertFalse(self.get_reservation(2).is_cancelled)

    def test_search_ends_with_the_last_refusal(self):
        """What can't be served is refused at once."""
        for target in self.targets.values():
            target.refuses = True
        self.start()
        self.assertEqual((1, 4), (self.ends, len(self.refused)))
        self.advance(1)
        self.assertEqual(1, self.ends)

    def test_daemon_that_never_replies_holds_no_request(self):
        """It is frozen or cut off; the wait ends without it."""
        self.start()
        self.advance(MAX_WAIT_MS / 1000 + REFUSAL_GRACE_S + TICK_S)
        self.assertEqual(1, self.ends)
        self.assertEqual([], self.list_waiting())

    def test_cancelled_search_tells_nobody(self):
        """Its caller has left."""
        self.start()
        self.search.cancel()
        self.get_reservation(0).receiver.offer_slot()
        self.get_reservation(1).receiver.refuse_slot(REFUSED)
        self.advance(1)
        self.assertEqual(([], 0), (self.found, self.ends))
        self.assertEqual([], self.list_waiting())

    def _find_target(self, endpoint: Endpoint) -> FakeTarget:
        return self.targets[endpoint.instance]
