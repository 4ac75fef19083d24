"""Follows how far a response gets, and tells if it is cut or late.

A caller that gets a part of a response, or gets it after the deadline, sees a
failure that the outcome of the request doesn't show: where the missing bytes
were, and how long they had been on their way.
"""

from collections.abc import Callable
from enum import StrEnum
from logging import getLogger
from time import monotonic
from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.metric import Metrics, NullMetrics
from bilberry_core.verdict import Failure, FailureCode

from bilberry_proxy.http_headers import Headers
from bilberry_proxy.response_size import parse_length

_log = getLogger(__name__)


class CutCause(StrEnum):
    """Why a caller does not get the whole of a response."""

    STOP = 'proxy_stop'
    CALLER = 'caller_gone'
    UPSTREAM = 'broken_off'
    DEADLINE = 'deadline'
    #: Another response ended the connection that both are on.
    CONNECTION = 'connection'


_CAUSES = {
    FailureCode.DEADLINE: CutCause.DEADLINE,
    FailureCode.CANCELLED: CutCause.CALLER,
}


class WaitingBytes(NamedTuple):
    """Bytes of a response that have arrived here and wait.

    `unread` bytes wait in the send buffer until the caller reads, and
    `pending` bytes until earlier responses of the connection are complete.
    Both count the head of the response.
    """

    unread: int = 0
    pending: int = 0


class ResponseTrack:
    """How much of one response has arrived at the proxy of its caller."""

    __slots__ = (
        'request_id',
        'started_at',
        '_first_byte_at',
        '_headers',
        '_is_reported',
        '_is_whole',
        '_metrics',
        '_now',
        '_received',
    )

    def __init__(
        self,
        metrics: Metrics = NullMetrics(),
        now: Callable[[], float] = monotonic,
    ) -> None:
        """Starts without a response; `now` is monotonic, in seconds."""
        self.request_id = ''
        self.started_at: float = 0
        self._first_byte_at: float = 0
        self._headers: Headers = ()
        self._is_reported = False
        self._is_whole = False
        self._metrics = metrics
        self._now = now
        self._received = 0

    def begin(self, headers: Headers, size: int, is_whole: bool) -> None:
        """Records the head and the first `size` bytes of the body."""
        self._headers = headers
        self._first_byte_at = self._now()
        self._received = size
        self._is_whole = is_whole

    def add(self, size: int, is_whole: bool) -> None:
        """Records more of the body."""
        self._received += size
        self._is_whole = is_whole

    def report_cut(
        self,
        cause: CutCause,
        waiting: WaitingBytes,
        failure: Failure | None = None,
    ) -> None:
        """Logs and counts a response that is cut, once."""
        if self._is_reported:
            return
        self._is_reported = True
        self._metrics.incr(f'response.cut.{cause.value}')
        missing = self._measure_missing()
        now = self._now()
        fields = {
            'request': self.request_id,
            'cause': cause.value,
            'passed_bytes': max(self._received - waiting.pending, 0),
            'left_bytes': (missing or 0) + waiting.unread + waiting.pending,
            'missing_bytes': missing,
            'unread_bytes': waiting.unread,
            'pending_bytes': waiting.pending,
            'age_ms': _to_ms(now - self.started_at),
            'answering_ms': _to_ms(now - self._first_byte_at),
        }
        if failure is not None:
            fields['code'] = failure.code.value
            fields['verdict'] = failure.verdict.value
        _log.warning('response_cut', extra=fields)

    def report_late(self, deadline: float, now: float) -> None:
        """Logs and counts a response that ends after its deadline.

        Both are monotonic time, in seconds.
        """
        self._metrics.incr('response.late')
        _log.info(
            'response_late',
            extra={
                'request': self.request_id,
                'late_ms': _to_ms(now - deadline),
                'passed_bytes': self._received,
                'age_ms': _to_ms(now - self.started_at),
                'answering_ms': _to_ms(now - self._first_byte_at),
            },
        )

    def _measure_missing(self) -> int | None:
        """Returns the bytes of the body that have not arrived, if known."""
        if self._is_whole:
            return 0
        length = parse_length(self._headers)
        return None if length is None else max(length - self._received, 0)


def find_cause(failure: Failure) -> CutCause:
    """Returns why a response is cut that fails after its begin."""
    return _CAUSES.get(failure.code, CutCause.UPSTREAM)


def _to_ms(seconds: float) -> float:
    return round(seconds * MS_PER_S, 3)
