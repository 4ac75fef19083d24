"""Tests of calls over a stream with reordered, repeated or missing frames."""

from asyncio import Event, run, sleep
from unittest.mock import patch

from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.messages.call import (
    CallCancel,
    CallerStops,
    CallFailed,
    CallStart,
    GoAway,
    Load,
    ReplyChunk,
    ReplyStart,
    SlotOffer,
    SlotRefused,
    SlotRequest,
)
from bilberry_core.policy import Priority
from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy import stream_opener
from bilberry_proxy.call_stream import CallStream
from bilberry_proxy.call_streams import CallStreams
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

NOWHERE = Address('127.0.0.1', 1)
NO_LOAD = Load(0, 0, 0, 0)
START = CallStart(
    0, 'callouts', b'GET', b'/', (), b'', True, 1000, Priority.NORMAL
)

NO_SLOT = Failure(Verdict.NOT_RUN, FailureCode.NO_FREE_SLOT, '')
ENDPOINT = Endpoint(
    'node', 1, 1, 'callouts', NOWHERE, 'one', EndpointState.READY, 1, 1
)
REQUEST = SlotRequest(0, 'callouts', Priority.NORMAL, 100)


class FakeStream:
    """A stream that records what was sent and stays open until closed."""

    def __init__(self) -> None:
        """Creates an open stream."""
        self.is_open = True
        self.is_writable = True
        self.sent: list = []
        self.on_close = None

    def send(self, message) -> None:
        """Records a message."""
        self.sent.append(message)

    def close(self) -> None:
        """Closes the stream."""
        self.is_open = False


class Answers:
    """A receiver that records the response to a call."""

    def __init__(self) -> None:
        """Creates a receiver without a response."""
        self.body = b''
        self.ends: list = []

    def start_reply(self, reply) -> None:
        """Records the start of the response."""
        self.continue_reply(reply)

    def continue_reply(self, chunk) -> None:
        """Records more of the response."""
        self.body += chunk.body
        if chunk.last:
            self.ends.append('answered')

    def fail(self, failed) -> None:
        """Records the verdict of the failure."""
        self.ends.append(failed.failure.verdict)

    def report_alive(self, _alive: bool) -> None:
        """Ignores the outcome of a probe."""

    def credit(self, _size: int) -> None:
        """Ignores credit."""


class StreamFixture:
    """A call stream over a fake stream, and the calls on it."""

    def __init__(self, fails: bool = False) -> None:
        """Creates a stream without calls; `fails` makes dialing fail."""
        self.fake = FakeStream()
        self.receive = None
        self._fails = fails
        self.stream = CallStream(NOWHERE, self._dial)

    def open(self):
        """Opens a call and returns it with its receiver."""
        answers = Answers()
        return self.stream.open(START, answers), answers

    async def _dial(self, _address, receiver):
        await sleep(0)
        if self._fails:
            raise ConnectionRefusedError('refused')
        self.receive = receiver
        return self.fake


def build_frames(number: int) -> list:
    """Returns the frames of one complete response to a call."""
    text = f'answer {number}'.encode()
    return [
        ReplyStart(number, 200, (), text[:3], False, NO_LOAD),
        ReplyChunk(number, text[3:], True),
    ]


async def settle() -> None:
    """Yields to the event loop until the stream is open."""
    for _ in range(4):
        await sleep(0)


