"""One send of a request to one endpoint.

Each attempt has its own receiver, so that data that arrives late from an
earlier attempt cannot reach the caller.
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
from bilberry_core.upstream_notice import UpstreamNotice
from bilberry_core.verdict import Failure

from bilberry_proxy.call import CallTarget, OpenCall, SlotReservation
from bilberry_proxy.endpoint_load import EndpointLoad

_US_PER_S = 1_000_000


class AttemptOwner(Protocol):
    """The request that an attempt belongs to."""

    def on_reply(self, attempt: 'Attempt', reply: ReplyStart) -> None:
        """Handles the start of the response."""

    def on_chunk(self, chunk: ReplyChunk) -> None:
        """Handles more of the response body."""

    def on_failure(self, attempt: 'Attempt', failure: Failure) -> None:
        """Handles the failure that ends the attempt."""

    def on_credit(self, size: int) -> None:
        """Allows `size` more bytes of the request body to be sent."""


class Attempt:
    """The call of one attempt, and the receiver of its response."""

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
        'reported_notice',
        'probe_answer',
    )

    def __init__(
        self,
        owner: AttemptOwner,
        endpoint: Endpoint,
        load: EndpointLoad,
        started_at: float,
    ) -> None:
        """Opens no call yet; `started_at` is monotonic time, in seconds."""
        self.endpoint = endpoint
        self.ended = False
        self.answer_started = False
        self.weight = 0
        self.probe_answer: bool | None = None
        self.reported_load: Load | None = None
        self.reported_notice: UpstreamNotice | None = None
        self.started_at = started_at
        self._owner = owner
        self._load = load
        self._call: OpenCall | None = None

    @property
    def is_daemon_silent(self) -> bool:
        """Whether the daemon beside the upstream has not answered a probe."""
        return self.probe_answer is None

    @property
    def service_s(self) -> float:
        """The mean service time of the endpoint in seconds, 0 if unknown."""
        return self._load.service_us / _US_PER_S

    def is_endpoint_alive(self, since: float) -> bool:
        """Returns whether the endpoint has responded since `since`.

        `since` is monotonic time, in seconds. A positive answer to a probe
        counts as well.
        """
        return bool(self.probe_answer) or self._load.seen_at > since

    def open(self, target: CallTarget, start: CallStart) -> None:
        """Opens the call and counts it as outstanding."""
        self._load.begin()
        call = target.open(start, self)
        if not self.ended:
            self._call = call

    def open_reserved(
        self,
        reservation: SlotReservation,
        start: CallStart,
    ) -> None:
        """Opens the call in a slot that was offered."""
        self._load.begin()
        call = reservation.take(start, self)
        if not self.ended:
            self._call = call

    def send(self, body: bytes, last: bool) -> None:
        """Sends more of the request's body."""
        if self._call is not None:
            self._call.send(body, last)

    def grant(self, size: int) -> None:
        """Grants credit for `size` more bytes of the response."""
        if self._call is not None:
            self._call.grant(size)

    def probe(self, silence_s: float) -> None:
        """Queries whether the upstream has been silent for `silence_s`."""
        if self._call is not None:
            self._call.probe(int(silence_s * MS_PER_S))

    def report_alive(self, alive: bool) -> None:
        """Records the answer to a probe: whether the upstream responds."""
        self.probe_answer = alive

    def cancel(self) -> None:
        """Cancels the call; no callback follows."""
        call = self._call
        if self._end() and call is not None:
            call.cancel()

    def start_reply(self, reply: ReplyStart) -> None:
        """Handles the start of the response."""
        if self.ended:
            return
        self.answer_started = True
        if reply.last:
            self._end()
        self._owner.on_reply(self, reply)

    def continue_reply(self, chunk: ReplyChunk) -> None:
        """Handles more of the response body."""
        if self.ended:
            return
        if chunk.last:
            self._end()
        self._owner.on_chunk(chunk)

    def fail(self, failed: CallFailed) -> None:
        """Handles the failure that ends the call."""
        if self._end():
            self.weight = failed.weight
            self.reported_load = failed.load
            self.reported_notice = failed.notice
            self._owner.on_failure(self, failed.failure)

    def credit(self, size: int) -> None:
        """Allows `size` more bytes of the request body to be sent."""
        if not self.ended:
            self._owner.on_credit(size)

    def _end(self) -> bool:
        if self.ended:
            return False
        self.ended = True
        self._call = None
        self._load.end()
        return True
