"""Tests the slots that are kept for requests at other daemons."""

from unittest.mock import patch

from bilberry_core.board import Board, Phase
from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.messages.call import CallStart, SlotRequest
from bilberry_core.policy import Priority
from bilberry_core.upstream_notice import UpstreamIdentity
from bilberry_core.verdict import FailureCode, Verdict
from bilberry_proxy.admitter import Admitter
from bilberry_proxy.reserved_slot import OFFER_S
from bilberry_proxy.suspect_tracker import SuspectTracker
from bilberry_proxy.timers import TICK_S, TimerWheel
from testtools import TestCase

from tests.bilberry_proxy.played_load import VirtualClock

SLOTS = 2
SERVICE = 'callouts'
WAIT_MS = 1000
#: Duration of a call, in seconds.
CALL_S = 0.1
START = CallStart(
    1, SERVICE, b'GET', b'/', (), b'', True, 5000, Priority.NORMAL
)


class Receiver:
    """The sender of a request, as the daemon beside the upstream sees it."""

    def __init__(self) -> None:
        """Has received nothing."""
        self.offers = 0
        self.failures: list = []

    def offer_slot(self) -> None:
        """Records the offer of a slot."""
        self.offers += 1

    def fail(self, failed) -> None:
        """Records a failure."""
        self.failures.append(failed.failure)

    def refuse_slot(self, refused) -> None:
        """Records a refusal."""
        self.failures.append(refused.failure)


class FakePool:
    """Connections to an upstream that never answers."""

    address = Address('127.0.0.1', 1)

    def __init__(self) -> None:
        """Records the calls that run."""
        self.calls: list = []

    def acquire(self, call, _request_id=b'') -> None:
        """Records a call that is sent to the upstream."""
        self.calls.append(call)

    def close_idle(self) -> None:
        """Does nothing."""


