"""Admits calls to the upstream beside this daemon.

Only the admitter knows the upstream's free slots, its state and its queue, so
only it can decide whether the upstream may have run a request.
"""

from functools import partial

from bilberry_core.board import Board, Phase
from bilberry_core.clock import MS_PER_S, Clock
from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.messages.call import CallStart, Load, SlotRequest
from bilberry_core.metric import Metrics, NullMetrics
from bilberry_core.verdict import FailureCode

from bilberry_proxy.admitted_call import AdmittedCall, Progress
from bilberry_proxy.call import AnswerReceiver, SlotReceiver
from bilberry_proxy.crash_probe import CrashProbe
from bilberry_proxy.crash_recorder import CrashRecorder
from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.examination import Examinations
from bilberry_proxy.late_response import LATE_CHECK_S
from bilberry_proxy.lingering_calls import LingeringCalls
from bilberry_proxy.notice_keeper import NoticeKeeper
from bilberry_proxy.rank import rank_request
from bilberry_proxy.reserved_slot import ReservedSlot
from bilberry_proxy.running_requests import RunningRequests
from bilberry_proxy.slot_queue import ShedCall, SlotQueue
from bilberry_proxy.suspect_tracker import SuspectTracker
from bilberry_proxy.timers import TimerWheel
from bilberry_proxy.upstream_pool import UpstreamPool

#: Time after which a caller may retry if the upstream is starting, draining or
#: gone, in milliseconds.
STATE_RETRY_AFTER_MS = 500
#: Time after which a caller may retry if its call reached the deadline, in
#: milliseconds.
LATE_RETRY_AFTER_MS = 250

_IS_HELD_BACK = 'upstreams crashed while they ran this request'
_REFUSED_STATES = {
    EndpointState.STARTING: FailureCode.NO_ENDPOINT,
    EndpointState.DRAINING: FailureCode.DRAINING,
    EndpointState.GONE: FailureCode.NO_ENDPOINT,
}


