"""Limits what a peer can send in place of an HTTP message.

This handles faulty peers that send bytes without end. A head is short, a
message ends, and its framing is small beside its body; whatever else arrives is
refused before it has cost much, and is never kept.
"""

from enum import StrEnum
from logging import getLogger

from bilberry_core.http_limits import (
    MAX_HEADER_LINES,
    MAX_INTERIM_RESPONSES,
    get_max_chunks,
)
from bilberry_core.metric import Metrics
from h11 import (
    Data,
    EndOfMessage,
    Event,
    InformationalResponse,
    ProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)

_log = getLogger(__name__)

#: Bytes of a message beside its body, and beside as many as its body has.
MAX_FRAMING_BYTES = 64 << 10
#: Bytes of discarded responses to earlier requests before one response.
MAX_STRAY_BYTES = 256 << 10
#: Discarded responses to earlier requests before one response.
MAX_STRAY_RESPONSES = 16


class MessageLimit(StrEnum):
    """What a peer has sent too much of."""

    INTERIM_RESPONSES = 'interim_responses'
    HEADER_LINES = 'header_lines'
    FRAMING_BYTES = 'framing_bytes'
    CHUNKS = 'chunks'
    STRAY_BYTES = 'stray_bytes'
    STRAY_RESPONSES = 'stray_responses'


class MessageLimitError(RemoteProtocolError):
    """A peer sent more than a message may have."""

    def __init__(self, limit: MessageLimit, maximum: int) -> None:
        """Creates the error of a limit, whose `maximum` was exceeded."""
        super().__init__(f'more than {maximum} {limit.value}')
        self.limit = limit
        self.maximum = maximum


def report_limit(
    error: ProtocolError,
    peer: str,
    metrics: Metrics,
    request_id: str = '',
) -> None:
    """Logs and counts a violation, if it is one of a limit."""
    if not isinstance(error, MessageLimitError):
        return
    metrics.incr(f'{peer}.limit.{error.limit.value}')
    _log.warning(
        'message_limit_exceeded',
        extra={
            'peer': peer,
            'limit': error.limit.value,
            'maximum': error.maximum,
            'request': request_id,
        },
    )


class MessageSize:
    """What was received of one message so far."""

    def __init__(self) -> None:
        """Starts before the first byte."""
        self._received = 0
        self._body = 0
        self._chunks = 0
        self._interim = 0

    def add_received(self, size: int) -> None:
        """Counts received bytes; raises `MessageLimitError` at a limit."""
        self._received += size
        framing = self._received - self._body
        if framing > MAX_FRAMING_BYTES + self._body:
            raise MessageLimitError(
                MessageLimit.FRAMING_BYTES, MAX_FRAMING_BYTES
            )

    def add_event(self, event: Event) -> None:
        """Counts a parsed event; raises `MessageLimitError` at a limit."""
        if isinstance(event, Data):
            self._add_body(event)
            return
        if isinstance(event, InformationalResponse):
            self._interim += 1
            _check(
                MessageLimit.INTERIM_RESPONSES,
                self._interim,
                MAX_INTERIM_RESPONSES,
            )
        if isinstance(
            event, InformationalResponse | Request | Response | EndOfMessage
        ):
            lines = len(event.headers)
            _check(MessageLimit.HEADER_LINES, lines, MAX_HEADER_LINES)

    def _add_body(self, event: Data) -> None:
        self._body += len(event.data)
        if event.chunk_start:
            self._chunks += 1
            maximum = get_max_chunks(self._body)
            _check(MessageLimit.CHUNKS, self._chunks, maximum)


class StraySize:
    """The discarded responses before the response to one request."""

    def __init__(self) -> None:
        """Starts without any."""
        self._responses = 0
        self._body = 0

    def add(self, body: int, last: bool) -> None:
        """Counts a part of one; raises `MessageLimitError` at a limit.

        `last` is set at the end of a response.
        """
        self._body += body
        self._responses += int(last)
        _check(MessageLimit.STRAY_BYTES, self._body, MAX_STRAY_BYTES)
        _check(
            MessageLimit.STRAY_RESPONSES,
            self._responses,
            MAX_STRAY_RESPONSES,
        )


def _check(limit: MessageLimit, count: int, maximum: int) -> None:
    if count > maximum:
        raise MessageLimitError(limit, maximum)
