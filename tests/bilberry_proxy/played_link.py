"""Plays long responses over the link of one daemon, on a virtual clock."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import log
from random import Random
from typing import NamedTuple

from bilberry_core.messages.call import Load, ReplyStart
from bilberry_proxy.reply_queue import ReplyQueue, ReplyQueues

#: Mean size of a response, in bytes, and the spread of its logarithm.
MEAN_BYTES = 90_000
SIZE_SPREAD = 0.6
#: Bytes that a message takes beside its body.
HEAD_BYTES = 50
#: Interval at which a daemon advances its queues, in seconds.
TICK_S = 0.01


class LinkPlan(NamedTuple):
    """What is played.

    `load` is that of the link, 1 if its bytes are just as many as it carries.
    `lag_s` is the mean time, in seconds, until a busy daemon handles what it
    received, and `way_s` the time that a byte needs on the way. Each response
    is given up `patience_s` after it was ready.
    """

    bytes_per_s: float = 500_000
    load: float = 1
    lag_s: float = 0
    way_s: float = 0.0005
    seconds: float = 20
    patience_s: float = 6
    streams: int = 40
    seed: int = 1


class LinkResult(NamedTuple):
    """Numbers of responses, and the waits of small messages, in seconds.

    `rates` are those by which calls are admitted, where they are known.
    """

    ready: int
    delivered: int
    fitting: float
    waits: list[float]
    rates: list[float]


class PlayedLink:
    """The link of one daemon, its streams and their receivers."""

    def __init__(self, plan: LinkPlan) -> None:
        """Starts at time 0 with idle streams."""
        self.now: float = 0
        self.plan = plan
        self.random = Random(plan.seed)
        self.delivered: dict[int, float] = {}
        self.queues = ReplyQueues(lambda: self.now)
        self._free_at: float = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count(1)
        self.streams = [_PlayedStream(self) for _ in range(plan.streams)]

    @property
    def backlog_s(self) -> float:
        """The time for which a message that is sent now waits."""
        return max(self._free_at - self.now, 0)

    def schedule(self, after_s: float, action: Callable[[], None]) -> None:
        """Calls `action` after some seconds."""
        event = (self.now + after_s, next(self._numbers), action)
        heappush(self._events, event)

    def advance(self, seconds: float) -> None:
        """Plays the next seconds."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _number, action = heappop(self._events)
            self.now = at
            action()
        self.now = end

    def carry(self, stream: '_PlayedStream', message) -> None:
        """Puts a message behind all others."""
        size = len(message.body) + HEAD_BYTES
        sent_s = size / self.plan.bytes_per_s
        self._free_at = max(self._free_at, self.now) + sent_s
        arrives_s = self._free_at - self.now + self.plan.way_s

        def receive() -> None:
            if message.last:
                self.delivered[message.call] = self.now
            self.schedule(
                self.plan.way_s + self._draw_lag(),
                lambda: stream.queue.acknowledge(message.call),
            )

        self.schedule(arrives_s + self._draw_lag(), receive)

    def tick(self) -> None:
        """Advances the queues, again and again."""
        self.queues.advance()
        self.schedule(TICK_S, self.tick)

    def _draw_lag(self) -> float:
        if not self.plan.lag_s:
            return 0
        return self.random.expovariate(1 / self.plan.lag_s)


class _PlayedStream:
    """One stream over the link."""

    is_open = True
    is_writable = True

    def __init__(self, link: PlayedLink) -> None:
        self.link = link
        self.queue: ReplyQueue = link.queues.open(self)

    def send(self, sent) -> None:
        """Puts a message on the link."""
        self.link.carry(self, sent)


def play(plan: LinkPlan) -> LinkResult:
    """Plays long responses that get ready at random times."""
    link = PlayedLink(plan)
    link.tick()
    waits: list[float] = []
    rates: list[float | None] = []
    mean_gap_s = MEAN_BYTES / plan.bytes_per_s / plan.load
    ready = 0
    while link.now < plan.seconds:
        link.advance(link.random.expovariate(1 / mean_gap_s))
        waits.append(link.backlog_s)
        rates.append(link.queues.rate)
        ready += 1
        _start(link, ready)
    link.advance(plan.patience_s)
    fitting = min(ready, plan.seconds * plan.bytes_per_s / MEAN_BYTES)
    known = [rate for rate in rates if rate is not None]
    return LinkResult(ready, len(link.delivered), fitting, waits, known)


def _start(link: PlayedLink, call: int) -> None:
    """Adds a response that is ready."""
    mu = log(MEAN_BYTES) - SIZE_SPREAD**2 / 2
    body = bytes(int(link.random.lognormvariate(mu, SIZE_SPREAD)))
    queue = link.random.choice(link.streams).queue
    queue.start(ReplyStart(call, 200, (), body, True, Load(0, 0, 0, 0)))
    link.schedule(
        link.plan.patience_s,
        lambda: call in link.delivered or queue.cancel(call),
    )