WaitingCall = AdmittedCall | ReservedSlot


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
        self.timers = timers
        self._suspect_tracker = suspect_tracker
        self.dialect = dialect
        self.running_requests = RunningRequests()
        self._queue: SlotQueue[WaitingCall] = SlotQueue()
        self.early_offers = self._queue.slots.early_offers
        self._lingering = LingeringCalls(clock, timers, self.free_slot)
        self._pool = UpstreamPool(self._lingering.end, dialect, metrics)
        self._examinations = Examinations(suspect_tracker)
        recorder = CrashRecorder(board, clock, suspect_tracker)
        self._probe = CrashProbe(recorder.record)
        self.notices = NoticeKeeper(board, clock, metrics, dialect)
        self._answered_at: float = 0
        board.upstream_address.watch(self._pool.set_address)
        board.upstream_notice.watch(self._queue.slots.limiter.follow)
        board.own_endpoint.watch(self._on_endpoint_change)

    @property
    def upstream_id(self) -> str:
        """The identity of the upstream, empty if it announced none."""
        return self._board.upstream.value.upstream_id

    def open(self, start: CallStart, answers: AnswerReceiver) -> AdmittedCall:
        """Admits, queues or refuses a call."""
        call = self._build_call(start, answers)
        if call.progress is Progress.ENDED:
            return call
        now = call.opened_at
        if not self._queue.is_free_within(
            start.priority, start.max_wait_ms, now
        ):
            _refuse_without_slot(call, self._queue, self.metrics)
            return call
        if self._suspect_tracker.must_run_alone(
            start.fingerprint, start.suspect
        ):
            call.is_alone = True
            _shed(self._queue.push_suspect(call))
            self._admit_waiting()
        elif self._queue.try_acquire():
            self._admit(call)
        else:
            _shed(self._queue.push(call, start.priority, now, call.deadline))
        return call

    def reserve(
        self,
        request: SlotRequest,
        receiver: SlotReceiver,
    ) -> ReservedSlot:
        """Offers a slot, queues the request for one, or refuses it."""
        now = self.clock.now()
        self._queue.slots.limiter.advance(now)
        reservation = ReservedSlot(request, receiver, self)
        refusal = _find_refusal(self._board, request.service)
        if refusal is not None:
            reservation.fail(*refusal, STATE_RETRY_AFTER_MS)
        elif self._queue.try_acquire():
            reservation.offer()
        else:
            _shed(
                self._queue.push_reservation(
                    reservation,
                    rank_request(request),
                    now,
                    request.max_wait_ms / MS_PER_S,
                ),
            )
        return reservation

    def open_reserved(
        self,
        start: CallStart,
        answers: AnswerReceiver,
    ) -> AdmittedCall:
        """Runs a call in the slot that is kept for it.

        A suspect gives up the slot and waits until it can run alone.
        """
        call = self._build_call(start, answers)
        is_refused = call.progress is Progress.ENDED
        if is_refused:
            self.return_slot()
        elif self._suspect_tracker.must_run_alone(
            start.fingerprint, start.suspect
        ):
            call.is_alone = True
            _shed(self._queue.push_suspect(call))
            self.return_slot()
        elif self._queue.slots.is_ready_for(call):
            self._admit(call)
        return call

    def return_slot(self) -> None:
        """Frees a slot that was offered and not used."""
        self._queue.slots.give_back()
        self._admit_waiting()

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

    def leave_queue(self, call: WaitingCall) -> None:
        """Removes a call from the queue."""
        self._queue.remove(call, self.clock.now())

    def free_slot(self, call: AdmittedCall) -> None:
        """Frees the slot of a call and admits waiting calls.

        An upstream may go on with a request that was cancelled, until the
        deadline that it was told.
        """
        forget = partial(self.running_requests.remove, call.request_id)
        latency_s: float = 0
        if not call.is_answered:
            self.timers.schedule(call.deadline, forget)
        else:
            forget()
            self._answered_at = self.clock.now()
            latency_s = self._answered_at - call.dispatched_at
            self._suspect_tracker.clear(
                call.start.fingerprint, call.known_crashes
            )
        self._queue.end(call, latency_s)
        self._admit_waiting()

    def free_slot_later(self, call: AdmittedCall) -> None:
        """Cancels a call, which keeps its slot until its connection ends."""
        self._lingering.add(call)

    def fail_after_probe(self, call: AdmittedCall, detail: str) -> None:
        """Fails a call once a probe shows whether the upstream crashed."""
        self._probe.add(call, detail, self._pool.address)

    def expire_waiting(self) -> None:
        """Sheds every call that has waited too long, and admits others."""
        now = self.clock.now()
        self._queue.slots.limiter.advance(now)
        for refused in self._queue.shed_expired(now):
            _shed(refused)
        self._admit_waiting()

    def close(self) -> None:
        """Closes every idle connection."""
        self._pool.close_idle()

    def _build_call(
        self,
        start: CallStart,
        answers: AnswerReceiver,
    ) -> AdmittedCall:
        """Returns a call with its deadline, or one that is refused."""
        now = self.clock.now()
        self._queue.slots.limiter.advance(now)
        deadline = now + start.deadline_ms / MS_PER_S
        call = AdmittedCall(start, answers, self, deadline)
        call.opened_at = now
        if start.notice is not None:
            self.notices.adopt(start.notice)
        refusal = _find_refusal(self._board, start.service)
        if refusal is not None:
            call.fail(*refusal, STATE_RETRY_AFTER_MS)
            return call
        held_ms = self._examinations.begin(call)
        if held_ms:
            call.fail(FailureCode.QUARANTINED, _IS_HELD_BACK, held_ms)
            return call
        call.timer = self.timers.schedule(
            deadline, partial(_expire, self, call)
        )
        return call

    def _admit(self, call: AdmittedCall) -> None:
        self._queue.slots.run()
        call.progress = Progress.CONNECTING
        self.running_requests.add(call.request_id)
        call.dispatched_at = self.clock.now()
        call.upstream = self._board.upstream.value
        tracker = self._suspect_tracker
        call.known_crashes = tracker.find_crashes(call.start.fingerprint)
        call.known_weight = tracker.assess(call.start.fingerprint).weight
        self._pool.acquire(call, call.request_id.encode('latin-1'))

    def _admit_waiting(self) -> None:
        now = self.clock.now()
        call = self._queue.pop_next(now)
        while call is not None:
            if isinstance(call, ReservedSlot):
                call.offer()
            else:
                self._admit(call)
            call = self._queue.pop_next(now)

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


def _expire(admitter: Admitter, call: AdmittedCall) -> None:
    """Fails a call at its deadline, unless its response goes on."""
    now = admitter.clock.now()
    is_answered = call.progress is Progress.ANSWERED
    if is_answered and call.late.may_go_on(now, has_room=call.window > 0):
        call.timer = admitter.timers.schedule(
            now + LATE_CHECK_S,
            partial(_expire, admitter, call),
        )
        return
    call.fail(
        FailureCode.DEADLINE,
        'the deadline has passed',
        LATE_RETRY_AFTER_MS,
    )


def _shed(refused: ShedCall[WaitingCall] | None) -> None:
    if refused is None:
        return
    code = FailureCode.OVERLOADED
    if isinstance(refused.call, ReservedSlot):
        code = FailureCode.NO_FREE_SLOT
    refused.call.fail(code, refused.detail, refused.retry_after_ms)


def _refuse_without_slot(
    call: AdmittedCall,
    queue: SlotQueue[WaitingCall],
    metrics: Metrics,
) -> None:
    if queue.slots.limiter.has_token:
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
