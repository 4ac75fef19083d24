"""Admits calls to the upstream beside this daemon.

Only the admitter knows the upstream's free slots, its state and its queue, so
only it can decide whether the upstream may have run a request.
"""

from functools import partial
from logging import getLogger

from bilberry_core.board import Board, Phase, UpstreamCrash
from bilberry_core.clock import MS_PER_S, Clock
from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.messages.call import CallStart, Load
from bilberry_core.metric import Metrics, NullMetrics
from bilberry_core.verdict import FailureCode

from bilberry_proxy.admitted_call import AdmittedCall, Progress
from bilberry_proxy.call import AnswerReceiver
from bilberry_proxy.crash_probe import CrashProbe
from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.notice_keeper import NoticeKeeper
from bilberry_proxy.running_requests import RunningRequests
from bilberry_proxy.slot_queue import ShedCall, SlotQueue
from bilberry_proxy.suspect_tracker import InFlightRequest, SuspectTracker
from bilberry_proxy.timers import TimerWheel
from bilberry_proxy.upstream_connection import UpstreamConnection
from bilberry_proxy.upstream_pool import UpstreamPool

_log = getLogger(__name__)

#: Longest time that a cancelled call keeps its slot while the upstream has not
#: closed the connection, in seconds.
CANCEL_LINGER_S = 0.1
#: Time after which a caller may retry if the upstream is starting, draining or
#: gone, in milliseconds.
STATE_RETRY_AFTER_MS = 500
#: Time after which a caller may retry if its call reached the deadline, in
#: milliseconds.
LATE_RETRY_AFTER_MS = 250

_REFUSED_STATES = {
    EndpointState.STARTING: FailureCode.NO_ENDPOINT,
    EndpointState.DRAINING: FailureCode.DRAINING,
    EndpointState.GONE: FailureCode.NO_ENDPOINT,
}