class ReservedSlotTest(TestCase):
    """An upstream with two slots, and requests that wait for them."""

    def setUp(self):
        """Builds the daemon beside the upstream."""
        super().setUp()
        self.clock = VirtualClock()
        self.timers = TimerWheel(self.clock.now())
        self.board = Board()
        self.board.phase.put(Phase.SERVING)
        self.tracker = SuspectTracker(self.board, self.clock)
        self.pool = FakePool()
        self.admitter = Admitter(
            self.board, self.clock, self.timers, self.tracker
        )
        self.replace_pool()
        self.announce(EndpointState.READY)
        self.board.upstream.put(UpstreamIdentity('i-1', 1))

    def replace_pool(self) -> None:
        """Replaces the connections to the upstream."""
        patched = patch.object(self.admitter, '_pool', self.pool)
        patched.start()
        self.addCleanup(patched.stop)

    def announce(self, state: EndpointState) -> None:
        """Announces the upstream."""
        self.board.own_endpoint.put(
            Endpoint(
                'node', 1, 1, SERVICE, Address('', 1), 'one', state, SLOTS, 99
            ),
        )

    def reserve(self, max_wait_ms: int = WAIT_MS, priority=Priority.NORMAL):
        """Requests a slot; returns the reservation and its receiver."""
        receiver = Receiver()
        request = SlotRequest(1, SERVICE, priority, max_wait_ms)
        return self.admitter.reserve(request, receiver), receiver

    def fill(self) -> list:
        """Takes every slot; returns the calls that run."""
        return [self.reserve()[0].take(START, Receiver()) for _ in range(SLOTS)]

    def run_one(self) -> None:
        """Ends a call, so that the duration of calls is known."""
        call = self.pool.calls.pop()
        call.is_answered = True
        call.dispatched_at = self.clock.now() - CALL_S
        self.admitter.free_slot(call)
        self.reserve()[0].take(START, Receiver())

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        self.clock.seconds += seconds
        self.timers.advance(self.clock.now())
        self.admitter.expire_waiting()

    def test_free_slot_is_offered_and_its_request_runs(self):
        """In the slot that was kept, and only there."""
        reservation, receiver = self.reserve()
        self.assertEqual(1, receiver.offers)
        reservation.take(START, Receiver())
        self.assertEqual(1, len(self.pool.calls))
        self.assertEqual(1, self.admitter.measure_load().outstanding)

    def test_offered_slot_is_not_given_to_another_call(self):
        """The upstream would get more requests than it has slots."""
        reservations = [self.reserve()[0] for _ in range(SLOTS)]
        other = Receiver()
        self.admitter.open(START._replace(max_wait_ms=0), other)
        self.assertEqual(
            [FailureCode.NO_FREE_SLOT],
            [failure.code for failure in other.failures],
        )
        for reservation in reservations:
            reservation.take(START, Receiver())
        self.assertEqual(SLOTS, len(self.pool.calls))

    def test_withdrawn_offer_goes_to_the_next_in_the_queue(self):
        """Its sender found a slot elsewhere first."""
        taken = [self.reserve()[0] for _ in range(SLOTS)]
        _waiting, receiver = self.reserve()
        self.assertEqual(0, receiver.offers)
        taken[0].cancel()
        self.assertEqual(1, receiver.offers)

    def test_withdrawn_wait_leaves_the_queue(self):
        """It gets no offer any more."""
        calls = self.fill()
        reservation, receiver = self.reserve()
        reservation.cancel()
        self.admitter.free_slot(calls[0])
        self.assertEqual((0, []), (receiver.offers, receiver.failures))
        self.assertEqual(1, self.admitter.measure_load().outstanding)

    def test_slot_is_free_again_if_its_sender_froze(self):
        """It neither takes the slot nor withdraws."""
        for _ in range(SLOTS):
            self.reserve()
        _waiting, receiver = self.reserve()
        self.advance(OFFER_S + TICK_S)
        self.assertEqual(1, receiver.offers)

    def test_request_after_its_offer_ended_is_refused_as_not_run(self):
        """Its slot is in use by another request by then."""
        late, _receiver = self.reserve()
        self.advance(OFFER_S + TICK_S)
        self.fill()
        answers = Receiver()
        late.take(START._replace(max_wait_ms=0), answers)
        self.assertEqual(
            [Verdict.NOT_RUN], [one.verdict for one in answers.failures]
        )
        self.assertEqual(SLOTS, len(self.pool.calls))

    def test_urgent_request_gets_the_next_slot(self):
        """Before those that waited longer."""
        calls = self.fill()
        _normal, normal = self.reserve()
        _urgent, urgent = self.reserve(priority=Priority.URGENT)
        self.admitter.free_slot(calls[0])
        self.assertEqual((0, 1), (normal.offers, urgent.offers))

    def test_request_without_a_slot_in_time_is_refused_at_once(self):
        """Nobody waits for what will not come."""
        self.fill()
        _reservation, receiver = self.reserve(max_wait_ms=0)
        refused = receiver.failures[0]
        self.assertEqual(
            (FailureCode.NO_FREE_SLOT, Verdict.NOT_RUN),
            (refused.code, refused.verdict),
        )
        self.assertGreater(refused.retry_after_ms, 0)

    def test_wait_ends_in_time(self):
        """The upstream froze after it was expected to be fast."""
        self.fill()
        _reservation, receiver = self.reserve()
        self.advance(WAIT_MS / 1000 + TICK_S)
        self.assertEqual(1, len(receiver.failures))

    def test_suspect_does_not_run_in_an_offered_slot(self):
        """It would take the requests beside it down with the upstream."""
        calls = self.fill()
        reservation, receiver = self.reserve()
        self.admitter.free_slot(calls[0])
        self.assertEqual(1, receiver.offers)
        answers = Receiver()
        with patch.object(self.tracker, 'must_run_alone', return_value=True):
            reservation.take(START, answers)
        self.assertEqual(SLOTS, len(self.pool.calls))
        self.assertEqual([], answers.failures)

    def test_leaving_upstream_refuses_what_waits_or_arrives(self):
        """As not run; the sender goes elsewhere."""
        offered, _receiver = self.reserve()
        self.reserve()
        _waiting, receiver = self.reserve()
        self.announce(EndpointState.DRAINING)
        self.assertEqual(
            [FailureCode.DRAINING], [one.code for one in receiver.failures]
        )
        answers = Receiver()
        offered.take(START, answers)
        self.assertEqual(
            [(FailureCode.DRAINING, Verdict.NOT_RUN)],
            [(one.code, one.verdict) for one in answers.failures],
        )
        self.assertEqual([], self.pool.calls)
        self.assertEqual(1, self.admitter.measure_load().outstanding)

    def test_request_offered_early_gets_the_next_slot(self):
        """The way to its sender takes longer than a slot is free."""
        calls = self.fill()
        for _ in range(100):
            self.admitter.early_offers.record_take(1)
        self.run_one()
        reservation, receiver = self.reserve()
        _next, other = self.reserve()
        self.admitter.expire_waiting()
        self.assertEqual(1, receiver.offers)
        reservation.take(START, Receiver())
        self.assertEqual(SLOTS, len(self.pool.calls))
        self.admitter.free_slot(calls[0])
        self.assertEqual(SLOTS + 1, len(self.pool.calls))
        self.assertEqual(
            SLOTS + other.offers, self.admitter.measure_load().outstanding
        )
