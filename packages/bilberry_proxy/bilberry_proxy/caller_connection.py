"""One HTTP/1.1 connection of a caller, with h11.

Pipelined requests are answered in the order in which they were received. A
request that may be repeated starts while earlier responses are pending. Any
other request starts after them, since the connection may close with an earlier
response. The requests of a caller that disconnects are cancelled.
"""

from asyncio import Protocol, Transport
from collections.abc import Callable

from bilberry_core.metric import Metrics, NullMetrics
from h11 import RemoteProtocolError, Request

from bilberry_proxy.dropped_input import DroppedInput
from bilberry_proxy.exchange import Exchange
from bilberry_proxy.http_events import EventBatch
from bilberry_proxy.pipelined_request import PipelinedRequest, RequestPipeline
from bilberry_proxy.response_track import CutCause
from bilberry_proxy.send_buffer import SendBuffer

#: Bytes of further pipelined requests that are buffered before reading pauses.
MAX_READ_AHEAD_BYTES = 64 << 10
#: Requests of one connection that are processed concurrently.
MAX_PIPELINED_REQUESTS = 8
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
        self._build_exchange = build_exchange
        self._connections = connections
        self._may_overtake = may_overtake
        self._transport: Transport | None = None
        self._pipeline = RequestPipeline()
        self._reading_events = False
        self._idle_since: float | None = None
        self._is_discarding = False
        self._dropped = DroppedInput(metrics)

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
        self._connections.add(self)
        self._pipeline.add(self, b'')

    def data_received(self, received: bytes) -> None:
        """Parses received bytes and starts the requests in them."""
        if self._pipeline:
            self._pipeline[-1].receive(received)
            self._read_events()
        else:
            self._dropped.record(len(received))

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
        """Returns whether the connection closes after this response."""
        if not self.is_draining:
            return False
        newest = self._pipeline[-1]
        return request is newest or (
            newest.exchange is None and not newest.is_read
        )

    def finish(self, request: PipelinedRequest) -> None:
        """Advances to the next request once the first is answered."""
        while self._pipeline and self._pipeline[0].is_answered:
            if not self._drop_first():
                return
        self._read_events()

    def abort(self, cause: CutCause = CutCause.CONNECTION) -> None:
        """Resets the connection, so that the caller detects a truncation."""
        self.sent.abort(cause)
        self._pipeline.cancel(cause)

    def set_reading(self, enabled: bool) -> None:
        """Resumes or pauses reading from the caller."""
        if self._transport is None:
            return
        if enabled:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

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
                self._dropped.request_id = answered.response.request_id
            self._dropped.record(len(answered.trailing))
            _close(self._transport, self._is_discarding)
            return False
        if not self._pipeline:
            self._pipeline.add(self, answered.trailing)
        else:
            self._pipeline[0].become_first()
        self.set_reading(enabled=True)
        return True

    def _read_events(self) -> None:
        if self._reading_events or self._transport is None:
            return
        self._reading_events = True
        try:
            while self._pipeline and self._read_request(self._pipeline[-1]):
                """Continues while more events are buffered."""
        except RemoteProtocolError as error:
            self.is_draining = True
            self._pipeline[-1].refuse(error)
        finally:
            self._reading_events = False
        if (
            self._pipeline
            and len(self._pipeline[-1].trailing) > MAX_READ_AHEAD_BYTES
        ):
            self.set_reading(enabled=False)

    def _read_request(self, request: PipelinedRequest) -> bool:
        """Reads the newest request; returns whether more may be buffered."""
        if request.start is not None:
            return self._begin(request, request.start)
        if request.is_read:
            return self._read_ahead(request)
        batch = request.read()
        if batch.is_empty:
            return False
        if batch.start is not None:
            return self._begin(request, batch)
        request.feed(batch)
        return request.is_read

    def _read_ahead(self, request: PipelinedRequest) -> bool:
        if (
            len(self._pipeline) >= MAX_PIPELINED_REQUESTS
            or not request.trailing
        ):
            return False
        self._pipeline.add(self, request.trailing)
        return True

    def _begin(self, request: PipelinedRequest, batch: EventBatch) -> bool:
        """Starts an exchange; False if the request has to wait."""
        request.start = batch
        if self._pipeline.must_wait(request, self._may_overtake):
            return False
        request.start = None
        self._idle_since = None
        request.begin(self._build_exchange(request), batch)
        return True


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
