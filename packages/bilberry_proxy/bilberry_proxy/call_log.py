"""The log line of a call that the daemon beside an upstream has failed."""

from logging import getLogger
from typing import Protocol

from bilberry_core.messages.call import CallStart, Load
from bilberry_core.metric import Metrics
from bilberry_core.verdict import Failure

from bilberry_proxy.dialect import HttpDialect
from bilberry_proxy.http_headers import find_header

_log = getLogger(__name__)


class UpstreamInfo(Protocol):
    """Which upstream the call was for."""

    dialect: HttpDialect
    metrics: Metrics

    @property
    def upstream_id(self) -> str:
        """The identity of the upstream, empty where it tells none."""


def log_failure(
    start: CallStart,
    failure: Failure,
    load: Load,
    upstream: UpstreamInfo,
) -> None:
    """Writes the line, with the load at that moment, and counts it."""
    upstream.metrics.incr(f'call.failed.{failure.code.value}')
    request = find_header(start.headers, upstream.dialect.request_id)
    _log.info(
        'call_failed',
        extra={
            'request': request.decode('latin-1'),
            'service': start.service,
            'upstream': upstream.upstream_id,
            'code': failure.code.value,
            'verdict': failure.verdict.value,
            'detail': failure.detail,
            'max_wait_ms': start.max_wait_ms,
            'outstanding': load.outstanding,
            'queued': load.queued,
            'slots': load.slots,
        },
    )
