"""Tests which long response goes first."""

from bilberry_core.messages.call import ReplyChunk
from bilberry_proxy.reply_schedule import (
    SPARE_TURNS,
    PendingReply,
    ReplySchedule,
)
from testtools import TestCase


class FakeOwner:
    """A stream that accepts slices or doesn't."""

    is_writable = True
    is_within_share = True
    is_stalled = False


class ReplyScheduleTest(TestCase):
    """Responses of several streams."""

    def setUp(self):
        """Starts with two long responses and a shorter one."""
        super().setUp()
        self.schedule = ReplySchedule()
        self.replies = [self.add(size) for size in (500, 300, 400)]

    def add(self, size: int) -> PendingReply:
        """Adds a response of a stream of its own."""
        reply = PendingReply(FakeOwner(), 1)
        reply.add(ReplyChunk(1, bytes(size), last=True))
        self.schedule.add(reply)
        return reply

    def pop_all(self) -> list[int]:
        """Returns the indices of all responses in their order."""
        popped = iter(self.schedule.pop, None)
        return [self.replies.index(reply) for reply in popped]

    def test_least_left_goes_first(self):
        """By what is left of it when its turn comes."""
        self.assertEqual([1, 2, 0], self.pop_all())

    def test_response_that_waits_for_longest_goes_first(self):
        """Then all become late with more than the link carries."""
        self.replies.extend(self.add(size) for size in (450, 350))
        self.assertEqual([1, 4, 2, 3, 0], self.pop_all())

    def test_response_to_a_daemon_that_stops_precedes(self):
        """It can't be delivered later."""
        self.schedule.precede(self.replies[0], 2)
        self.assertEqual([0, 1, 2], self.pop_all())

    def test_responses_to_one_daemon_that_stops_take_turns(self):
        """Else the least left of them goes first as well."""
        for reply in self.replies:
            self.schedule.precede(reply, 2)
        self.assertEqual([1, 2, 0], self.pop_all())

    def test_blocked_stream_is_passed_over(self):
        """Until it accepts slices again."""
        self.replies[1].owner.is_writable = False
        self.assertEqual([2, 0], self.pop_all())
        self.replies[1].owner.is_writable = True
        self.schedule.unblock()
        self.assertEqual([1], self.pop_all())

    def test_stream_over_its_share_goes_on_if_no_other_can(self):
        """The link would stand idle."""
        self.replies[1].owner.is_within_share = False
        self.assertEqual([2, 0, 1], self.pop_all())

    def test_turns_of_removed_responses_are_kept(self):
        """They come after all shorter ones, of which there are always some."""
        for _ in range(2 * SPARE_TURNS):
            self.schedule.remove(self.add(600))
        self.assertLess(len(self.schedule._turns), 1.5 * SPARE_TURNS)
        self.assertEqual([1, 2, 0], self.pop_all())

    def test_responses_of_one_stream_take_turns(self):
        """It has used its share, and no other stream has any."""
        for reply in self.replies:
            reply.owner.is_within_share = False
        sent = []
        while len(self.schedule):
            reply = self.schedule.pop()
            sent.append(self.replies.index(reply))
            reply.cut(100)
            if reply.is_waiting:
                self.schedule.add(reply)
        self.assertEqual([1, 1, 1, 2, 2, 2, 2, 0, 0, 0, 0, 0], sent)

    def test_receiver_that_stands_still_makes_the_link_seem_full(self):
        """What waits for it doesn't wait for the link."""
        self.replies[0].owner.is_stalled = True
        self.assertEqual(300 + 400, self.schedule.unsent)

    def test_removed_response_gets_no_turn(self):
        """Also if it was passed over before."""
        self.schedule.remove(self.replies[1])
        self.replies[2].owner.is_writable = False
        self.assertEqual([0], self.pop_all())
        self.schedule.remove(self.replies[2])
        self.replies[2].owner.is_writable = True
        self.schedule.unblock()
        self.assertEqual(([], 0), (self.pop_all(), len(self.schedule)))