class CallStreamTest(TestCase):
    """What each call receives for a given order of frames."""

    @given(st.lists(st.integers(0, 7), max_size=40), st.integers(0, 4))
    def test_answers_reach_their_own_call_only(self, order, lost_after):
        """Repeated, interleaved or late frames never mix two responses."""

        async def scenario():
            fixture = StreamFixture()
            calls = [fixture.open()[1] for _ in range(3)]
            await settle()
            queues = {index: build_frames(index) for index in range(1, 5)}
            for pick in order:
                frames = queues[pick % 4 + 1]
                if pick > 3 and frames:
                    fixture.receive(frames[0])
                elif frames:
                    fixture.receive(frames.pop(0))
            if lost_after:
                fixture.fake.on_close()
            return calls

        for index, answers in enumerate(run(scenario()), start=1):
            whole = f'answer {index}'.encode()
            self.assertLessEqual(len(answers.ends), 1)
            if 'answered' in answers.ends:
                self.assertEqual(whole, answers.body)

    @given(st.permutations(range(3)))
    def test_out_of_order_answers_are_whole(self, order):
        """Responses in any order reach the calls they belong to."""

        async def scenario():
            fixture = StreamFixture()
            calls = [fixture.open()[1] for _ in range(3)]
            await settle()
            for index in order:
                for frame in build_frames(index + 1):
                    fixture.receive(frame)
            return [(answers.body, answers.ends) for answers in calls]

        expected = [
            (f'answer {index}'.encode(), ['answered']) for index in (1, 2, 3)
        ]
        self.assertEqual(expected, run(scenario()))

    def test_late_answer_after_cancel_is_dropped(self):
        """A cancelled call receives no response."""

        async def scenario():
            fixture = StreamFixture()
            call, answers = fixture.open()
            await settle()
            call.cancel()
            for frame in build_frames(1):
                fixture.receive(frame)
            return answers.body, answers.ends, fixture.fake.sent[-1]

        self.assertEqual((b'', [], CallCancel(1)), run(scenario()))

    def test_second_answer_is_dropped(self):
        """A response that is sent twice is received once."""

        async def scenario():
            fixture = StreamFixture()
            _, answers = fixture.open()
            await settle()
            for frame in build_frames(1) + build_frames(1):
                fixture.receive(frame)
            return answers.body, answers.ends

        self.assertEqual((b'answer 1', ['answered']), run(scenario()))

    def test_body_before_its_start_is_dropped(self):
        """A chunk before the start of its response is ignored."""

        async def scenario():
            fixture = StreamFixture()
            _, answers = fixture.open()
            await settle()
            fixture.receive(ReplyChunk(1, b'stray', True))
            return answers.body, answers.ends

        self.assertEqual((b'', []), run(scenario()))

    def test_lost_stream_sets_the_verdict_by_progress(self):
        """Calls without a response may have run, those with a start ran."""

        async def scenario():
            fixture = StreamFixture()
            _, waiting = fixture.open()
            _, begun = fixture.open()
            await settle()
            fixture.receive(build_frames(2)[0])
            fixture.fake.on_close()
            return waiting.ends, begun.ends

        self.assertEqual(
            ([Verdict.MAY_HAVE_RUN], [Verdict.RAN]), run(scenario())
        )

    def test_stream_that_never_opened_is_not_run(self):
        """Calls that were never written to the stream were not run."""

        async def scenario():
            fixture = StreamFixture(fails=True)
            _, answers = fixture.open()
            await settle()
            return answers.ends

        self.assertEqual([Verdict.NOT_RUN], run(scenario()))

    def test_no_call_goes_to_a_daemon_that_sent_go_away(self):
        """Open calls complete; new ones are refused as not run."""

        async def scenario():
            fixture = StreamFixture()
            _, before = fixture.open()
            await settle()
            fixture.receive(GoAway())
            _, after = fixture.open()
            for frame in build_frames(1):
                fixture.receive(frame)
            return before.ends, after.ends

        self.assertEqual((['answered'], [Verdict.NOT_RUN]), run(scenario()))

    def test_stream_ends_after_go_away_and_the_last_answer(self):
        """The calling side closes the stream, after its last call ended."""

        async def scenario():
            fixture = StreamFixture()
            fixture.open()
            await settle()
            fixture.receive(GoAway())
            during = fixture.fake.is_open
            for frame in build_frames(1):
                fixture.receive(frame)
            return during, fixture.fake.is_open

        self.assertEqual((True, False), run(scenario()))

    def test_no_call_goes_to_a_daemon_that_reads_too_slowly(self):
        """A stream with a full write buffer accepts no further call."""

        async def scenario():
            fixture = StreamFixture()
            fixture.open()
            await settle()
            fixture.fake.is_writable = False
            _, answers = fixture.open()
            return answers.ends

        self.assertEqual([Verdict.NOT_RUN], run(scenario()))

    def test_call_waits_on_a_stream_that_closes(self):
        """It can't be sent any more, so it was not run."""

        async def scenario():
            fixture = StreamFixture()
            fixture.open()
            await settle()
            fixture.fake.close()
            _, answers = fixture.open()
            return answers.ends, len(fixture.fake.sent)

        self.assertEqual(([Verdict.NOT_RUN], 1), run(scenario()))

    def test_failure_is_passed_on(self):
        """The verdict of the daemon beside the upstream is preserved."""

        async def scenario():
            fixture = StreamFixture()
            _, answers = fixture.open()
            await settle()
            failure = Failure(Verdict.NOT_RUN, FailureCode.OVERLOADED)
            fixture.receive(CallFailed(1, failure, NO_LOAD))
            fixture.receive(CallFailed(1, failure, NO_LOAD))
            return answers.ends

        self.assertEqual([Verdict.NOT_RUN], run(scenario()))


