"""Tells of what a caller sends behind the last response of its connection.

Such bytes are dropped: the response has announced the end of the connection,
so the caller has to send them again on another one.
"""

from logging import getLogger

from bilberry_core.metric import Metrics

_log = getLogger(__name__)


class DroppedInput:
    """The dropped bytes of one connection, of which the first are told."""

    def __init__(self, metrics: Metrics) -> None:
        """Counts the connection in `metrics` if it drops bytes."""
        self.request_id = ''
        self._metrics = metrics
        self._is_reported = False

    def record(self, size: int) -> None:
        """Logs and counts the connection with its first dropped bytes.

        `request_id` is that of the last response.
        """
        if self._is_reported or not size:
            return
        self._is_reported = True
        self._metrics.incr('caller.bytes_dropped')
        _log.info(
            'caller_bytes_dropped',
            extra={'request': self.request_id, 'dropped_bytes': size},
        )
