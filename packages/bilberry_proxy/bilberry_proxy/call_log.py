"""Logs and counts calls that fail in the daemon beside the upstream."""

from logging import getLogger
from typing import Protocol

from bilberry_core.messages.call import CallStart, Load
from bilberry_core.metric import Metrics
from bilberry_core.verdict import Failure

from bilberry_proxy.dialect import HttpDialect
from bilberry_proxy.http_headers import find_header

_log = getLogger(__name__)


class UpstreamContext(Protocol):
    """The identity, header names and metrics of the upstream of a call."""

    dialect: HttpDialect
    metrics: Metrics

    @property
    def upstream_id(self) -> str:
        """The identity of the upstream, empty if it announced none."""


def log_failure(
    start: CallStart,
    failure: Failure,
    load: Load,
    upstream: UpstreamContext,
) -> None:
    """Logs a failed call with the current load, and counts it."""
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
