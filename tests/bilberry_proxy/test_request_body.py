"""Tests that a body is sent whole, or not at all, in each further attempt."""

from bilberry_proxy.call import WINDOW_BYTES
from bilberry_proxy.kept_bodies import KeptBodies
from bilberry_proxy.request_body import RequestBody
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

BUFFERED_BYTES = 16
PIECES = st.lists(st.binary(min_size=1, max_size=9), min_size=1, max_size=12)


class FakeAttempt:
    """An attempt that records what is sent to it."""

    def __init__(self, content: bytes, last: bool) -> None:
        """Begins with what the start of the call carries."""
        self.body = content
        self.is_complete = last

    def send(self, body: bytes, last: bool) -> None:
        """Records more of the body."""
        self.body += body
        self.is_complete = self.is_complete or last


class PlayedRequest:
    """A request whose attempts are refused, or taken, as it arrives."""

    def __init__(self, kept_bodies: KeptBodies) -> None:
        """Starts without an attempt."""
        self.body = RequestBody(BUFFERED_BYTES, kept_bodies)
        self.sent = b''
        self.attempts: list[FakeAttempt] = []
        self.is_given_up = False

    def feed(self, piece: bytes, last: bool) -> None:
        """Receives a piece, and begins the first attempt once it may."""
        self.sent += piece
        self.body.feed(piece, last)
        if self.body.is_ready and not self.attempts:
            self.begin()

    def begin(self) -> None:
        """Begins an attempt, unless a part of the body is lost."""
        start = self.body.begin_attempt()
        if start is None:
            self.is_given_up = True
            return
        attempt = FakeAttempt(*start)
        self.attempts.append(attempt)
        if not start.last:
            self.body.attach(attempt)

    def refuse(self) -> None:
        """Refuses the current attempt; another one follows."""
        if self.attempts and not self.is_given_up:
            self.body.detach()
            self.begin()

    def take(self) -> None:
        """Takes the request: the upstream reads it."""
        if self.attempts and not self.is_given_up:
            self.body.credit(1)


class RequestBodyTest(TestCase):
    """Bodies that are refused at any stage of an attempt."""

    @given(
        PIECES,
        st.lists(st.sampled_from(('refuse', 'take', 'pass')), max_size=24),
        st.integers(0, 60),
    )
    def test_attempt_begins_without_a_part_of_the_body(
        self, pieces, actions, room
    ):
        """Refused before, between and after its pieces; room may be short."""
        kept_bodies = KeptBodies(room)
        played = PlayedRequest(kept_bodies)
        queue = list(actions)
        for piece in pieces:
            played.feed(piece, last=False)
            for action in queue[:2]:
                if action != 'pass':
                    getattr(played, action)()
            queue = queue[2:]
            self.assertLessEqual(kept_bodies.size, room)
        played.feed(b'', last=True)
        whole = b''.join(pieces)
        if not played.is_given_up:
            last = played.attempts[-1]
            self.assertEqual((whole, True), (last.body, last.is_complete))
        for attempt in played.attempts:
            self.assertTrue(whole.startswith(attempt.body))
            if attempt.is_complete:
                self.assertEqual(whole, attempt.body)
        played.body.release()
        self.assertEqual(0, kept_bodies.size)

    def test_body_that_no_upstream_took_is_given_up(self):
        """It is kept up to the window, as long as there is room."""
        played = PlayedRequest(KeptBodies())
        played.feed(b'x' * (BUFFERED_BYTES + 1), last=False)
        played.feed(b'y' * WINDOW_BYTES, last=False)
        played.refuse()
        played.feed(b'z', last=True)
        played.refuse()
        self.assertFalse(played.is_given_up)
        self.assertEqual(played.sent, played.attempts[-1].body)

    def test_bodies_are_kept_without_a_limit(self):
        """The one that no longer fits is not sent again, the other one is."""
        kept_bodies = KeptBodies(100)
        first = PlayedRequest(kept_bodies)
        second = PlayedRequest(kept_bodies)
        for played in (first, second):
            played.feed(b'x' * (BUFFERED_BYTES + 1), last=False)
            played.feed(b'y' * 60, last=False)
        self.assertEqual(60, kept_bodies.size)
        first.refuse()
        second.refuse()
        self.assertEqual((False, True), (first.is_given_up, second.is_given_up))
        first.take()
        self.assertEqual(0, kept_bodies.size)