class SlotReceiver:
    """A requester of a slot that records the replies."""

    def __init__(self) -> None:
        """Has received nothing."""
        self.offers = 0
        self.failures: list = []

    def offer_slot(self) -> None:
        """Records the offer."""
        self.offers += 1

    def refuse_slot(self, refused) -> None:
        """Records the refusal."""
        self.failures.append(refused.failure)


class ReservationTest(TestCase):
    """Slots requested on a stream."""

    async def connect(self) -> StreamFixture:
        """Returns a fixture whose stream is open."""
        fixture = StreamFixture()
        fixture.open()
        await settle()
        return fixture

    def reserve(self, fixture: StreamFixture):
        """Requests a slot; returns the reservation and its receiver."""
        receiver = SlotReceiver()
        return fixture.stream.reserve(REQUEST, receiver), receiver

    def test_request_follows_the_offer_on_the_same_number(self):
        """The daemon beside the upstream finds its slot by it."""

        async def scenario():
            fixture = await self.connect()
            reservation, receiver = self.reserve(fixture)
            fixture.receive(SlotOffer(2))
            answers = Answers()
            reservation.take(START, answers)
            for frame in build_frames(2):
                fixture.receive(frame)
            return fixture.fake.sent, receiver, answers

        sent, receiver, answers = run(scenario())
        self.assertEqual(
            [REQUEST._replace(call=2), START._replace(call=2)], sent[1:3]
        )
        self.assertEqual(1, receiver.offers)
        self.assertEqual((b'answer 2', ['answered']), answers_of(answers))

    def test_slot_requested_on_a_lost_stream_is_not_run(self):
        """No upstream has the request itself."""

        async def scenario():
            fixture = await self.connect()
            reservation, receiver = self.reserve(fixture)
            fixture.receive(SlotOffer(2))
            fixture.fake.on_close()
            answers = Answers()
            reservation.take(START, answers)
            return receiver, answers

        receiver, answers = run(scenario())
        self.assertEqual(
            [Verdict.NOT_RUN], [one.verdict for one in receiver.failures]
        )
        self.assertEqual([Verdict.NOT_RUN], answers.ends)

    def test_slot_is_used_on_a_stream_that_closes(self):
        """The request can't be sent any more, so it was not run."""

        async def scenario():
            fixture = await self.connect()
            reservation, _receiver = self.reserve(fixture)
            fixture.receive(SlotOffer(2))
            fixture.fake.close()
            answers = Answers()
            reservation.take(START, answers)
            return answers

        self.assertEqual([Verdict.NOT_RUN], run(scenario()).ends)

    def test_no_slot_is_awaited_while_no_stream_is_open(self):
        """The request looks elsewhere; the stream opens for later ones."""

        async def scenario():
            fixture = StreamFixture()
            _reservation, receiver = self.reserve(fixture)
            await settle()
            _later, served = self.reserve(fixture)
            return receiver, served, fixture.fake.sent

        receiver, served, sent = run(scenario())
        self.assertEqual(
            [FailureCode.NO_FREE_SLOT], [one.code for one in receiver.failures]
        )
        self.assertEqual([], served.failures)
        self.assertEqual([REQUEST._replace(call=2)], sent)

    def test_offer_after_a_withdrawal_is_dropped(self):
        """They crossed; the other daemon was told to keep nothing."""

        async def scenario():
            fixture = await self.connect()
            reservation, receiver = self.reserve(fixture)
            reservation.cancel()
            reservation.cancel()
            fixture.receive(SlotOffer(2))
            return receiver, fixture.fake.sent

        receiver, sent = run(scenario())
        self.assertEqual(0, receiver.offers)
        self.assertEqual([CallCancel(2)], sent[2:])

    def test_end_of_an_offer_does_not_fail_the_call_that_took_it(self):
        """They cross: the other daemon runs the call as any other."""

        async def scenario():
            fixture = await self.connect()
            reservation, _receiver = self.reserve(fixture)
            fixture.receive(SlotOffer(2))
            answers = Answers()
            reservation.take(START, answers)
            fixture.receive(SlotRefused(2, NO_SLOT, NO_LOAD))
            for frame in build_frames(2):
                fixture.receive(frame)
            return answers

        answers = run(scenario())
        self.assertEqual((b'answer 2', ['answered']), answers_of(answers))

    def test_refusal_reaches_its_own_request_only(self):
        """Calls and requested slots share their numbers."""

        async def scenario():
            fixture = await self.connect()
            _one, first = self.reserve(fixture)
            _other, second = self.reserve(fixture)
            fixture.receive(SlotRefused(3, NO_SLOT, NO_LOAD))
            return first, second

        first, second = run(scenario())
        self.assertEqual([], first.failures)
        self.assertEqual(1, len(second.failures))


