"""Sends the response to one request to its caller."""

from typing import Protocol

from bilberry_core.verdict import Failure

from bilberry_proxy.call import CREDIT_STEP_BYTES
from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.failure_answer import build_failure_answer
from bilberry_proxy.http_headers import Headers
from bilberry_proxy.response_track import CutCause, ResponseTrack, find_cause


class Caller(Protocol):
    """The connection on which a request was received."""

    response: ResponseTrack | None

    @property
    def is_writable(self) -> bool:
        """Whether the send buffer has room for more of the response."""

    def start_answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        last: bool,
    ) -> None:
        """Sends the head and the first bytes of the response."""

    def send_answer_body(self, body: bytes, last: bool) -> None:
        """Sends more of the response body."""

    def withdraw_answer(self) -> bool:
        """Takes back a response; False if a part of it may have been sent."""

    def report_cut(
        self,
        cause: CutCause,
        failure: Failure | None = None,
    ) -> None:
        """Tells of a response that has begun and is cut."""

    def abort_answer(self) -> None:
        """Closes the connection, so that the caller detects a truncation."""

    def set_reading(self, enabled: bool) -> None:
        """Resumes or pauses reading the request."""


class Answer:
    """The response to one request, sent while the caller is connected."""

    def __init__(
        self,
        caller: Caller,
        dialect: HttpDialect = OWN_DIALECT,
        track: ResponseTrack | None = None,
    ) -> None:
        """Creates an unsent response; `dialect` names headers of failures."""
        self._track = track or ResponseTrack()
        self._dialect = dialect
        self._caller: Caller | None = caller
        self._status = 0
        self._uncredited = 0
        self._sent_bytes = 0
        self._seen_bytes = 0

    @property
    def status(self) -> int:
        """The HTTP status that was sent; 0 if none was sent yet."""
        return self._status

    @property
    def has_caller(self) -> bool:
        """Whether the caller still waits for the response."""
        return self._caller is not None

    def start(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        last: bool,
    ) -> None:
        """Sends the head and the first bytes of the response."""
        self._status = status
        self._uncredited += len(body)
        self._sent_bytes += len(body)
        if self._caller is not None:
            self._track.begin(headers, len(body), last)
            self._caller.response = self._track
            self._caller.start_answer(status, headers, body, last)

    def send_body(self, body: bytes, last: bool) -> None:
        """Sends more of the response body."""
        self._uncredited += len(body)
        self._sent_bytes += len(body)
        if self._caller is not None:
            self._track.add(len(body), last)
            self._caller.send_answer_body(body, last)

    def has_advanced(self) -> bool:
        """Returns whether more of a body was sent since the last call."""
        before = self._seen_bytes
        self._seen_bytes = self._sent_bytes
        return self._seen_bytes > before

    def report_cut(self, cause: CutCause, failure: Failure) -> None:
        """Tells of a response that has begun and is cut."""
        if self._status and self._caller is not None:
            self._caller.report_cut(cause, failure)

    def fail(self, failure: Failure) -> None:
        """Sends a failure response, or aborts a response that was sent."""
        self.report_cut(find_cause(failure), failure)
        if self._is_sent():
            self._caller.abort_answer()
            return
        answer = build_failure_answer(failure, self._dialect)
        self.start(answer.status, answer.headers, answer.body, last=True)

    def detach_caller(self) -> None:
        """Stops sending: the caller no longer waits."""
        self._caller = None

    def set_reading(self, enabled: bool) -> None:
        """Resumes or pauses reading the request."""
        if self._caller is not None:
            self._caller.set_reading(enabled)

    def _is_sent(self) -> bool:
        """Returns whether the caller may have a part of a response."""
        if not self._status or self._caller is None:
            return False
        return not self._caller.withdraw_answer()

    def pop_credit(self) -> int:
        """Returns and resets the flow-control credit to grant, in bytes.

        Returns 0 while less than one credit step was received or the caller
        reads too slowly.
        """
        if self._uncredited < CREDIT_STEP_BYTES:
            return 0
        if self._caller is not None and not self._caller.is_writable:
            return 0
        size = self._uncredited
        self._uncredited = 0
        return size
