"""One attempt of a request at one endpoint.

Each attempt has its own receiver, so nothing that an earlier attempt still
sends can reach the caller.
"""

from typing import Protocol

from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import (
    CallFailed,
    CallStart,
    Load,
    ReplyChunk,
    ReplyStart,
)
from bilberry_core.verdict import Failure

from bilberry_proxy.call import CallTarget, OpenCall
from bilberry_proxy.endpoint_load import EndpointLoad


class AttemptOwner(Protocol):
    """The request that an attempt belongs to."""

    def on_reply(self, attempt: 'Attempt', reply: ReplyStart) -> None:
        """Takes the start of the answer."""

    def on_chunk(self, chunk: ReplyChunk) -> None:
        """Takes more of the answer."""

    def on_failure(self, attempt: 'Attempt', failure: Failure) -> None:
        """Takes the failure that ends the attempt."""

    def on_credit(self, size: int) -> None:
        """Takes leave to send more of the request."""


class Attempt:
    """The call of one attempt and the receiver of its answer."""

    __slots__ = (
        '_call',
        '_load',
        '_owner',
        'ended',
        'endpoint',
        'answer_started',
        'started_at',
        'weight',
        'reported_load',
        'probe_answer',
    )

    def __init__(
        self,
        owner: AttemptOwner,
        endpoint: Endpoint,
        load: EndpointLoad,
        started_at: float,
    ) -> None:
        """Starts unopened; `started_at` is monotonic time, in seconds."""
        self.endpoint = endpoint
        self.ended = False
        self.answer_started = False
        self.weight = 0
        self.probe_answer: bool | None = None
        self.reported_load: Load | None = None
        self.started_at = started_at
        self._owner = owner
        self._load = load
        self._call: OpenCall | None = None

    @property
    def is_daemon_silent(self) -> bool:
        """Whether the daemon beside the upstream has answered no probe."""
        return self.probe_answer is None

    def is_endpoint_alive(self, since: float) -> bool:
        """Tells whether the endpoint has answered anything since then."""
        return bool(self.probe_answer) or self._load.seen_at > since

    def open(self, target: CallTarget, start: CallStart) -> None:
        """Opens the call."""
        self._load.begin()
        call = target.open(start, self)
        if not self.ended:
            self._call = call

    def send(self, body: bytes, last: bool) -> None:
        """Sends more of the request's body."""
        if self._call is not None:
            self._call.send(body, last)

    def grant(self, size: int) -> None:
        """Lets the answer go on by this many bytes."""
        if self._call is not None:
            self._call.grant(size)

    def probe(self, silence_s: float) -> None:
        """Asks whether the upstream has been silent for that long."""
        if self._call is not None:
            self._call.probe(int(silence_s * MS_PER_S))

    def report_alive(self, alive: bool) -> None:
        """Takes the answer to a probe: whether the upstream answers."""
        self.probe_answer = alive

    def cancel(self) -> None:
        """Ends the attempt without an answer."""
        call = self._call
        if self._end() and call is not None:
            call.cancel()

    def start_reply(self, reply: ReplyStart) -> None:
        """Takes the start of the answer."""
        if self.ended:
            return
        self.answer_started = True
        if reply.last:
            self._end()
        self._owner.on_reply(self, reply)

    def continue_reply(self, chunk: ReplyChunk) -> None:
        """Takes more of the answer."""
        if self.ended:
            return
        if chunk.last:
            self._end()
        self._owner.on_chunk(chunk)

    def fail(self, failed: CallFailed) -> None:
        """Takes the failure that ends the call."""
        if self._end():
            self.weight = failed.weight
            self.reported_load = failed.load
            self._owner.on_failure(self, failed.failure)

    def credit(self, size: int) -> None:
        """Takes leave to send more of the request."""
        if not self.ended:
            self._owner.on_credit(size)

    def _end(self) -> bool:
        if self.ended:
            return False
        self.ended = True
        self._call = None
        self._load.end()
        return True
