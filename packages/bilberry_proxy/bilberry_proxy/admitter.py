"""Admits calls to the upstream beside this daemon.

The only place that knows the upstream's free slots, its state and its queue,
and so the only one that can tell whether a request was run.
"""

from functools import partial

from bilberry_core.board import Board, Phase
from bilberry_core.clock import MS_PER_S, Clock
from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.messages.call import CallStart, Load
from bilberry_core.verdict import FailureCode

from bilberry_proxy.admission import (
    MAX_AGE_S,
    AdmissionQueue,
    Ticket,
    is_full,
    is_hopeless,
    suggest_retry_after_ms,
)
from bilberry_proxy.admitted_call import AdmittedCall, Progress
from bilberry_proxy.call import AnswerReceiver
from bilberry_proxy.slots import Slots
from bilberry_proxy.timers import TimerWheel
from bilberry_proxy.upstream_connection import UpstreamConnection
from bilberry_proxy.upstream_pool import UpstreamPool

#: Longest time that a call given up on keeps its slot, in seconds, while the
#: upstream has not ended the connection.
CANCEL_LINGER_S = 1.0
#: When a caller may come back to an upstream that is starting or leaving.
STATE_RETRY_AFTER_MS = 500

_REFUSED_STATES = {
    EndpointState.STARTING: FailureCode.NO_ENDPOINT,
    EndpointState.DRAINING: FailureCode.DRAINING,
    EndpointState.GONE: FailureCode.NO_ENDPOINT,
}


class Admitter:
    """Takes calls for the upstream beside this daemon."""

    def __init__(self, board: Board, clock: Clock, timers: TimerWheel) -> None:
        """Follows the endpoint that the upstream announces."""
        self._board = board
        self._clock = clock
        self._timers = timers
        self._queue: AdmissionQueue[AdmittedCall] = AdmissionQueue()
        self._pool = UpstreamPool(self._connection_ended)
        self._lingering: dict[UpstreamConnection, AdmittedCall] = {}
        self.slots = Slots()
        board.upstream_address.watch(self._pool.move)
        board.own_endpoint.watch(self._follow_endpoint)

    @property
    def outstanding(self) -> int:
        """How many calls have a slot."""
        return self.slots.outstanding

    def now(self) -> float:
        """Returns monotonic time, in seconds."""
        return self._clock.now()

    def open(self, start: CallStart, answers: AnswerReceiver) -> AdmittedCall:
        """Admits a call, lets it wait or refuses it."""
        now = self._clock.now()
        left_s = start.deadline_ms / MS_PER_S
        call = AdmittedCall(start, answers, self, now + left_s)
        refusal = _find_refusal(self._board, start.service)
        if refusal is not None:
            call.fail(*refusal, STATE_RETRY_AFTER_MS)
            return call
        call.timer = self._timers.schedule(
            call.deadline,
            partial(call.fail, FailureCode.DEADLINE, 'the time ran out'),
        )
        if self.slots.has_room and not self._queue:
            self._admit(call)
            return call
        self._enqueue(call, now)
        return call

    def measure_load(self) -> Load:
        """Returns how busy the upstream is."""
        return self.slots.measure_load(len(self._queue))

    def leave_queue(self, call: AdmittedCall) -> None:
        """Takes a call out of the queue."""
        self._queue.remove(call)

    def free_slot(self, call: AdmittedCall) -> None:
        """Gives the slot of a call to the next one."""
        began_at = call.dispatched_at
        self.slots.free(self._clock.now() - began_at if began_at else 0)
        self._pump()

    def free_slot_later(self, call: AdmittedCall) -> None:
        """Cancels a call at the upstream and waits for it to let go."""
        connection = call.connection
        if not connection.half_close():
            self.free_slot(call)
            return
        self._lingering[connection] = call
        self._timers.schedule(
            self._clock.now() + CANCEL_LINGER_S,
            connection.abort,
        )

    def expire_waiting(self) -> None:
        """Sheds every call that has waited for too long."""
        for ticket in self._queue.pop_expired(self._clock.now()):
            self._shed(ticket.waiting, 'the wait for a slot was too long')

    def close(self) -> None:
        """Ends every connection that serves no request."""
        self._pool.close_idle()

    def _enqueue(self, call: AdmittedCall, now: float) -> None:
        priority = call.start.priority
        occupancy = self.slots.measure_occupancy(len(self._queue))
        if is_full(occupancy):
            evicted = self._queue.evict_below(priority)
            if evicted is None:
                self._shed(call, 'the queue is full')
                return
            self._shed(evicted.waiting, 'a call of higher priority came')
        age_s = min(MAX_AGE_S[priority], call.deadline - now)
        ahead = self._queue.count_ahead(priority)
        if is_hopeless(occupancy, ahead, age_s):
            self._shed(call, 'the wait for a slot would be too long')
            return
        self._queue.push(Ticket(call, priority, now + age_s))

    def _shed(self, call: AdmittedCall, detail: str) -> None:
        retry_after_ms = suggest_retry_after_ms(
            self.slots.measure_occupancy(len(self._queue))
        )
        call.fail(FailureCode.OVERLOADED, detail, retry_after_ms)

    def _admit(self, call: AdmittedCall) -> None:
        self.slots.take()
        call.progress = Progress.CONNECTING
        self._pool.seek(call)

    def _pump(self) -> None:
        while self.slots.has_room:
            ticket = self._queue.pop()
            if ticket is None:
                return
            self._admit(ticket.waiting)

    def _connection_ended(self, connection: UpstreamConnection) -> None:
        call = self._lingering.pop(connection, None)
        if call is not None:
            self.free_slot(call)

    def _follow_endpoint(self, own: Endpoint | None) -> None:
        self.slots.resize(own)
        if own is None or own.state not in _REFUSED_STATES:
            return
        self._pool.close_idle()
        ticket = self._queue.pop()
        while ticket is not None:
            ticket.waiting.fail(
                _REFUSED_STATES[own.state],
                f'the upstream is {own.state.value}',
                STATE_RETRY_AFTER_MS,
            )
            ticket = self._queue.pop()


def _find_refusal(board: Board, service: str) -> tuple[FailureCode, str] | None:
    if board.phase.value in {Phase.DRAINING, Phase.STOPPED}:
        return FailureCode.DRAINING, 'the daemon is leaving'
    own = board.own_endpoint.value
    if own is None or own.service != service:
        return FailureCode.NO_ENDPOINT, f'no upstream of "{service}" here'
    code = _REFUSED_STATES.get(own.state)
    if code is None:
        return None
    return code, f'the upstream is {own.state.value}'
