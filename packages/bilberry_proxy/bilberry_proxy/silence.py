"""Leaves an endpoint that has fallen silent, while there is time for another.

Silence towards this proxy is no proof: the upstream may be busy with others.
So the daemon beside it is asked, and the attempt goes on only where that one
answers that the upstream does.
"""

from collections.abc import Callable

from bilberry_proxy.attempt import Attempt
from bilberry_proxy.timers import Timer, TimerWheel

#: Share of its time after which an idempotent request may leave an endpoint.
ATTEMPT_SHARE = 0.5
#: Silence of an endpoint with calls under way that speaks against it, seconds.
SILENT_S = 0.4
#: Time for which a daemon is waited for after a probe, in seconds.
PROBE_S = 0.15


class SilenceWatch:
    """Watches one attempt."""

    def __init__(
        self,
        attempt: Attempt,
        timers: TimerWheel,
        now: Callable[[], float],
        on_silent: Callable[[Attempt], None],
    ) -> None:
        """Calls `on_silent` where the endpoint stays silent.

        `now` returns monotonic time, in seconds.
        """
        self._attempt = attempt
        self._timers = timers
        self._now = now
        self._on_silent = on_silent
        self._silence_s = SILENT_S
        self._timer: Timer | None = None

    def start(self, whole_s: float, left_s: float) -> None:
        """Watches a request with `left_s` seconds left of `whole_s`."""
        self._silence_s = min(SILENT_S, whole_s * ATTEMPT_SHARE)
        wait_s = max(left_s * ATTEMPT_SHARE, self._silence_s)
        self._schedule(wait_s, self._probe)

    def stop(self) -> None:
        """Watches no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, wait_s: float, callback: Callable[[], None]) -> None:
        self._timer = self._timers.schedule(self._now() + wait_s, callback)

    def _probe(self) -> None:
        if self._is_settled():
            return
        self._attempt.probe(self._silence_s)
        self._schedule(min(PROBE_S, self._silence_s / 2), self._check_probe)

    def _check_probe(self) -> None:
        if not self._is_settled():
            self._on_silent(self._attempt)

    def _is_settled(self) -> bool:
        attempt = self._attempt
        if attempt.ended or attempt.answer_started:
            return True
        return attempt.is_endpoint_alive(self._now() - self._silence_s)
