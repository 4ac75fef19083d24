"""Plays a load of requests through routing, placement and admission.

Senders and upstreams are many, as in a fleet, but there is no network: events
happen on a virtual clock, and each message takes its time between domains.
"""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.messages.call import SlotRefused, SlotRequest
from bilberry_core.policy import CallPolicy, Priority
from bilberry_core.snapshot import Decision, Route, Snapshot
from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy.call import SlotReceiver
from bilberry_proxy.caller_request import CallerRequest
from bilberry_proxy.placement import Placement
from bilberry_proxy.plan import Plan
from bilberry_proxy.rank import rank_request
from bilberry_proxy.router import Router
from bilberry_proxy.selection import Selection
from bilberry_proxy.slot_queue import SlotQueue
from bilberry_proxy.slot_search import FoundSlot, SlotSearch
from bilberry_proxy.timers import TimerWheel

#: Time of one message within a failure domain and between two, in seconds.
NEAR_S = 0.0002
FAR_S = 0.0015
_SERVICE = 'callouts'
_US_PER_S = 1_000_000
_TICK_S = 0.02
#: Share of its remaining time that a caller stays away at most.
_LONGEST_ABSENCE = 1 / 3
#: How much the work of two requests differs (sigma of a log-normal).
_SPREAD = 0.5


class Load(NamedTuple):
    """A load: its fleet, its requests and what callers want of them.

    `speeds` are those of a domain's upstreams; work takes `work_s` at speed 1.
    `requests_per_s` is the rate of all callers of one domain; in the first
    domain it is `first_factor` times as high, and in the first `burst_s`
    seconds `burst_factor` times. A refused caller returns up to `returns`
    times.
    """

    domains: tuple[str, ...]
    senders: int
    speeds: tuple[float, ...]
    slots: int
    work_s: float
    requests_per_s: float
    target_ms: int
    deadline_s: float
    seconds: float = 20.0
    first_factor: float = 1.0
    returns: int = 0
    burst_s: float = 0
    burst_factor: float = 1.0


class Result(NamedTuple):
    """What the callers of a load got, as shares of their requests.

    `far` counts calls that left their domain, per request, and `messages` all
    that were sent to find a slot, with their replies.
    """

    in_time: float
    late: float
    refused: float
    far: float
    slowest_refusal_s: float
    messages: float


