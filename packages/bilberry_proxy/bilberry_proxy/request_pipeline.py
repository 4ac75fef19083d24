"""The requests of one connection, in the order of their responses.

A connection closes only behind the last request that was begun on it, as long
as every response is whole: a caller can't tell what became of a request behind
a response that ends the connection.
"""

from collections import deque
from collections.abc import Callable

from h11 import Request

from bilberry_proxy.exchange import Exchange
from bilberry_proxy.pipelined_request import PipelinedRequest, PipelineOwner
from bilberry_proxy.response_track import CutCause
from bilberry_proxy.send_buffer import MAX_HELD_BYTES


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
        started: it would be cancelled with the connection. The same holds for
        a response that may break off: one that is partly sent, or will be too
        long to be held back until it is whole.
        """
        if request is self[0]:
            return False
        if any(_may_end_connection(earlier) for earlier in self):
            return True
        return not may_overtake(request.start.start)

    def has_begun_behind(self, request: PipelinedRequest) -> bool:
        """Returns whether a later request was begun."""
        return any(
            later.is_begun for later in self if later.number > request.number
        )

    def add(self, received: bytes) -> None:
        """Adds a request that starts with the bytes `received`."""
        number = self[-1].number + 1 if self else 0
        request = PipelinedRequest(self._owner, received, number)
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


def _may_end_connection(request: PipelinedRequest) -> bool:
    """Returns whether a response ends the connection, or may break off."""
    if request.announces_close:
        return True
    exchange = request.exchange
    if exchange is None:
        return False
    return request.output.has_passed or exchange.usual_bytes > MAX_HELD_BYTES
