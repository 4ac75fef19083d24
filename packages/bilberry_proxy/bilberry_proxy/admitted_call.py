"""Runs one call in the daemon beside the upstream.

The call waits for a slot, then for a connection, then runs. Every failure
carries a verdict that says whether the upstream may have run the request.
"""

from enum import IntEnum
from typing import Protocol

from bilberry_core.clock import MS_PER_S, Clock
from bilberry_core.messages.call import (
    CallFailed,
    CallStart,
    Load,
    ReplyChunk,
    ReplyStart,
)
from bilberry_core.upstream_notice import UpstreamIdentity
from bilberry_core.verdict import Failure, FailureCode, Verdict
from h11 import LocalProtocolError

from bilberry_proxy.buffered_answer import BufferedAnswer
from bilberry_proxy.call import WINDOW_BYTES, AnswerReceiver
from bilberry_proxy.call_log import UpstreamContext, log_failure
from bilberry_proxy.http_headers import Headers, find_header
from bilberry_proxy.late_response import LateResponse
from bilberry_proxy.notice_keeper import NoticeKeeper
from bilberry_proxy.request_upload import RequestUpload
from bilberry_proxy.suspect_tracker import SuspectKey
from bilberry_proxy.timers import Timer
from bilberry_proxy.upstream_connection import UpstreamConnection
from bilberry_proxy.upstream_request import (
    build_upstream_request,
    find_answer_fault,
    is_declined,
    is_misdirected,
)

#: Time after which a caller whose request was in flight at a crash may retry,
#: in milliseconds; by then every proxy knows of the crash.
CRASH_RETRY_AFTER_MS = 1000
#: Time after which a caller may retry a request that the upstream declined,
#: in milliseconds.
DECLINED_RETRY_AFTER_MS = 1000
_US_PER_S = 1_000_000


class Progress(IntEnum):
    """The stages of a call, in their order."""

    QUEUED = 0
    CONNECTING = 1
    SENT = 2
    ANSWERED = 3
    ENDED = 4


_VERDICTS = {
    Progress.QUEUED: Verdict.NOT_RUN,
    Progress.CONNECTING: Verdict.NOT_RUN,
    Progress.SENT: Verdict.MAY_HAVE_RUN,
    Progress.ANSWERED: Verdict.RAN,
}
_ON_CONNECTION = frozenset((Progress.SENT, Progress.ANSWERED))
_DECLINED = Failure(
    Verdict.NOT_RUN,
    FailureCode.UPSTREAM_DECLINED,
    'the upstream declined to run the request',
    DECLINED_RETRY_AFTER_MS,
)


class CallAdmitter(UpstreamContext, Protocol):
    """The admitter of a call, which knows the load and counts the slots."""

    notices: NoticeKeeper
    clock: Clock

    def is_answering(self, dispatched_at: float, silence_ms: int) -> bool:
        """Returns whether any response came within the last `silence_ms`.

        A call dispatched within that time counts as answering.
        """

    def measure_load(self) -> Load:
        """Returns the load of the upstream."""

    def leave_queue(self, call: 'AdmittedCall') -> None:
        """Removes a call that no longer waits for a slot."""

    def free_slot(self, call: 'AdmittedCall') -> None:
        """Frees the slot of a call."""

    def free_slot_later(self, call: 'AdmittedCall') -> None:
        """Frees the slot of a call once its connection has ended."""

    def fail_after_probe(self, call: 'AdmittedCall', detail: str) -> None:
        """Fails the call once a probe shows why its connection ended."""


