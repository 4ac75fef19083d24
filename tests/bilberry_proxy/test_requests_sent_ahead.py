"""Tests that no end of a connection cuts a request that was begun on it."""

from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy.answer import Answer
from bilberry_proxy.caller_connection import MAX_IDLE_S, CallerConnection
from bilberry_proxy.send_buffer import MAX_HELD_BYTES
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_proxy.test_caller_connection import (
    FakeTransport,
    ManualExchange,
)

BROKEN = Failure(Verdict.RAN, FailureCode.UPSTREAM_CLOSED, 'closed')
LENGTH = ((b'content-length', b'9'),)
CHUNKED_HEAD = (
    b'GET /body HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
)


def build_request(target: bytes, method: bytes = b'GET') -> bytes:
    """Returns a request without a body."""
    return b'%b %b HTTP/1.1\r\nhost: a\r\n\r\n' % (method, target)


class SentAheadTest(TestCase):
    """Requests behind the first one that are under way."""

    def setUp(self):
        """Opens a connection on which GET may overtake."""
        super().setUp()
        self.open()

    def open(self) -> None:
        """Opens another connection."""
        ManualExchange.opened = []
        self.transport = FakeTransport()
        self.connection = CallerConnection(
            ManualExchange,
            set(),
            lambda start: start.method != b'POST',
        )
        self.connection.connection_made(self.transport)

    def send(self, *targets: bytes, rest: bytes = b'') -> None:
        """Sends requests, and `rest` behind them, in one segment."""
        self.connection.data_received(
            b''.join(map(build_request, targets)) + rest
        )

    def answer(self, *indexes: int) -> None:
        """Completes the responses of the requests begun at these indexes."""
        for index in indexes:
            ManualExchange.opened[index].answer()

    @property
    def targets(self) -> list[bytes]:
        """The targets of the requests that were begun."""
        return [exchange.target for exchange in ManualExchange.opened]

    @property
    def statuses(self) -> list[int]:
        """The statuses that the caller got, in their order."""
        parts = self.transport.written.split(b'HTTP/1.1 ')[1:]
        return [int(part[:3]) for part in parts]

    def assert_closed_once(self) -> None:
        """Checks that the last response announces the end, and no other."""
        written = self.transport.written.lower()
        self.assertEqual(1, written.count(b'connection: close'))
        last = written.split(b'http/1.1 ')[-1]
        self.assertIn(b'connection: close', last)
        self.assertTrue(self.transport.is_half_closed)

    def test_stop_closes_before_a_request_behind_which_another_is_half_read(
        self,
    ):
        """The half-read one never becomes whole."""
        for rest in (build_request(b'/3')[:20], build_request(b'/3')[:-1]):
            self.open()
            self.send(b'/1', b'/2', rest=rest)
            self.connection.is_draining = True
            self.answer(0)
            self.assertFalse(self.transport.is_half_closed)
            self.answer(1)
            self.assertEqual([200, 200], self.statuses)
            self.assert_closed_once()

    def test_stop_closes_before_a_request_behind_which_another_waits(self):
        """It must not overtake, and was not begun."""
        self.send(b'/1', b'/2', rest=build_request(b'/3', b'POST'))
        self.connection.is_draining = True
        self.answer(1, 0)
        self.assertEqual([200, 200], self.statuses)
        self.assertEqual([b'/1', b'/2'], self.targets)
        self.assert_closed_once()

    def test_stop_closes_before_a_request_whose_body_never_ends(self):
        """It was begun, so the connection closes behind its failure."""
        self.send(b'/1', b'/2', rest=CHUNKED_HEAD)
        self.connection.is_draining = True
        self.answer(0, 1)
        self.assertFalse(self.transport.is_half_closed)
        self.answer(2)
        self.assertEqual([200, 200, 200], self.statuses)
        self.assert_closed_once()

    def test_refused_request_cuts_those_before_it(self):
        """In its head or in its body, and with more bytes behind it."""
        for rest in (
            b'\x00\x01\r\n\r\n',
            b'GET / HTTP/1.1\r\n\r\n',
            b'%bno size\r\n' % CHUNKED_HEAD,
        ):
            self.open()
            self.send(b'/1', b'/2', rest=rest)
            self.send(b'/3')
            self.connection.data_received(b'\x00\x01')
            self.answer(0)
            self.assertFalse(self.transport.is_half_closed)
            self.answer(1)
            self.assertEqual([200, 200, 400], self.statuses)
            self.assertNotIn(b'/3', self.targets)
            self.assert_closed_once()

    def test_request_behind_the_last_one_of_its_caller_is_begun(self):
        """The caller said that it sends nothing more."""
        raw = build_request(b'/1')[:-2] + b'connection: close\r\n\r\n'
        self.connection.data_received(raw + build_request(b'/2'))
        self.send(b'/3')
        self.answer(0)
        self.assertEqual([b'/1'], self.targets)
        self.assertTrue(self.transport.is_closed)

    def start(self, index: int, size: int) -> Answer:
        """Starts a response without its end, and returns it."""
        answer = Answer(ManualExchange.opened[index].request)
        answer.start(200, (), b'x' * size, last=False)
        return answer

    def test_response_that_breaks_off_cuts_the_requests_behind_it(self):
        """It is held back until it is whole."""
        self.send(b'/1', b'/2', b'/3')
        first = self.start(0, 90_000)
        self.answer(1)
        first.fail(BROKEN)
        self.answer(2)
        self.assertEqual([502, 200, 200], self.statuses)
        self.assertNotIn(b'xx', self.transport.written)
        self.assertFalse(self.transport.is_closed)

    def test_response_that_is_held_back_is_not_sent(self):
        """At its end, or when it is too long to be kept."""
        self.send(b'/1', b'/2')
        first = self.start(0, 90_000)
        self.assertEqual(b'', self.transport.written)
        first.send_body(b'y', last=True)
        self.assertEqual(90_000, self.transport.written.count(b'x'))
        self.answer(1)
        self.assertEqual([200, 200], self.statuses)
        self.open()
        self.send(b'/1', b'/2')
        long = self.start(0, MAX_HELD_BYTES)
        self.assertLess(0, self.transport.written.count(b'x'))
        long.send_body(b'x', last=False)
        self.assertEqual(MAX_HELD_BYTES + 1, self.transport.written.count(b'x'))

    def test_response_that_is_held_back_gets_no_credit(self):
        """More of it is asked for until it is too long to be kept."""
        self.send(b'/1', b'/2')
        held = self.start(0, 90_000)
        self.assertEqual(90_000, held.pop_credit())

    def test_request_is_begun_behind_a_response_that_may_break_off(self):
        """One that is partly sent, or is too long to be held back."""
        self.send(b'/1')
        first = self.start(0, 9)
        self.send(b'/2')
        self.assertEqual([b'/1'], self.targets)
        first.send_body(b'', last=True)
        self.assertEqual([b'/1', b'/2'], self.targets)
        ManualExchange.opened[1].usual_bytes = MAX_HELD_BYTES + 1
        self.send(b'/3')
        self.assertEqual([b'/1', b'/2'], self.targets)
        self.answer(1)
        self.assertEqual([b'/1', b'/2', b'/3'], self.targets)

    def test_odd_response_cuts_the_requests_behind_it(self):
        """One that HTTP can't carry, in its head or by its length."""
        self.send(b'/1', b'/2', b'/3')
        requests = [exchange.request for exchange in ManualExchange.opened]
        requests[0].start_answer(5, (), b'', last=True)
        requests[1].start_answer(200, LENGTH, b'part', last=False)
        requests[1].send_answer_body(b'too much', last=False)
        requests[1].send_answer_body(b'still more', last=True)
        self.answer(2)
        self.assertEqual([502, 502, 200], self.statuses)
        self.assertFalse(self.transport.is_closed)

    def test_head_request_whose_response_fails_cuts_the_others(self):
        """Its failure has no body either."""
        self.connection.data_received(
            build_request(b'/1')
            + build_request(b'/2', b'HEAD')
            + build_request(b'/3')
        )
        second = Answer(ManualExchange.opened[1].request)
        second.start(200, LENGTH, b'', last=False)
        second.fail(BROKEN)
        self.answer(0, 2)
        self.assertEqual([200, 502, 200], self.statuses)
        self.assertNotIn(b'upstream_closed:', self.transport.written)
        self.assertFalse(self.transport.is_closed)

    def test_idle_limit_cuts_a_request_that_waits_for_its_response(self):
        """Another one behind it is half read."""
        self.send(b'/1', b'/2', rest=b'GET')
        self.connection.expire_idle(0)
        self.connection.expire_idle(MAX_IDLE_S + 1)
        self.assertFalse(self.transport.is_closed)
        self.answer(0, 1)
        self.assertEqual([200, 200], self.statuses)

    @given(
        st.lists(
            st.sampled_from(
                (
                    'send',
                    'send_post',
                    'send_half',
                    'send_body',
                    'send_garbage',
                    'drain',
                    'answer_first',
                    'answer_last',
                    'start_first',
                    'start_last',
                    'break_first',
                    'break_last',
                )
            ),
            max_size=24,
        )
    )
    def test_some_order_of_events_cuts_a_request(self, actions):
        """Each request that was begun gets its response, in its turn."""
        self.open()
        played = _PlayedConnection(self.connection)
        for action in actions:
            getattr(played, action)()
        played.end()
        self.assertEqual(len(ManualExchange.opened), len(played.ended))
        statuses = self.statuses
        self.assertEqual(
            [played.ended[index] for index in range(len(played.ended))],
            statuses[: len(played.ended)],
        )
        # A malformed request that was not begun is refused behind them.
        self.assertIn(statuses[len(played.ended) :], ([], [400]))


