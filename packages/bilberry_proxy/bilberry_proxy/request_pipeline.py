"""The requests of one connection, in the order of their responses."""

from collections import deque
from collections.abc import Callable

from h11 import Request

from bilberry_proxy.exchange import Exchange
from bilberry_proxy.pipelined_request import PipelinedRequest, PipelineOwner
from bilberry_proxy.response_track import CutCause


class RequestPipeline(deque[PipelinedRequest]):
    """The requests that were received and are not completely answered."""

    def __init__(self, owner: PipelineOwner) -> None:
        """Starts empty; `owner` is the connection."""
        super().__init__()
        self._owner = owner

    @property
    def exchanges(self) -> list[Exchange]:
        """The exchanges in progress."""
        exchanges = [request.exchange for request in self]
        return [exchange for exchange in exchanges if exchange is not None]

    def must_wait(
        self,
        request: PipelinedRequest,
        may_overtake: Callable[[Request], bool],
    ) -> bool:
        """Returns whether earlier requests keep one from its start.

        Behind a response that announces the end of the connection nothing is
        started: it would be cancelled with the connection.
        """
        if request is self[0]:
            return False
        if any(earlier.announces_close for earlier in self):
            return True
        return not may_overtake(request.start.start)

    def add(self, received: bytes) -> None:
        """Adds a request that starts with the bytes `received`."""
        request = PipelinedRequest(self._owner, received)
        if not self:
            request.become_first()
        self.append(request)

    def cancel(self, cause: CutCause) -> None:
        """Removes every request: the caller no longer waits."""
        for request in self:
            request.report_cut(cause)
        exchanges = self.exchanges
        self.clear()
        for exchange in exchanges:
            exchange.on_caller_disconnected()
