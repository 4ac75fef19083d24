"""Sums up the reports of proxies on open roll-outs, so that relays send one.

Reports are increments, so their sum is a report too, and the size of what a
relay sends grows with the upstreams of the service, not with its proxies.
"""

from collections import Counter

from bilberry_core.rollout import IdleUpstream, RolloutReport, RouteEvidence

#: Service, route, version and instance of responses.
_Key = tuple[str, str, str, str]


class RolloutReports:
    """The sum of the reports since the last one that was sent."""

    def __init__(self) -> None:
        self._answers: Counter[_Key] = Counter()
        self._bad: Counter[_Key] = Counter()
        self._idle: set[IdleUpstream] = set()

    def add(self, report: RolloutReport) -> None:
        """Adds a report."""
        for evidence in report.evidence:
            key = (*evidence[:3], evidence.upstream)
            self._answers[key] += evidence.answers
            self._bad[key] += evidence.bad
        self._idle.update(report.idle)

    def pop(self) -> RolloutReport | None:
        """Returns the sum and starts a new one; None if nothing was added."""
        if not self._answers and not self._idle:
            return None
        evidence = tuple(
            RouteEvidence(*key[:3], answers, self._bad[key], key[3])
            for key, answers in sorted(self._answers.items())
        )
        report = RolloutReport(evidence, tuple(sorted(self._idle)))
        self._answers.clear()
        self._bad.clear()
        self._idle.clear()
        return report
