"""Keeps what is known of one open roll-out, on every replica.

Every replica receives every report, so a new leader has the evidence at hand.
One that starts anew has none, and judges from then on.
"""

from collections import deque

from bilberry_core.rollout import Rollout, RolloutReport

from bilberry_rollouts.judgement import Judgement

#: Time over which the rate of requests is measured, in seconds.
RATE_WINDOW_S = 2.0


class RolloutLedger:
    """The evidence of one roll-out, and the retired upstreams that are idle."""

    def __init__(self, rollout: Rollout, age_s: float, now: float) -> None:
        """Starts without evidence.

        `age_s` is the age of the order at monotonic time `now`, in seconds.
        """
        self.started_at = now - age_s
        self.changed_at = now
        self._number = rollout.number
        self.judgement = Judgement(rollout.version, now)
        self.requests = 0
        self._service = rollout.service
        self._idle: dict[str, int] = {}
        self._recent: deque[tuple[float, int]] = deque()

    def add(self, report: RolloutReport, now: float) -> None:
        """Adds what a report says of this service."""
        evidence = [
            seen for seen in report.evidence if seen.service == self._service
        ]
        self.judgement.add(evidence, now)
        answers = sum(seen.answers for seen in evidence)
        self.requests += answers
        self._recent.append((now, answers))
        for idle in report.idle:
            self._idle[idle.instance] = idle.number

    def follow(self, rollout: Rollout, now: float) -> None:
        """Notes when the roll-out made another step."""
        if rollout.number != self._number:
            self._number = rollout.number
            self.changed_at = now

    def is_idle(self, instance: str, number: int) -> bool:
        """Returns whether an upstream is idle since the step `number`."""
        return self._idle.get(instance) == number

    def measure_rate(self, now: float) -> float:
        """Returns the recent responses a second, of both versions."""
        while self._recent and self._recent[0][0] < now - RATE_WINDOW_S:
            self._recent.popleft()
        return sum(answers for _, answers in self._recent) / RATE_WINDOW_S
