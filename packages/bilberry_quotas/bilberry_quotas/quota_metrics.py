"""Counts what the granter was asked for, granted and refused."""

from bilberry_core.metric import Metrics

from bilberry_quotas.granter import Granter, Totals

#: Most organisations that have metrics of their own, in order of their names.
MAX_ORGANISATIONS = 100


class QuotaMetrics:
    """The metrics of quotas of one replica."""

    def __init__(self, metrics: Metrics) -> None:
        """Starts without counts."""
        self._metrics = metrics
        self._counted: dict[str, Totals] = {}

    def update(self, granter: Granter) -> None:
        """Adds what has happened since the last call."""
        self._metrics.gauge('quota.fraction', granter.fraction)
        self._metrics.gauge('quota.daemons', granter.daemons)
        totals = dict(granter.totals)
        for name in sorted(totals)[:MAX_ORGANISATIONS]:
            self._add(name, totals[name])
        self._counted = totals

    def _add(self, name: str, totals: Totals) -> None:
        before = self._counted.get(name, Totals())
        if totals == before:
            return
        changes = zip(Totals._fields, totals, before, strict=True)
        for kind, count, counted in changes:
            # A new granter counts from 0 again.
            grown = count - counted if count >= counted else count
            if grown:
                self._metrics.incr(f'quota.{kind}.{name}', grown)