class _PlayedConnection:
    """Plays a caller, a stop and upstreams on one connection."""

    def __init__(self, connection: CallerConnection) -> None:
        self.ended: dict[int, int] = {}
        self._connection = connection
        self._started: dict[int, Answer] = {}

    @property
    def _working(self) -> list[int]:
        """The requests that were begun and have no whole response."""
        return [
            index
            for index, exchange in enumerate(ManualExchange.opened)
            if not exchange.request.is_answered
        ]

    def send(self) -> None:
        """Sends a request that may be repeated."""
        self._connection.data_received(build_request(b'/a'))

    def send_post(self) -> None:
        """Sends a request that must not overtake."""
        self._connection.data_received(build_request(b'/b', b'POST'))

    def send_half(self) -> None:
        """Sends the begin of a head, which what follows makes malformed."""
        self._connection.data_received(b'GET /half HT')

    def send_body(self) -> None:
        """Sends a head whose body does not follow."""
        self._connection.data_received(CHUNKED_HEAD)

    def send_garbage(self) -> None:
        """Sends bytes that are no request."""
        self._connection.data_received(b'\x00\x01\r\n\r\n')

    def drain(self) -> None:
        """Begins the stop of the proxy."""
        self._connection.is_draining = True

    def answer_first(self) -> None:
        """Completes the response of the first request at work."""
        for index in self._working[:1]:
            self._answer(index)

    def answer_last(self) -> None:
        """Completes the response of the newest request at work."""
        for index in self._working[-1:]:
            self._answer(index)

    def start_first(self) -> None:
        """Starts the response of the first request at work."""
        for index in self._working[:1]:
            self._start(index)

    def start_last(self) -> None:
        """Starts the response of the newest request at work."""
        for index in self._working[-1:]:
            self._start(index)

    def break_first(self) -> None:
        """Breaks the response of the first request, unless it is sent."""
        for index in self._working[:1]:
            self._break(index)

    def break_last(self) -> None:
        """Breaks the response of the newest request, unless it is sent."""
        for index in self._working[-1:]:
            self._break(index)

    def end(self) -> None:
        """Completes every response."""
        while self._working:
            self.answer_first()
        for index, exchange in enumerate(ManualExchange.opened):
            self.ended.setdefault(index, 400 if exchange.is_refused else 0)

    def _start(self, index: int) -> None:
        """Starts a response, unless its request has no end yet."""
        request = ManualExchange.opened[index].request
        if index not in self._started and request.is_read:
            answer = Answer(request)
            self._started[index] = answer
            answer.start(200, (), b'part', last=False)

    def _answer(self, index: int) -> None:
        self.ended[index] = 200
        if index in self._started:
            self._started[index].send_body(b'', last=True)
        else:
            ManualExchange.opened[index].answer()

    def _break(self, index: int) -> None:
        if index in self._started:
            exchange = ManualExchange.opened[index]
            if not exchange.request.output.has_passed:
                self.ended[index] = 502
                self._started[index].fail(BROKEN)