def answers_of(answers: Answers) -> tuple[bytes, list]:
    """Returns the body and the ends that were received."""
    return answers.body, answers.ends


class SlowDialFixture(StreamFixture):
    """A call stream whose dials last until `opens` is set."""

    def __init__(self) -> None:
        """Creates a stream without calls."""
        super().__init__()
        self.opens = Event()
        self.dials = 0

    async def _dial(self, address, receiver):
        self.dials += 1
        await self.opens.wait()
        return await super()._dial(address, receiver)


class SlowDialTest(TestCase):
    """Calls while the stream takes long to open, as on a loaded link."""

    def test_slow_dial_is_not_given_up_with_its_call(self):
        """The first call is refused, a later one uses the stream."""

        async def scenario():
            fixture = SlowDialFixture()
            _, refused = fixture.open()
            while not refused.ends:
                await sleep(0.01)
            fixture.opens.set()
            await settle()
            call, _ = fixture.open()
            await settle()
            return refused.ends, call.written, fixture.dials

        self.assertEqual(([Verdict.NOT_RUN], True, 1), run(scenario()))

    def test_dials_of_one_daemon_are_bounded(self):
        """Further calls are refused at once until a dial has ended."""

        async def scenario():
            fixture = SlowDialFixture()
            with patch.object(stream_opener, 'OPEN_WAIT_S', 0):
                answers = [fixture.open()[1] for _ in range(9)]
            ends = [one.ends for one in answers]
            await settle()
            return fixture.dials, ends

        dials, ends = run(scenario())
        self.assertEqual(stream_opener.MAX_DIALS, dials)
        waiting, refused = ends[:dials], ends[dials:]
        self.assertEqual([[] for _ in waiting], waiting)
        self.assertEqual([[Verdict.NOT_RUN] for _ in refused], refused)


class StopTest(TestCase):
    """The stop of the daemon that opens the calls."""

    def test_stream_that_opens_in_a_stop_does_not_tell_of_it(self):
        """Nor one that is lost in it and opens again."""

        async def scenario():
            opened: list[FakeStream] = []

            async def dial(_address, _receiver):
                await sleep(0)
                opened.append(FakeStream())
                return opened[-1]

            streams = CallStreams('own', None, dial)
            streams.announce_stop(5)
            streams.find_target(ENDPOINT).open(START, Answers())
            await settle()
            opened[0].on_close()
            with patch.object(stream_opener, 'OPEN_WAIT_S', 0):
                streams.find_target(ENDPOINT).open(START, Answers())
            await settle()
            return [stream.sent[0] for stream in opened]

        first, again = run(scenario())
        for told in (first, again):
            self.assertIsInstance(told, CallerStops)
            self.assertLessEqual(told.left_ms, 5000)
