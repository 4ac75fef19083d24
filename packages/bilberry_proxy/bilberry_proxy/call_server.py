"""Serves the calls that other daemons open on their streams."""

from collections.abc import Callable
from time import monotonic
from typing import Self

from bilberry_core.handshake import Purpose
from bilberry_core.listener import StreamListener
from bilberry_core.messages.call import GoAway
from bilberry_core.metric import Metrics, NullMetrics
from bilberry_core.stream import Stream

from bilberry_proxy.allowance_detour import AllowanceDetour
from bilberry_proxy.call import CallTarget
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.link_admission import LinkAdmission
from bilberry_proxy.reply_drop import DropCause, LeftBytes, ReplyDropLog
from bilberry_proxy.reply_queue import ReplyQueues
from bilberry_proxy.served_stream import ServedStream


class CallServer:
    """The server of all streams for calls from other daemons."""

    def __init__(
        self,
        target: CallTarget,
        now: Callable[[], float] = monotonic,
        drops: ReplyDropLog = ReplyDropLog(),
        metrics: Metrics = NullMetrics(),
    ) -> None:
        """Forwards every received call to `target`.

        `now` returns monotonic time, in seconds. `drops` gets the long
        responses that are not sent whole. What other daemons say of
        quotas goes to `detour`, if there is one.
        """
        self._target = target
        self._replies = ReplyQueues(now, drops)
        self._link = LinkAdmission(self._replies, metrics)
        self._streams: set[ServedStream] = set()
        self._is_leaving = False
        self.detour: AllowanceDetour | None = None

    @classmethod
    def from_context(cls, context: ProxyContext, target: CallTarget) -> Self:
        """Builds the server of one proxy."""
        drops = ReplyDropLog(context.metrics, context.dialect)
        return cls(target, context.clock.now, drops, context.metrics)

    @property
    def open_calls(self) -> int:
        """Number of open calls from other daemons."""
        return sum(served.open_calls for served in self._streams)

    @property
    def unsent_responses(self) -> int:
        """Number of long responses with an unsent part."""
        return sum(len(served.replies) for served in self._streams)

    @property
    def left_bytes(self) -> LeftBytes:
        """The bytes of long responses that other daemons have not got."""
        parts = [served.replies.left for served in self._streams]
        return LeftBytes(
            sum(left.unsent for left in parts),
            sum(left.on_way for left in parts),
        )

    @property
    def window_bytes(self) -> float:
        """The bytes of long responses that may be on their way."""
        return self._replies.window.size

    @property
    def open_streams(self) -> int:
        """Number of open streams from other daemons."""
        return len(self._streams)

    def listen(self, listener: StreamListener) -> None:
        """Accepts the streams for calls from now on."""
        listener.handle(Purpose.CALL, self.accept)

    def accept(self, stream: Stream) -> None:
        """Serves a stream until it ends."""
        served = ServedStream(stream, self._target, self._replies, self._link)
        self._streams.add(served)
        detour = self.detour
        if detour is not None:
            served.add_detour(detour)

        def end() -> None:
            self._streams.discard(served)
            served.end()
            if detour is not None:
                detour.drop(served)

        stream.receiver = served.handlers.receive
        stream.on_close = end
        if self._is_leaving:
            served.send(GoAway())

    def advance(self) -> None:
        """Sends and admits what the time and the link allow now."""
        self._replies.advance()
        self._link.advance()

    def update_gauges(self, metrics: Metrics) -> None:
        """Sets the gauges of long responses and of the link."""
        left = self.left_bytes
        metrics.gauge('response.unsent', self.unsent_responses)
        metrics.gauge('response.window', self.window_bytes)
        metrics.gauge('response.unsent_bytes', left.unsent)
        metrics.gauge('response.on_way_bytes', left.on_way)
        metrics.gauge('link.rate', self._replies.rate or 0)
        metrics.gauge('link.promised', self._link.promised)
        metrics.gauge('link.waiting', len(self._link))

    def report_stop(self) -> None:
        """Tells of the responses that are cut because the proxy ends."""
        for served in self._streams:
            served.replies.report_drops(DropCause.STOP)

    def send_go_away(self) -> None:
        """Notifies every other daemon that no new call is accepted.

        Each of them closes its stream once its calls have ended.
        """
        self._is_leaving = True
        self._link.stop()
        for served in tuple(self._streams):
            served.send(GoAway())
