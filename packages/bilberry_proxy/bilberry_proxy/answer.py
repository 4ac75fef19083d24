"""The answer to one request, as far as its caller has been sent it."""

from typing import Protocol

from bilberry_core.verdict import Failure

from bilberry_proxy.call import CREDIT_STEP_BYTES
from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.failure_answer import build_failure_answer
from bilberry_proxy.http_headers import Headers


class Caller(Protocol):
    """The connection that a request came on."""

    @property
    def is_writable(self) -> bool:
        """Whether the caller keeps up with the answer."""

    def start_answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        last: bool,
    ) -> None:
        """Sends the start of the answer."""

    def send_answer_body(self, body: bytes, last: bool) -> None:
        """Sends more of the answer."""

    def abort_answer(self) -> None:
        """Ends the connection, so that the answer is seen to be cut."""

    def control_reading(self, wanted: bool) -> None:
        """Reads more of the request, or waits with that."""


class Answer:
    """Sends one answer to a caller, while there is one."""

    def __init__(
        self,
        caller: Caller,
        dialect: HttpDialect = OWN_DIALECT,
    ) -> None:
        """Starts unsent; failures are told in `dialect`."""
        self._dialect = dialect
        self._caller: Caller | None = caller
        self._status = 0
        self._uncredited = 0

    @property
    def status(self) -> int:
        """The status that was sent, 0 before."""
        return self._status

    @property
    def has_caller(self) -> bool:
        """Whether somebody waits for the answer."""
        return self._caller is not None

    def start(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        last: bool,
    ) -> None:
        """Sends the start of the answer."""
        self._status = status
        self._uncredited += len(body)
        if self._caller is not None:
            self._caller.start_answer(status, headers, body, last)

    def send_body(self, body: bytes, last: bool) -> None:
        """Sends more of the answer."""
        self._uncredited += len(body)
        if self._caller is not None:
            self._caller.send_answer_body(body, last)

    def fail(self, failure: Failure) -> None:
        """Answers with a failure, or cuts an answer that has begun."""
        if self._status and self._caller is not None:
            self._caller.abort_answer()
            return
        answer = build_failure_answer(failure, self._dialect)
        self.start(answer.status, answer.headers, answer.body, last=True)

    def detach_caller(self) -> None:
        """Sends nothing more: nobody waits."""
        self._caller = None

    def control_reading(self, wanted: bool) -> None:
        """Reads more of the request, or waits with that."""
        if self._caller is not None:
            self._caller.control_reading(wanted)

    def pop_credit(self) -> int:
        """Returns how many bytes the upstream may send on, in bytes."""
        if self._uncredited < CREDIT_STEP_BYTES:
            return 0
        if self._caller is not None and not self._caller.is_writable:
            return 0
        size = self._uncredited
        self._uncredited = 0
        return size
