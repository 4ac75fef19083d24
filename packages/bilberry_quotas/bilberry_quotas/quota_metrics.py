"""Counts what the granter granted, took back and refused."""

from bilberry_core.metric import Metrics
from bilberry_core.quota import QuotaStatus, QuotaUse

#: Most organisations that have metrics of their own, in order of their names.
MAX_ORGANISATIONS = 100
_COUNTED = ('granted', 'returned', 'refused')


class QuotaMetrics:
    """The metrics of quotas of one replica."""

    def __init__(self, metrics: Metrics) -> None:
        """Starts without counts."""
        self._metrics = metrics
        self._term = 0
        self._counted: dict[str, QuotaUse] = {}

    def update(self, status: QuotaStatus) -> None:
        """Adds what has happened since the last call."""
        self._metrics.gauge('quota.fraction', status.fraction)
        self._metrics.gauge('quota.daemons', status.daemons)
        if status.term != self._term:
            self._term = status.term
            self._counted = {}
        for use in sorted(status.uses)[:MAX_ORGANISATIONS]:
            self._add(use)

    def _add(self, use: QuotaUse) -> None:
        name = use.organisation
        before = self._counted.get(name, QuotaUse(name))
        self._counted[name] = use
        for kind in _COUNTED:
            grown = getattr(use, kind) - getattr(before, kind)
            if grown > 0:
                self._metrics.incr(f'quota.{kind}.{name}', grown)
