"""Logs and counts long responses to other daemons that are not sent whole.

Such a response is sent in slices, which takes seconds on a slow link. What is
still unsent when it ends is dropped; without a line, only the proxy that
waited for it would tell of it.
"""

from collections.abc import Iterator
from enum import StrEnum
from logging import getLogger
from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.metric import Metrics, NullMetrics

from bilberry_proxy.dialect import OWN_DIALECT, HttpDialect
from bilberry_proxy.http_headers import Headers, find_header

_log = getLogger(__name__)


class DropCause(StrEnum):
    """Why the rest of a response is not sent."""

    STREAM_ENDED = 'stream_ended'
    CANCELLED = 'cancelled'
    FAILED = 'failed'
    STOP = 'proxy_stop'


class LeftBytes(NamedTuple):
    """What a daemon has not got of long responses.

    `unsent` bytes wait here, and `on_way` bytes are sent and unacknowledged.
    """

    unsent: int = 0
    on_way: int = 0


class ReplyDropLog:
    """The log of the dropped responses of all streams, and their counter."""

    def __init__(
        self,
        metrics: Metrics = NullMetrics(),
        dialect: HttpDialect = OWN_DIALECT,
    ) -> None:
        """Finds the ID of a request in the header that `dialect` names."""
        self._metrics = metrics
        self._dialect = dialect

    def write(
        self,
        request: Headers,
        cause: DropCause,
        left: LeftBytes,
        age_s: float,
    ) -> None:
        """Logs and counts a response that began `age_s` ago."""
        self._metrics.incr(f'response.dropped.{cause.value}')
        request_id = find_header(request, self._dialect.request_id)
        _log.info(
            'reply_dropped',
            extra={
                'request': request_id.decode('latin-1'),
                'cause': cause.value,
                'unsent_bytes': left.unsent,
                'on_way_bytes': left.on_way,
                'age_ms': round(age_s * MS_PER_S, 3),
            },
        )


class BegunReplies:
    """The responses of one stream that the other daemon has not got whole."""

    def __init__(self, log: ReplyDropLog) -> None:
        """Starts without responses; `log` is that of all streams."""
        self._log = log
        self._begun: dict[int, _BegunReply] = {}

    def __iter__(self) -> Iterator[int]:
        """Iterates over the calls."""
        return iter(tuple(self._begun))

    def begin(self, call: int, request: Headers, now: float) -> None:
        """Records a response that is not sent at once."""
        self._begun[call] = _BegunReply(request, now)

    def end(self, call: int) -> None:
        """Records that the last part of a response is sent."""
        reply = self._begun.get(call)
        if reply is not None:
            reply.is_sent = True

    def acknowledge(self, call: int, is_on_way: bool) -> None:
        """Forgets a response of which nothing is left, nor on its way."""
        reply = self._begun.get(call)
        if reply is not None and reply.is_sent and not is_on_way:
            self._begun.pop(call)

    def drop(
        self,
        call: int,
        cause: DropCause,
        left: LeftBytes,
        now: float,
    ) -> None:
        """Forgets a response, and logs it if a part of it is dropped."""
        reply = self._begun.pop(call, None)
        if reply is None:
            return
        is_lost = cause is DropCause.STREAM_ENDED and left.on_way
        if left.unsent or is_lost:
            self._log.write(reply.request, cause, left, now - reply.began_at)


class _BegunReply:
    """A response, the request that it is for, and when it began."""

    __slots__ = ('began_at', 'is_sent', 'request')

    def __init__(self, request: Headers, began_at: float) -> None:
        self.request = request
        self.began_at = began_at
        self.is_sent = False
