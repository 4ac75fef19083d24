"""One HTTP/1.1 connection of a caller, with h11.

Pipelined requests are answered in the order in which they were received. A
request that may be repeated starts while earlier responses are pending. Any
other request starts after them, since the connection may close with an earlier
response. The requests of a caller that disconnects are cancelled.
"""

from asyncio import Protocol, Transport
from collections.abc import Callable

from bilberry_core.metric import Metrics, NullMetrics
from h11 import Request

from bilberry_proxy.exchange import Exchange
from bilberry_proxy.pipelined_request import PipelinedRequest
from bilberry_proxy.request_intake import RequestIntake
from bilberry_proxy.request_pipeline import RequestPipeline
from bilberry_proxy.response_track import CutCause
from bilberry_proxy.send_buffer import SendBuffer

#: Longest time without a complete request head, in seconds.
MAX_IDLE_S = 60.0
#: Time for which bytes that follow the last response are dropped, in seconds.
DISCARD_S = 1.0


class CallerConnection(Protocol):
    """One connection of a caller, and its pipelined requests."""

    def __init__(
        self,
        build_exchange: Callable[[PipelinedRequest], Exchange],
        connections: set['CallerConnection'],
        may_overtake: Callable[[Request], bool] = lambda _start: False,
        metrics: Metrics = NullMetrics(),
    ) -> None:
        """Adds itself to `connections` for as long as it is open.

        `may_overtake` returns whether a request may start before the earlier
        requests are answered.
        """
        self.is_writable = True
        self.is_draining = False
        self.sent = SendBuffer()
        self._connections = connections
        self._transport: Transport | None = None
        self._pipeline = RequestPipeline(self)
        self._intake = RequestIntake(
            self._pipeline,
            build_exchange,
            may_overtake,
            self._end_idle,
            metrics,
        )
        self._idle_since: float | None = None
        self._is_discarding = False

    @property
    def has_unsent(self) -> bool:
        """Whether a part of a response may not have reached the caller."""
        if self._transport is None:
            return False
        return self._is_discarding or self.sent.size > 0

    # Callbacks of the event loop.

    def connection_made(self, transport: Transport) -> None:
        """Registers the connection."""
        self._transport = transport
        self.sent.open(transport)
        self._intake.pace.open(transport)
        self._connections.add(self)
        self._intake.add(b'')

    def data_received(self, received: bytes) -> None:
        """Parses received bytes and starts the requests in them."""
        self._intake.receive(received)

    def pause_writing(self) -> None:
        """Records that the send buffer is full: the caller reads slowly."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Resumes responses: the send buffer has room again."""
        self.is_writable = True
        self.sent.look()
        for exchange in self._pipeline.exchanges:
            exchange.resume_answer()

    def connection_lost(self, error: Exception | None) -> None:
        """Unregisters the connection and cancels its requests."""
        self._transport = None
        self._intake.pace.close()
        self._connections.discard(self)
        self.sent.close(error)
        self._pipeline.cancel(CutCause.CALLER)

    def expire_idle(self, now: float) -> None:
        """Closes the connection if it was idle for over `MAX_IDLE_S`.

        `now` is monotonic time, in seconds.
        """
        if self._transport is None:
            return
        self.sent.look()
        limit_s = DISCARD_S if self._is_discarding else MAX_IDLE_S
        is_sending = self._is_discarding and self.sent.size > 0
        is_busy = is_sending or self._pipeline.exchanges
        if is_busy or self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since > limit_s:
            self._transport.close()

    # Callbacks of the pipelined requests.

    def is_closing_after(self, request: PipelinedRequest) -> bool:
        """Returns whether the connection closes after this response.

        It is the last one that a stopping proxy sends here: what follows is
        not begun.
        """
        return self.is_draining and not self.has_begun_behind(request)

    def has_begun_behind(self, request: PipelinedRequest) -> bool:
        """Returns whether a later request was begun."""
        return self._pipeline.has_begun_behind(request)

    def finish(self, request: PipelinedRequest) -> None:
        """Advances to the next request once the first is answered."""
        while self._pipeline and self._pipeline[0].is_answered:
            if not self._drop_first():
                return
        self._intake.read()

    def abort(self, cause: CutCause = CutCause.CONNECTION) -> None:
        """Resets the connection, so that the caller detects a truncation."""
        self.sent.abort(cause)
        self._pipeline.cancel(cause)

    def set_reading(self, enabled: bool) -> None:
        """Resumes or pauses reading the body of the newest request."""
        self._intake.set_reading(enabled)

    def _drop_first(self) -> bool:
        """Removes the answered request; False if the connection closes."""
        answered = self._pipeline.popleft()
        self.sent.finish(answered.response)
        closes = self.is_draining and not self._pipeline
        if closes or not answered.is_reusable:
            self._pipeline.cancel(CutCause.CONNECTION)
            self._idle_since = None
            self._is_discarding = not answered.is_callers_last
            if answered.response is not None:
                self._intake.dropped.request_id = answered.response.request_id
            self._intake.dropped.record(answered.reader.unread_size)
            _close(self._transport, self._is_discarding)
            return False
        if not self._pipeline:
            self._intake.add(answered.reader.unread)
        else:
            self._pipeline[0].become_first()
        return True

    def _end_idle(self) -> None:
        self._idle_since = None


def _close(transport: Transport | None, is_discarding: bool) -> None:
    """Closes a connection once its last response is sent.

    A socket that is closed with unread bytes is reset, and what it has to send
    is lost. So what a caller may still send is read and dropped.
    """
    if transport is None:
        return
    if is_discarding:
        transport.write_eof()
        transport.resume_reading()
    else:
        transport.close()