class AdmittedCall:
    """An open call to the upstream; implements `OpenCall` for its opener."""

    def __init__(
        self,
        start: CallStart,
        answers: AnswerReceiver,
        admitter: CallAdmitter,
        deadline: float,
    ) -> None:
        """Creates a queued call; `deadline` is monotonic time, in seconds."""
        self.start = start
        request_id = find_header(start.headers, admitter.dialect.request_id)
        self.request_id = request_id.decode('latin-1')
        self.progress = Progress.QUEUED
        self.connection: UpstreamConnection | None = None
        self.deadline = deadline
        self.timer: Timer | None = None
        self.dispatched_at: float = 0
        self.upstream = UpstreamIdentity()
        self.opened_at: float = 0
        self.is_answered = False
        self.is_alone = False
        #: What was held against the request when its run began.
        self.known_crashes: frozenset[SuspectKey] = frozenset()
        self.known_weight = 0
        self._answers = answers
        self._admitter = admitter
        sent = 0 if start.last else len(start.body)
        self._upload = RequestUpload(answers, sent)
        self.window = WINDOW_BYTES
        self._buffered_answer: BufferedAnswer | None = None
        self.late: LateResponse | None = None

    # Called by the opener.

    def send(self, body: bytes, last: bool) -> None:
        """Sends more of the request's body."""
        if self.progress is not Progress.ENDED:
            self._upload.send(body, last)

    def grant(self, size: int) -> None:
        """Lets the upstream send `size` further bytes of the response."""
        was_exhausted = self.window <= 0
        self.window += size
        if was_exhausted and self.window > 0 and self.connection is not None:
            self.connection.set_reading(enabled=True)

    def probe(self, silence_ms: int) -> None:
        """Reports to the opener whether the upstream responds."""
        alive = self._admitter.is_answering(self.dispatched_at, silence_ms)
        self._answers.report_alive(alive)

    def cancel(self) -> None:
        """Ends the call without notifying the opener."""
        if self.progress is not Progress.ENDED:
            self._give_up()

    # Called by the admitter.

    def fail(
        self,
        code: FailureCode,
        detail: str,
        retry_after_ms: int = 0,
    ) -> None:
        """Ends the call and reports the failure to the opener."""
        if self.progress is not Progress.ENDED:
            verdict = _VERDICTS[self.progress]
            self._fail(Failure(verdict, code, detail, retry_after_ms))

    def fail_crashed(self, weight: int) -> None:
        """Fails the call as a suspect in the upstream's crash.

        `weight` is how much the crash counts towards a quarantine.
        """
        if self.progress is not Progress.ENDED:
            verdict = _VERDICTS[self.progress]
            failure = Failure(
                verdict,
                FailureCode.UPSTREAM_CRASHED,
                'the upstream crashed',
                CRASH_RETRY_AFTER_MS,
            )
            self._fail(failure, weight)

    # Called by the pool.

    def on_connection(self, connection: UpstreamConnection) -> bool:
        """Sends the request on a connection.

        Returns False if the call has ended; the connection is unused then.
        """
        if self.progress is not Progress.CONNECTING:
            self._admitter.free_slot(self)
            return False
        request = build_upstream_request(
            self.start,
            self.deadline - self.dispatched_at,
            self._admitter.dialect,
            self._admitter.upstream_id,
        )
        try:
            connection.begin(request, self)
        except LocalProtocolError as error:
            connection.abort()
            self.fail(FailureCode.BAD_REQUEST, str(error))
            self._admitter.free_slot(self)
            return True
        self.connection = connection
        self.progress = Progress.SENT
        self._admitter.metrics.incr('call.sent')
        self._upload.begin(connection, self.start.last)
        return True

    def on_unreachable(self, detail: str) -> None:
        """Fails the call: the upstream accepts no connection."""
        self.fail(FailureCode.UPSTREAM_UNREACHABLE, detail)
        self._admitter.free_slot(self)

    # Called by the connection.

    def on_response(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        last: bool,
    ) -> None:
        """Buffers a response until it is complete or too long to buffer."""
        dialect = self._admitter.dialect
        fault = find_answer_fault(status, headers, dialect)
        if fault:
            self.connection.abort()
            self.fail(FailureCode.UPSTREAM_MALFORMED, fault)
            return
        if not is_misdirected(status, dialect):
            self._admitter.notices.observe(self.upstream, headers)
        self._buffered_answer = BufferedAnswer(status, headers)
        self.on_body(body, last)

    def on_body(self, body: bytes, last: bool) -> None:
        """Buffers more of the body, or forwards it after the buffered part."""
        buffered = self._buffered_answer
        if buffered is None:
            chunk = ReplyChunk(self.start.call, body, last)
            self._answers.continue_reply(chunk)
            self._consume_window(len(body), last)
            return
        buffered.add(body)
        if last or buffered.is_long:
            self._buffered_answer = None
            self._start_reply(buffered, last)

    def _start_reply(self, buffered: BufferedAnswer, last: bool) -> None:
        if last and is_declined(
            buffered.status, buffered.headers, self._admitter.dialect
        ):
            self._end()
            load = self._admitter.measure_load()
            log_failure(self.start, _DECLINED, load, self._admitter)
            self._answers.fail(
                CallFailed(
                    self.start.call,
                    _DECLINED,
                    load,
                    notice=self._admitter.notices.shared,
                ),
            )
            self._admitter.free_slot(self)
            return
        self.progress = Progress.ANSWERED
        self.late = LateResponse(buffered.headers)
        body = buffered.body
        waited_s = self.dispatched_at - self.opened_at
        waited_us = int(waited_s * _US_PER_S)
        self._admitter.metrics.timing('call.waited', waited_s * MS_PER_S)
        served_s = self._admitter.clock.now() - self.dispatched_at
        reply = ReplyStart(
            self.start.call,
            buffered.status,
            buffered.headers,
            body,
            last,
            self._admitter.measure_load()._replace(waited_us=waited_us),
            self._admitter.notices.shared,
            int(served_s * _US_PER_S),
        )
        self._answers.start_reply(reply)
        self._consume_window(len(body), last)

    def on_broken(self, code: FailureCode, detail: str) -> None:
        """Fails the call: the connection ended before the response did."""
        if code is FailureCode.UPSTREAM_MALFORMED:
            self.progress = Progress.ANSWERED
            self.fail(code, detail)
        else:
            self._admitter.fail_after_probe(self, detail)

    def resume_request(self) -> None:
        """Grants the opener credit for more of the request's body."""
        self._upload.credit()

    def _consume_window(self, size: int, last: bool) -> None:
        if last:
            self.is_answered = True
            self._end()
            self._admitter.free_slot(self)
            return
        self.late.add(size)
        self.window -= size
        if self.window <= 0 and self.connection is not None:
            self.connection.set_reading(enabled=False)

    def _end(self) -> Progress:
        before = self.progress
        self.progress = Progress.ENDED
        if self.timer is not None:
            self.timer.cancel()
        self._upload.clear()
        return before

    def _fail(self, failure: Failure, weight: int = 1) -> None:
        self._give_up()
        load = self._admitter.measure_load()
        log_failure(self.start, failure, load, self._admitter)
        self._answers.fail(
            CallFailed(
                self.start.call,
                failure,
                load,
                weight,
                self._admitter.notices.shared,
            ),
        )

    def _give_up(self) -> None:
        before = self._end()
        if before is Progress.QUEUED:
            self._admitter.leave_queue(self)
        elif before in _ON_CONNECTION:
            self._admitter.free_slot_later(self)
