"""Decides which long response gets the next turn on the link.

Responses that take turns become late together when more of them are under way
than the link carries in time, and so do those that precede others because they
are due. So the one with the least left goes first, which delivers most of them
soonest. Only a response to a daemon which is shutting down precedes these, as
it can't be taken later.
"""

from collections import deque
from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple, Protocol

from bilberry_proxy.reply_slices import ReplyMessage, cut_slice

#: Turns that are kept for each response that waits, at most, and beside these.
MAX_TURNS = 2
SPARE_TURNS = 64


class ReplyOwner(Protocol):
    """The queue of a stream."""

    @property
    def is_writable(self) -> bool:
        """Whether the stream accepts a slice."""

    @property
    def is_within_share(self) -> bool:
        """Whether the stream may send while others wait."""

    @property
    def is_stalled(self) -> bool:
        """Whether the receiver of the stream stands still."""


class PendingReply:
    """A long response that is not completely sent."""

    def __init__(self, owner: ReplyOwner, call: int, now: float = 0) -> None:
        """Starts without bytes at `now`, monotonic time in seconds."""
        self.owner = owner
        self.call = call
        self.ready_at = now
        self.unsent = 0
        #: When the daemon that it goes to ends its stop; None if it goes on.
        self.stops_at: float | None = None
        self.turn = 0
        self._messages: deque[ReplyMessage] = deque()

    @property
    def is_waiting(self) -> bool:
        """Whether a part of the response can be sent."""
        return bool(self._messages)

    def add(self, message: ReplyMessage) -> None:
        """Adds a part of the response."""
        self._messages.append(message)
        self.unsent += len(message.body)

    def cut(self, size: int) -> ReplyMessage:
        """Removes and returns the next `size` bytes at most."""
        message, rest = cut_slice(self._messages.popleft(), size)
        if rest is not None:
            self._messages.appendleft(rest)
        self.unsent -= len(message.body)
        return message

    def clear(self) -> None:
        """Drops the unsent part."""
        self._messages.clear()
        self.unsent = 0


_Rank = tuple[bool, float, int]


class _Turn(NamedTuple):
    """A place in the order; outdated if the response has a newer turn."""

    rank: _Rank
    number: int
    reply: PendingReply


class ReplySchedule:
    """The long responses of all streams that wait for the link."""

    def __init__(self) -> None:
        """Starts empty."""
        self._turns: list[_Turn] = []
        self._numbers = count(1)
        self._replies: dict[PendingReply, None] = {}
        self._blocked: dict[PendingReply, None] = {}

    def __len__(self) -> int:
        """Returns how many responses wait."""
        return len(self._replies)

    @property
    def unsent(self) -> int:
        """The bytes that wait for the link, and not for their receiver."""
        return sum(
            reply.unsent
            for reply in self._replies
            if not reply.owner.is_stalled
        )

    def add(self, reply: PendingReply) -> None:
        """Gives a response a turn by what is left of it now."""
        self._replies.setdefault(reply)
        self._blocked.pop(reply, None)
        reply.turn = next(self._numbers)
        heappush(self._turns, _Turn(_rank(reply), reply.turn, reply))
        if len(self._turns) > MAX_TURNS * len(self) + SPARE_TURNS:
            self._drop_outdated()

    def remove(self, reply: PendingReply) -> None:
        """Removes a response."""
        self._replies.pop(reply, None)
        self._blocked.pop(reply, None)
        reply.turn = 0

    def pop(self) -> PendingReply | None:
        """Removes and returns the response whose turn it is.

        Those whose streams accept nothing are passed over. One whose stream
        has used its share goes on if no other can.
        """
        while self._turns:
            turn = heappop(self._turns)
            reply = turn.reply
            if reply.turn != turn.number:
                continue
            owner = reply.owner
            if owner.is_writable and owner.is_within_share:
                self.remove(reply)
                return reply
            self._blocked[reply] = None
        return self._pop_blocked()

    def unblock(self) -> None:
        """Gives turns to the responses that were passed over."""
        for reply in tuple(self._blocked):
            if reply.owner.is_writable and reply.owner.is_within_share:
                self.add(reply)

    def _drop_outdated(self) -> None:
        self._turns = [
            turn for turn in self._turns if turn.number == turn.reply.turn
        ]
        heapify(self._turns)

    def _pop_blocked(self) -> PendingReply | None:
        writable = (reply for reply in self._blocked if reply.owner.is_writable)
        first = min(writable, key=_rank, default=None)
        if first is not None:
            self.remove(first)
        return first

    def precede(self, reply: PendingReply, stops_at: float) -> None:
        """Lets a response precede others; its daemon ends at `stops_at`."""
        reply.stops_at = stops_at
        if reply in self._replies and reply not in self._blocked:
            self.add(reply)


def _rank(reply: PendingReply) -> _Rank:
    """Returns what orders the responses: the least goes first."""
    if reply.stops_at is None:
        return True, 0, reply.unsent
    return False, reply.stops_at, reply.unsent
