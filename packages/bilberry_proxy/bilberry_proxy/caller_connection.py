"""One HTTP/1.1 connection of a caller, by h11.

Requests are answered in the order in which they came. Those that may be
repeated are begun before the answers ahead of them are complete; any other
waits for its turn, since the connection may end with an answer ahead of it.
A caller that hangs up cancels its requests.
"""

from asyncio import Protocol, Transport
from collections.abc import Callable

from h11 import RemoteProtocolError, Request

from bilberry_proxy.exchange import Exchange
from bilberry_proxy.http_events import EventBatch
from bilberry_proxy.pipelined_request import PipelinedRequest, RequestPipeline

#: Bytes of later requests that a caller may send ahead.
MAX_AHEAD_BYTES = 64 << 10
#: Requests of one connection that are under way at once.
MAX_PIPELINED_REQUESTS = 8
#: Longest time without a whole request head, in seconds.
MAX_IDLE_S = 60.0


class CallerConnection(Protocol):
    """Serves the requests of one caller's connection."""

    def __init__(
        self,
        build_exchange: Callable[[PipelinedRequest], Exchange],
        connections: set['CallerConnection'],
        may_overtake: Callable[[Request], bool] = lambda _start: False,
    ) -> None:
        """Takes its place in `connections` while it is open.

        `may_overtake` tells whether a request may begin before those ahead of
        it are answered.
        """
        self.is_writable = True
        self.is_draining = False
        self._build_exchange = build_exchange
        self._connections = connections
        self._may_overtake = may_overtake
        self._transport: Transport | None = None
        self._pipeline = RequestPipeline()
        self._reading_events = False
        self._idle_since: float | None = None

    # The event loop's side.

    def connection_made(self, transport: Transport) -> None:
        """Called by the event loop."""
        self._transport = transport
        self._connections.add(self)
        self._append_request(b'')

    def data_received(self, received: bytes) -> None:
        """Called by the event loop."""
        if self._pipeline:
            self._pipeline[-1].receive(received)
            self._read_events()

    def pause_writing(self) -> None:
        """Called by the event loop when the caller reads too slowly."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Called by the event loop when the caller has caught up."""
        self.is_writable = True
        for exchange in self._pipeline.exchanges:
            exchange.resume_answer()

    def connection_lost(self, _error: Exception | None) -> None:
        """Called by the event loop."""
        self._transport = None
        self._connections.discard(self)
        self._pipeline.cancel()

    def expire_idle(self, now: float) -> None:
        """Ends the connection where no request has come for long.

        `now` is monotonic time, in seconds.
        """
        if self._pipeline.exchanges or self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since > MAX_IDLE_S and self._transport:
            self._transport.close()

    # The side of the turns.

    def is_closing_after(self, request: PipelinedRequest) -> bool:
        """Whether the connection ends with the answer of this request."""
        if not self.is_draining:
            return False
        newest = self._pipeline[-1]
        return request is newest or (
            newest.exchange is None and not newest.is_read
        )

    def write(self, raw: bytes) -> None:
        """Sends bytes to the caller."""
        if self._transport is not None:
            self._transport.write(raw)

    def finish(self, request: PipelinedRequest) -> None:
        """Goes on with the next request once the first is answered."""
        while self._pipeline and self._pipeline[0].is_answered:
            if not self._drop_first():
                return
        self._read_events()

    def abort(self) -> None:
        """Ends the connection at once, so that an answer is seen to be cut."""
        if self._transport is not None:
            self._transport.abort()
        self._pipeline.cancel()

    def control_reading(self, wanted: bool) -> None:
        """Reads more of the caller's bytes, or waits with that."""
        if self._transport is None:
            return
        if wanted:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _drop_first(self) -> bool:
        """Drops the first request; False where the connection ends with it."""
        answered = self._pipeline.popleft()
        closes = self.is_draining and not self._pipeline
        if closes or not answered.is_reusable:
            self._pipeline.cancel()
            if self._transport is not None:
                self._transport.close()
            return False
        if not self._pipeline:
            self._append_request(answered.trailing)
        else:
            self._pipeline[0].become_first()
        self.control_reading(wanted=True)
        return True

    def _append_request(self, received: bytes) -> None:
        request = PipelinedRequest(self, received)
        if not self._pipeline:
            request.become_first()
        self._pipeline.append(request)

    def _read_events(self) -> None:
        if self._reading_events or self._transport is None:
            return
        self._reading_events = True
        try:
            while self._pipeline and self._read_request(self._pipeline[-1]):
                """Reads on while there is something at hand."""
        except RemoteProtocolError as error:
            self.is_draining = True
            self._pipeline[-1].refuse(error)
        finally:
            self._reading_events = False
        if (
            self._pipeline
            and len(self._pipeline[-1].trailing) > MAX_AHEAD_BYTES
        ):
            self.control_reading(wanted=False)

    def _read_request(self, request: PipelinedRequest) -> bool:
        """Reads the newest request; tells whether there may be more."""
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
        self._append_request(request.trailing)
        return True

    def _begin(self, request: PipelinedRequest, batch: EventBatch) -> bool:
        """Begins an exchange; False where the request waits for its turn."""
        is_first = request is self._pipeline[0]
        request.start = batch
        if not is_first and not self._may_overtake(batch.start):
            return False
        request.start = None
        self._idle_since = None
        request.begin(self._build_exchange(request), batch)
        return True
