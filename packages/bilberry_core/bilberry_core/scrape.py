"""Serves the metrics of this process as text for a Prometheus scraper.

Names of one family share a metric: `request.failed.deadline` is counted by
`bilberry_request_failed` with the value `deadline` of the label `kind`. The
library prometheus_client keeps and renders counters, gauges and histograms.
"""

from collections.abc import Callable
from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Address
from bilberry_core.http import HttpRequest, HttpResponse
from bilberry_core.http_controller import HttpController
from bilberry_core.metric import Metrics

#: Upper bounds of the buckets of durations, in seconds.
BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
_FAMILY_PARTS = 2
_PREFIX = 'bilberry'
_CONTENT_TYPE = (b'content-type', b'text/plain; version=0.0.4; charset=utf-8')


class ScrapedMetrics:
    """Metrics that are kept for a scraper and forwarded."""

    def __init__(self, forward: Metrics) -> None:
        """Also records every metric in `forward`."""
        self._forward = forward
        self._registry = CollectorRegistry()
        self._families: dict[str, Any] = {}
        self._series: dict[str, Any] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Adds to a counter."""
        self._forward.incr(stat, count)
        self._get_metric(Counter, stat).inc(count)

    def gauge(self, stat: str, value: float) -> None:
        """Sets a gauge."""
        self._forward.gauge(stat, value)
        self._get_metric(Gauge, stat).set(value)

    def timing(self, stat: str, delta: float) -> None:
        """Records a duration, in milliseconds."""
        self._forward.timing(stat, delta)
        self._get_metric(Histogram, stat, buckets=BUCKETS_S).observe(
            delta / MS_PER_S,
        )

    def render(self) -> bytes:
        """Returns every metric as text."""
        return generate_latest(self._registry)

    def _get_metric(self, kind: type, stat: str, **options: Any) -> Any:
        series = self._series.get(stat)
        if series is None:
            series = self._add_series(kind, stat, **options)
            self._series[stat] = series
        return series

    def _add_series(self, kind: type, stat: str, **options: Any) -> Any:
        parts = stat.split('.', _FAMILY_PARTS)
        family = '_'.join((_PREFIX, *parts[:_FAMILY_PARTS]))
        metric = self._families.get(family)
        if metric is None:
            metric = kind(
                family,
                f'{parts[0]}: {parts[-1]}',
                ('kind',),
                registry=self._registry,
                **options,
            )
            self._families[family] = metric
        label = parts[_FAMILY_PARTS] if len(parts) > _FAMILY_PARTS else ''
        return metric.labels(label)


class MetricsController(HttpController):
    """A controller that serves the metrics of this process over HTTP."""

    def __init__(
        self,
        metrics: ScrapedMetrics,
        address: Address,
        refresh: Callable[[], None] = lambda: None,
    ) -> None:
        """Calls `refresh` before each response."""
        super().__init__(address, self.handle)
        self._refresh = refresh
        self._metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Returns all metrics; only GET is allowed."""
        if request.method != 'GET':
            return HttpResponse(405, ((b'allow', b'GET'),))
        self._refresh()
        return HttpResponse(200, (_CONTENT_TYPE,), self._metrics.render())
