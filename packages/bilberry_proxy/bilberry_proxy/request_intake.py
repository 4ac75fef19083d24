"""Reads the requests of one caller's connection and begins them.

Requests are begun in the order in which they arrive, a few in each turn of the
event loop. What arrives beyond a limit is left in the socket.
"""

from collections.abc import Callable

from bilberry_core.metric import Metrics
from h11 import RemoteProtocolError, Request

from bilberry_proxy.dropped_input import DroppedInput
from bilberry_proxy.exchange import Exchange
from bilberry_proxy.http_events import EventBatch
from bilberry_proxy.message_limits import report_limit
from bilberry_proxy.pipelined_request import PipelinedRequest
from bilberry_proxy.reading_pace import ReadingPace
from bilberry_proxy.request_pipeline import RequestPipeline

#: Bytes of further pipelined requests that are buffered before reading pauses.
MAX_READ_AHEAD_BYTES = 64 << 10
#: Requests of one connection that are processed concurrently.
MAX_PIPELINED_REQUESTS = 8
#: Requests, or steps of one, that are read before others have their turn.
STEP_REQUESTS = 16
_PEER = 'caller'


class RequestIntake:
    """The reading side of one connection of a caller."""

    def __init__(
        self,
        pipeline: RequestPipeline,
        build_exchange: Callable[[PipelinedRequest], Exchange],
        may_overtake: Callable[[Request], bool],
        on_begin: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """Adds the requests to `pipeline`; calls `on_begin` for each.

        `may_overtake` returns whether a request may start before the earlier
        requests are answered.
        """
        self.dropped = DroppedInput(metrics)
        self.pace = ReadingPace(self.read)
        self._pipeline = pipeline
        self._build_exchange = build_exchange
        self._may_overtake = may_overtake
        self._on_begin = on_begin
        self._metrics = metrics
        self._is_reading = False
        self._may_read_body = True

    def receive(self, received: bytes) -> None:
        """Adds received bytes, unless no request can follow."""
        if not self._pipeline or self._pipeline[-1].is_refused:
            self.dropped.record(len(received))
            return
        self._pipeline[-1].reader.receive(received)
        self.read()

    def set_reading(self, enabled: bool) -> None:
        """Resumes or pauses reading the body of the newest request."""
        self._may_read_body = enabled
        self._update_pace()

    def add(self, received: bytes) -> None:
        """Expects a request that starts with the bytes `received`."""
        self._may_read_body = True
        self._pipeline.add(received)

    def read(self) -> None:
        """Begins what can be begun of what was received."""
        if self._is_reading or not self._pipeline:
            return
        self._is_reading = True
        try:
            self._read_step()
        except RemoteProtocolError as error:
            report_limit(error, _PEER, self._metrics)
            self._pipeline[-1].refuse(error)
        finally:
            self._is_reading = False
        self._update_pace()

    def _read_step(self) -> None:
        for _ in range(STEP_REQUESTS):
            if not self._pipeline:
                return
            if not self._read_request(self._pipeline[-1]):
                return
        self.pace.continue_soon()

    def _read_request(self, request: PipelinedRequest) -> bool:
        """Reads the newest request; returns whether more may be buffered."""
        if request.is_refused:
            return False
        if request.start is not None:
            return self._begin(request, request.start)
        if request.is_read:
            return self._read_ahead(request)
        batch = request.read()
        if batch.start is None:
            request.feed(batch)
            may_go_on = request.is_read
        else:
            may_go_on = self._begin(request, batch)
        if request.reader.has_more:
            self.pace.continue_soon()
            return False
        return may_go_on

    def _read_ahead(self, request: PipelinedRequest) -> bool:
        if request.is_callers_last or not request.reader.unread_size:
            return False
        if len(self._pipeline) >= MAX_PIPELINED_REQUESTS:
            return False
        self.add(request.reader.unread)
        return True

    def _begin(self, request: PipelinedRequest, batch: EventBatch) -> bool:
        """Starts an exchange; False if the request has to wait."""
        request.start = batch
        if self._pipeline.must_wait(request, self._may_overtake):
            return False
        request.start = None
        self._on_begin()
        request.begin(self._build_exchange(request), batch)
        return True

    def _update_pace(self) -> None:
        if not self._pipeline:
            return
        newest = self._pipeline[-1]
        has_room = newest.reader.unread_size <= MAX_READ_AHEAD_BYTES
        if not newest.is_read and not self._may_read_body:
            has_room = False
        self.pace.set_room(has_room)