class VirtualClock:
    """A clock that moves from one event to the next."""

    def __init__(self) -> None:
        """Starts at 100 seconds."""
        self.seconds: float = 100
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def now(self) -> float:
        """Returns monotonic time, in seconds."""
        return self.seconds

    def wall_ms(self) -> int:
        """Returns wall clock time, in milliseconds."""
        return int(self.seconds * MS_PER_S)

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Schedules a call."""
        heappush(self._events, (at, next(self._order), callback))

    def run_until(self, end: float) -> None:
        """Performs all events up to `end`."""
        while self._events and self._events[0][0] <= end:
            at, _order, callback = heappop(self._events)
            self.seconds = at
            callback()


class PlayedReservation:
    """A place in the queue of an upstream, as seen from both sides."""

    def __init__(
        self,
        upstream: 'PlayedUpstream',
        receiver: SlotReceiver,
        domain: str,
    ) -> None:
        """`domain` is that of the sender, who is told by `receiver`."""
        self.upstream = upstream
        self.is_offered = False
        self._receiver = receiver
        self._domain = domain
        self._has_ended = False

    def deliver(self, callback: Callable[[], None]) -> None:
        """Carries one message between the sender and the upstream."""
        self.upstream.play.deliver(self.upstream, self._domain, callback)

    def arrive(self, request: SlotRequest) -> None:
        """Gets a slot, waits for one or is refused."""
        queue = self.upstream.queue
        now = self.upstream.play.clock.now()
        if self._has_ended:
            return
        if queue.try_acquire():
            self.use_slot()
            return
        shed = queue.push_reservation(
            self,
            rank_request(request),
            now,
            request.max_wait_ms / MS_PER_S,
        )
        if shed is not None:
            self.shed(shed.retry_after_ms)

    def use_slot(self) -> None:
        """Offers the slot to the sender."""
        self.is_offered = True
        self.deliver(self._receiver.offer_slot)

    def shed(self, retry_after_ms: int) -> None:
        """Tells the sender that there is no slot in time."""
        self._has_ended = True
        failure = Failure(
            Verdict.NOT_RUN, FailureCode.NO_FREE_SLOT, '', retry_after_ms
        )
        failed = SlotRefused(0, failure, self.upstream.measure_load())
        self.deliver(lambda: self._receiver.refuse_slot(failed))

    def take(self, request: 'PlayedRequest') -> None:
        """Sends the request to its slot."""
        self.deliver(lambda: self.upstream.run_reserved(request))

    def cancel(self) -> None:
        """Gives up the slot, or the wait for it."""
        self.deliver(self._withdraw)

    def _withdraw(self) -> None:
        if self.is_offered:
            self.upstream.return_slot()
        elif not self._has_ended:
            now = self.upstream.play.clock.now()
            self.upstream.queue.remove(self, now)
        self._has_ended = True


class PlayedUpstream:
    """An upstream and the queue of the daemon beside it."""

    def __init__(
        self,
        endpoint: Endpoint,
        speed: float,
        play: 'LoadPlay',
    ) -> None:
        """Starts idle."""
        self.endpoint = endpoint
        self.play = play
        self.queue: SlotQueue[PlayedRequest | PlayedReservation] = SlotQueue()
        self.queue.slots.resize(endpoint)
        self._speed = speed

    def measure_load(self):
        """Returns the load of the upstream."""
        return self.queue.slots.measure_load(len(self.queue))

    def receive(self, call: 'PlayedRequest', max_wait_ms: int) -> None:
        """Runs a call if a slot is free, else refuses it."""
        now = self.play.clock.now()
        if not self.queue.is_free_within(Priority.NORMAL, max_wait_ms, now):
            call.reply(call.on_refused)
        elif self.queue.try_acquire():
            self.run(call)

    def run_reserved(self, call: 'PlayedRequest') -> None:
        """Runs a call in the slot that was offered to it."""
        if self.queue.slots.is_ready_for(call):
            self.run(call)

    def return_slot(self) -> None:
        """Frees a slot that was offered and not used."""
        self.queue.slots.give_back()
        self._start_waiting()

    def tick(self) -> None:
        """Sheds the reservations that have waited too long."""
        for shed in self.queue.shed_expired(self.play.clock.now()):
            shed.call.shed(shed.retry_after_ms)

    def run(self, call: 'PlayedRequest') -> None:
        """Works on a call."""
        now = self.play.clock.now()
        self.queue.slots.run()
        call.dispatched_at = now
        work_s = self.play.draw_work_s() / self._speed

        def end() -> None:
            self.queue.end(call, work_s)
            call.reply(call.on_answer)
            self._start_waiting()

        self.play.clock.call_at(now + work_s, end)

    def _start_waiting(self) -> None:
        following = self.queue.pop_next(self.play.clock.now())
        while following is not None:
            following.use_slot()
            following = self.queue.pop_next(self.play.clock.now())


class PlayedTarget(NamedTuple):
    """The way of one sender to one upstream; a part of `CallTarget`."""

    upstream: PlayedUpstream
    domain: str

    def reserve(
        self,
        request: SlotRequest,
        receiver: SlotReceiver,
    ) -> PlayedReservation:
        """Requests a slot."""
        reservation = PlayedReservation(self.upstream, receiver, self.domain)
        reservation.deliver(lambda: reservation.arrive(request))
        return reservation


class PlayedSender(NamedTuple):
    """A proxy; the part of `ProxyContext` that a search for a slot uses."""

    router: Router
    domain: str
    play: 'LoadPlay'

    @property
    def clock(self) -> VirtualClock:
        """The clock of the play."""
        return self.play.clock

    @property
    def timers(self) -> TimerWheel:
        """The timers of the play."""
        return self.play.timers

    def find_target(self, endpoint: Endpoint) -> PlayedTarget:
        """Returns the way to an upstream."""
        return PlayedTarget(self.play.upstreams[endpoint.instance], self.domain)


class PlayedRequest:
    """One request of a caller."""

    def __init__(
        self,
        play: 'LoadPlay',
        sender: PlayedSender,
        first_at: float,
        returns_left: int,
    ) -> None:
        """Begins now; its caller first came at `first_at`, in seconds."""
        self._play = play
        self.sender = sender
        self.began_at = play.clock.now()
        self.first_at = first_at
        self.returns_left = returns_left
        self._placement = Placement(sender.router, first_at)
        self._search = SlotSearch(sender, self)
        self.deadline = first_at + play.load.deadline_s
        self.dispatched_at: float = 0
        self._sent_at: float = 0
        self._upstream: PlayedUpstream | None = None
        self._plan = play.build_plan(self.deadline)

    def choose(self) -> None:
        """Sends the call to an endpoint, or looks for a slot."""
        now = self._play.clock.now()
        choice = self._placement.choose(self._plan, [], now)
        if choice.selection.is_busy:
            self._start_search()
            return
        upstream = self._begin(choice.selection)
        self._deliver(lambda: upstream.receive(self, choice.max_wait_ms))

    def use_slot(self) -> None:
        """Runs in the slot that it waited for after its arrival."""
        self._upstream.run(self)

    def reply(self, callback: Callable[[], None]) -> None:
        """Takes a reply of the upstream back to the sender."""

        def receive() -> None:
            self.sender.router.get_load(self._upstream.endpoint).end()
            callback()

        self._deliver(receive)

    def on_answer(self) -> None:
        """Ends the request with a success."""
        router = self.sender.router
        latency_s = self._play.clock.now() - self._sent_at
        waited_us = int((self.dispatched_at - self._sent_at) * _US_PER_S)
        load = self._upstream.measure_load()
        router.record_answer(self._upstream.endpoint, latency_s, load)
        router.service_times.update(self._plan.route_key, latency_s, waited_us)
        self._play.answer(self)

    def on_refused(self) -> None:
        """Looks for a slot elsewhere, as the endpoint had none."""
        failure = Failure(Verdict.NOT_RUN, FailureCode.NO_FREE_SLOT, '')
        failed = SlotRefused(0, failure, self._upstream.measure_load())
        self._placement.record_refusal(
            self._upstream.endpoint, Priority.NORMAL, failed
        )
        self._start_search()

    # Callbacks of the search.

    def on_slot(self, found: FoundSlot) -> None:
        """Sends the request to its slot."""
        self._begin(found.selection)
        found.reservation.take(self)

    def on_slot_refused(self, asked: Selection, failed: SlotRefused) -> None:
        """Records that an upstream has no slot in time."""
        self._placement.record_refusal(asked.endpoint, Priority.NORMAL, failed)

    def on_no_slot(self) -> None:
        """Ends the request with a refusal; its caller may return."""
        now = self._play.clock.now()
        refusal = self._placement.build_refusal(self._plan, now)
        self._play.refuse(self, refusal.retry_after_ms / MS_PER_S)

    def _start_search(self) -> None:
        now = self._play.clock.now()
        self._search.start(self._placement.plan_search(self._plan, [], now))

    def _begin(self, selection: Selection) -> PlayedUpstream:
        upstream = self._play.upstreams[selection.endpoint.instance]
        self._upstream = upstream
        self._sent_at = self._play.clock.now()
        self.sender.router.get_load(upstream.endpoint).begin()
        self._play.count_call(
            upstream.endpoint.failure_domain != self.sender.domain
        )
        return upstream

    def _deliver(self, callback: Callable[[], None]) -> None:
        self._play.deliver(self._upstream, self.sender.domain, callback)


class LoadPlay:
    """One play of a load, with one seed."""

    def __init__(self, load: Load, seed: int) -> None:
        """Builds the fleet."""
        self.load = load
        self.clock = VirtualClock()
        self.timers = TimerWheel(self.clock.now())
        self._random = Random(seed)
        self.upstreams = dict(self._build_upstreams())
        endpoints = tuple(one.endpoint for one in self.upstreams.values())
        self._route = Route(_SERVICE, (), endpoints)
        self._policy = CallPolicy(target_latency_ms=load.target_ms)
        self._calls = 0
        self._far_calls = 0
        self._messages = 0
        self._latencies: list[float] = []
        self._refusals: list[float] = []

    def play(self) -> Result:
        """Plays the load to its end; returns what callers got."""
        end = self.clock.now() + self.load.seconds
        for domain in self.load.domains:
            self._schedule_arrivals(
                [
                    self._build_sender(domain, index)
                    for index in range(self.load.senders)
                ],
                end,
            )
        self._schedule_ticks(end)
        self.clock.run_until(end + self.load.deadline_s)
        return self._build_result()

    def build_plan(self, deadline: float) -> Plan:
        """Returns the plan of a request."""
        request = CallerRequest(b'GET', b'/', 'a', '/', (), 0, '', False)
        snapshot = Snapshot(
            1, 1, b'', self._policy, {}, {_SERVICE: self._route}
        )
        decision = Decision(_SERVICE, self._policy, '', '')
        return Plan(
            request,
            snapshot,
            decision,
            deadline,
            deadline,
            1,
            True,
            False,
            self._policy.priority,
        )

    def draw_work_s(self) -> float:
        """Returns the time that a request takes at speed 1."""
        mean_shift = -_SPREAD * _SPREAD / 2
        return self.load.work_s * self._random.lognormvariate(
            mean_shift, _SPREAD
        )

    def deliver(
        self,
        upstream: PlayedUpstream,
        domain: str,
        callback: Callable[[], None],
    ) -> None:
        """Carries a message between an upstream and a sender in `domain`."""
        self._messages += 1
        is_far = upstream.endpoint.failure_domain != domain
        delay_s = FAR_S if is_far else NEAR_S
        self.clock.call_at(self.clock.now() + delay_s, callback)

    def count_call(self, is_far: bool) -> None:
        """Counts a call that a sender sends."""
        self._calls += 1
        self._far_calls += is_far

    def answer(self, request: PlayedRequest) -> None:
        """Records the end of a request that was served."""
        self._latencies.append(self.clock.now() - request.first_at)

    def refuse(self, request: PlayedRequest, retry_after_s: float) -> None:
        """Records the end of a request, unless its caller returns."""
        now = self.clock.now()
        if not request.returns_left:
            self._refusals.append(now - request.began_at)
            return
        longest_s = (request.deadline - now) * _LONGEST_ABSENCE

        def return_() -> None:
            PlayedRequest(
                self,
                request.sender,
                request.first_at,
                request.returns_left - 1,
            ).choose()

        self.clock.call_at(now + min(retry_after_s, longest_s), return_)

    def _build_upstreams(self) -> Iterable[tuple[str, PlayedUpstream]]:
        for domain in self.load.domains:
            for index, speed in enumerate(self.load.speeds):
                name = f'{domain}-up-{index}'
                endpoint = Endpoint(
                    name,
                    1,
                    1,
                    _SERVICE,
                    Address('127.0.0.1', 1),
                    domain,
                    EndpointState.READY,
                    self.load.slots,
                    1000,
                )
                yield name, PlayedUpstream(endpoint, speed, self)

    def _build_sender(self, domain: str, index: int) -> PlayedSender:
        name = f'{domain}-{index}'
        router = Router(name, domain, self.clock, self._random)
        return PlayedSender(router, domain, self)

    def _schedule_arrivals(
        self,
        senders: list[PlayedSender],
        end: float,
    ) -> None:
        rate = self.load.requests_per_s
        if senders[0].domain == self.load.domains[0]:
            rate *= self.load.first_factor
        at = self.clock.now()
        burst_end = at + self.load.burst_s
        while at < end:
            factor = self.load.burst_factor if at < burst_end else 1
            at += self._random.expovariate(rate * factor)
            sender = self._random.choice(senders)

            def arrive(sender: PlayedSender = sender) -> None:
                PlayedRequest(
                    self, sender, self.clock.now(), self.load.returns
                ).choose()

            self.clock.call_at(at, arrive)

    def _schedule_ticks(self, end: float) -> None:
        at = self.clock.now()
        while at < end + self.load.deadline_s:
            at += _TICK_S
            self.clock.call_at(at, self._tick)

    def _tick(self) -> None:
        self.timers.advance(self.clock.now())
        for upstream in self.upstreams.values():
            upstream.tick()

    def _build_result(self) -> Result:
        target_s = self.load.target_ms / MS_PER_S
        answered = len(self._latencies)
        asked = answered + len(self._refusals)
        in_time = sum(latency <= target_s for latency in self._latencies)
        return Result(
            in_time / asked,
            (answered - in_time) / asked,
            len(self._refusals) / asked,
            self._far_calls / asked,
            max(self._refusals, default=0),
            self._messages / asked,
        )
