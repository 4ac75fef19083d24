"""Tests which calls are admitted by what the link carries."""

from bilberry_core.messages.call import CallStart, SlotRequest
from bilberry_core.policy import Priority
from bilberry_core.verdict import FailureCode, Verdict
from bilberry_proxy.link_admission import (
    LEAD_S,
    MAX_WAITING,
    LinkAdmission,
    WaitingRequest,
)
from testtools import TestCase

RATE = 1000
#: A response that needs the link for longer than `LEAD_S`.
LONG = int(RATE * LEAD_S * 2)


class FakeLink:
    """A link with a rate and a backlog."""

    def __init__(self) -> None:
        """Starts empty, at time 0."""
        self.at: float = 0
        self.backlog = 0
        self.rate: float | None = RATE

    def now(self) -> float:
        """Returns the time."""
        return self.at


def build_start(**fields) -> CallStart:
    """Returns a call with a long response."""
    start = CallStart(
        1, 'service', b'GET', b'/', (), b'', True, 5000, Priority.NORMAL
    )
    return start._replace(max_wait_ms=0, response_bytes=LONG, **fields)


class LinkAdmissionTest(TestCase):
    """Calls and requests for slots."""

    def setUp(self):
        """Starts with an idle link of a known rate."""
        super().setUp()
        self.link = FakeLink()
        self.admission = LinkAdmission(self.link)
        self.admitted: list[int] = []
        self.refused: list[int] = []

    def request(self, call: int, max_wait_ms: int, **fields) -> None:
        """Requests a slot for a call with a long response."""
        request = SlotRequest(
            call,
            'service',
            Priority.NORMAL,
            max_wait_ms,
            response_bytes=LONG,
        )._replace(**fields)
        self.admission.request(
            WaitingRequest(
                ('stream', call),
                request,
                self.link.at + max_wait_ms / 1000,
                lambda admitted: self.admitted.append(admitted.call),
                lambda _failure: self.refused.append(call),
            )
        )

    def test_call_is_refused_while_the_link_is_full(self):
        """It is not run, and its caller learns when there is room."""
        self.link.backlog = 2 * RATE
        refusal = self.admission.admit(('stream', 1), build_start())
        self.assertEqual(
            (Verdict.NOT_RUN, FailureCode.NO_FREE_SLOT, 1750),
            (refusal.verdict, refusal.code, refusal.retry_after_ms),
        )

    def test_call_is_accepted_whose_response_comes_after_its_deadline(self):
        """Also in a slot that was offered for it."""
        self.request(1, max_wait_ms=1000)
        late = build_start(deadline_ms=int(LONG / RATE * 1000) - 1)
        in_time = build_start(deadline_ms=int(LONG / RATE * 1000) + 1)
        self.assertEqual([1], self.admitted)
        self.assertIsNotNone(self.admission.admit(('stream', 1), late))
        self.assertEqual(0, self.admission.promised)
        self.assertIsNone(self.admission.admit(('stream', 1), in_time))

    def test_promised_responses_count(self):
        """Those that have not begun, until they begin or end."""
        admit = self.admission.admit
        self.assertIsNone(admit(('stream', 1), build_start()))
        self.assertIsNotNone(admit(('stream', 2), build_start()))
        self.admission.release(('stream', 1))
        self.assertIsNone(admit(('stream', 2), build_start()))

    def test_nothing_is_refused_that_could_be_delivered(self):
        """Short and urgent calls, those that may wait, an unknown rate."""
        self.link.backlog = 2 * RATE
        for number, start in enumerate(
            (
                build_start()._replace(response_bytes=0),
                build_start()._replace(priority=Priority.URGENT),
                build_start()._replace(max_wait_ms=2000),
            )
        ):
            self.assertIsNone(self.admission.admit(('stream', number), start))
        self.link.rate = None
        self.assertIsNone(self.admission.admit(('stream', 9), build_start()))

    def test_request_waits_for_the_link_as_for_a_slot(self):
        """In time, those first that can still meet their target latency."""
        self.link.backlog = RATE
        self.request(1, max_wait_ms=2000, is_late=True)
        self.request(2, max_wait_ms=2000)
        self.admission.advance()
        self.assertEqual([], self.admitted)
        self.link.backlog = 0
        self.admission.advance()
        self.assertEqual([2], self.admitted)
        self.admission.release(('stream', 2))
        self.admission.advance()
        self.assertEqual([2, 1], self.admitted)

    def test_waiting_request_is_overtaken_by_a_later_one(self):
        """It comes when the link has room again, before the next tick."""
        self.link.backlog = RATE
        self.request(1, max_wait_ms=2000)
        self.link.backlog = 0
        self.request(2, max_wait_ms=2000)
        self.assertEqual([1], self.admitted)

    def test_request_that_can_not_wait_gets_a_link_with_room(self):
        """Its time is over as soon as it comes."""
        self.request(1, max_wait_ms=0)
        self.assertEqual([1], self.admitted)

    def test_request_that_waits_in_vain_is_refused_at_once(self):
        """Or when its time is over, if the link is slower than it seemed."""
        self.link.backlog = RATE
        self.request(1, max_wait_ms=500)
        self.assertEqual([1], self.refused)
        self.request(2, max_wait_ms=1000)
        self.link.at = 1
        self.admission.advance()
        self.assertEqual(([], [1, 2]), (self.admitted, self.refused))

    def test_waiting_requests_are_bounded(self):
        """Whatever other daemons ask for."""
        self.link.backlog = RATE
        for call in range(2 * MAX_WAITING):
            self.request(call, max_wait_ms=1000)
        self.assertEqual(MAX_WAITING, len(self.admission))
        self.assertEqual(MAX_WAITING, len(self.refused))

    def test_request_waits_for_the_link_of_a_daemon_that_stops(self):
        """That accepts no new call, whatever its link carries."""
        self.link.backlog = RATE
        for call in (1, 2):
            self.request(call, max_wait_ms=1000)
        self.admission.stop()
        self.assertEqual([1, 2], self.admitted)
        self.assertEqual((0, 0), (len(self.admission), self.admission.promised))

    def test_withdrawn_request_is_forgotten(self):
        """Its sender found a slot elsewhere."""
        self.link.backlog = RATE
        self.request(1, max_wait_ms=1000)
        self.admission.release(('stream', 1))
        self.link.backlog = 0
        self.admission.advance()
        self.assertEqual(([], 0), (self.admitted, self.admission.promised))