class Admitter:
    """The target of all calls for the upstream beside this daemon."""

    def __init__(
        self,
        board: Board,
        clock: Clock,
        timers: TimerWheel,
        suspect_tracker: SuspectTracker,
        dialect: HttpDialect = OWN_DIALECT,
        metrics: Metrics = NullMetrics(),
    ) -> None:
        """Subscribes to the upstream's address and endpoint on the board."""
        self.metrics = metrics
        self._board = board
        self.clock = clock
        self._timers = timers
        self._suspect_tracker = suspect_tracker
        self.dialect = dialect
        self.running_requests = RunningRequests()
        self._queue: SlotQueue[AdmittedCall] = SlotQueue()
        self._pool = UpstreamPool(
            self._connection_ended,
            dialect,
        )
        self._probe = CrashProbe(self._record_crash)
        self.notices = NoticeKeeper(board, clock, metrics, dialect)
        self._answered_at: float = 0
        self._lingering: dict[UpstreamConnection, AdmittedCall] = {}
        board.upstream_address.watch(self._pool.set_address)
        board.upstream_notice.watch(self._queue.limiter.follow)
        board.own_endpoint.watch(self._on_endpoint_change)

    @property
    def outstanding(self) -> int:
        """Number of calls that have a slot."""
        return self._queue.slots.outstanding

    @property
    def upstream_id(self) -> str:
        """The identity of the upstream, empty if it announced none."""
        return self._board.upstream.value.upstream_id

    def open(self, start: CallStart, answers: AnswerReceiver) -> AdmittedCall:
        """Admits, queues or refuses a call."""
        now = self.clock.now()
        self._queue.limiter.advance(now)
        deadline = now + start.deadline_ms / MS_PER_S
        call = AdmittedCall(start, answers, self, deadline)
        call.opened_at = now
        if start.notice is not None:
            self.notices.adopt(start.notice)
        refusal = _find_refusal(self._board, start.service)
        if refusal is not None:
            call.fail(*refusal, STATE_RETRY_AFTER_MS)
            return call
        call.timer = self._timers.schedule(
            deadline,
            partial(
                call.fail,
                FailureCode.DEADLINE,
                'the deadline has passed',
                LATE_RETRY_AFTER_MS,
            ),
        )
        if not self._queue.is_free_within(start.priority, start.max_wait_ms):
            _refuse_without_slot(call, self._queue, self.metrics)
            return call
        if self._suspect_tracker.must_run_alone(
            start.fingerprint, start.suspect
        ):
            call.is_alone = True
            self._shed(self._queue.push_suspect(call))
            self._admit_waiting()
        elif self._queue.try_acquire():
            self._admit(call)
        else:
            self._shed(self._queue.push(call, start.priority, now, deadline))
        return call

    def is_answering(self, dispatched_at: float, silence_ms: int) -> bool:
        """Returns whether any response came within the last `silence_ms`.

        A call that was dispatched within that time counts as answering, as it
        may take that long itself.
        """
        since = self.clock.now() - silence_ms / MS_PER_S
        return max(self._answered_at, dispatched_at) > since

    def measure_load(self) -> Load:
        """Returns the load of the upstream."""
        return self._queue.slots.measure_load(len(self._queue))

    def leave_queue(self, call: AdmittedCall) -> None:
        """Removes a call from the queue."""
        self._queue.remove(call)

    def free_slot(self, call: AdmittedCall) -> None:
        """Frees the slot of a call and admits waiting calls."""
        self.running_requests.remove(call.request_id)
        latency_s: float = 0
        if call.is_answered:
            self._answered_at = self.clock.now()
            latency_s = self._answered_at - call.dispatched_at
            self._suspect_tracker.clear(call.start.fingerprint)
        self._queue.end(call, latency_s)
        self._admit_waiting()

    def free_slot_later(self, call: AdmittedCall) -> None:
        """Half-closes the connection of a call, which cancels it.

        The slot stays taken until the upstream closes the connection, for
        `CANCEL_LINGER_S` at most.
        """
        connection = call.connection
        if not connection.half_close():
            self.free_slot(call)
            return
        self._lingering[connection] = call
        self._timers.schedule(
            self.clock.now() + CANCEL_LINGER_S,
            connection.abort,
        )

    def fail_after_probe(self, call: AdmittedCall, detail: str) -> None:
        """Fails a call once a probe shows whether the upstream crashed."""
        self._probe.add(call, detail, self._pool.address)

    def expire_waiting(self) -> None:
        """Sheds every call that has waited too long, and admits others."""
        now = self.clock.now()
        self._queue.limiter.advance(now)
        for refused in self._queue.shed_expired(now):
            self._shed(refused)
        self._admit_waiting()

    def close(self) -> None:
        """Closes every idle connection."""
        self._pool.close_idle()

    def _shed(self, refused: ShedCall[AdmittedCall] | None) -> None:
        if refused is not None:
            refused.call.fail(
                FailureCode.OVERLOADED,
                refused.detail,
                refused.retry_after_ms,
            )

    def _admit(self, call: AdmittedCall) -> None:
        call.progress = Progress.CONNECTING
        self.running_requests.add(call.request_id)
        call.dispatched_at = self.clock.now()
        call.upstream = self._board.upstream.value
        self._pool.acquire(call)

    def _admit_waiting(self) -> None:
        call = self._queue.pop_next()
        while call is not None:
            self._admit(call)
            call = self._queue.pop_next()

    def _record_crash(
        self, address: Address, calls: list[AdmittedCall]
    ) -> None:
        weights = self._suspect_tracker.weigh_suspects(
            [
                InFlightRequest(call.start.fingerprint, call.is_alone)
                for call in calls
            ],
        )
        self._suspect_tracker.name(weights, self._board.own_endpoint.value)
        crash = UpstreamCrash(address, self.clock.wall_ms())
        self._board.upstream_crash.put(crash)
        _log.warning(
            'upstream_crashed',
            extra={'in_flight': len(calls), 'suspects': len(weights)},
        )
        for call in calls:
            weight = weights.get(call.start.fingerprint)
            if weight is not None:
                call.fail_crashed(weight)

    def _connection_ended(self, connection: UpstreamConnection) -> None:
        call = self._lingering.pop(connection, None)
        if call is not None:
            self.free_slot(call)

    def _on_endpoint_change(self, own: Endpoint | None) -> None:
        self._queue.slots.resize(own)
        if own is None or own.state not in _REFUSED_STATES:
            return
        self._pool.close_idle()
        for call in self._queue.clear():
            call.fail(
                _REFUSED_STATES[own.state],
                f'the upstream is {own.state.value}',
                STATE_RETRY_AFTER_MS,
            )


def _refuse_without_slot(
    call: AdmittedCall,
    queue: SlotQueue[AdmittedCall],
    metrics: Metrics,
) -> None:
    if queue.limiter.has_token:
        call.fail(FailureCode.NO_FREE_SLOT, 'no slot becomes free in time')
        return
    metrics.incr('call.limited')
    call.fail(
        FailureCode.NO_FREE_SLOT,
        'the rate limit of the upstream is reached',
        queue.defer(),
    )


def _find_refusal(board: Board, service: str) -> tuple[FailureCode, str] | None:
    if board.phase.value not in {Phase.STARTING, Phase.SERVING}:
        return FailureCode.DRAINING, 'the daemon is shutting down'
    own = board.own_endpoint.value
    if own is None or own.service != service:
        return (
            FailureCode.NO_ENDPOINT,
            f'no upstream of "{service}" is announced here',
        )
    code = _REFUSED_STATES.get(own.state)
    if code is None:
        return None
    return code, f'the upstream is {own.state.value}'
