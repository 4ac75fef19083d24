"""Detects an unresponsive endpoint while there is time to try another.

A missing response alone does not prove that an upstream is unresponsive: it
may be busy with calls of other proxies. So the daemon beside it is probed, and
the attempt continues only if that daemon reports that the upstream responds.
"""

from collections.abc import Callable

from bilberry_proxy.attempt import Attempt
from bilberry_proxy.timers import Timer, TimerWheel

#: Share of its time after which an idempotent request may abandon an endpoint.
ATTEMPT_SHARE = 0.5
#: Shortest time without any response after which an endpoint with outstanding
#: calls counts as silent, in seconds.
SILENT_S = 0.4
#: Multiple of its mean service time for which an upstream may be busy without
#: counting as silent.
SILENT_FACTOR = 3
#: Longest wait for a daemon's answer to a probe, in seconds.
PROBE_S = 0.15


class SilenceWatch:
    """A check that the endpoint of one attempt still responds."""

    def __init__(
        self,
        attempt: Attempt,
        timers: TimerWheel,
        now: Callable[[], float],
        on_silent: Callable[[Attempt], None],
    ) -> None:
        """Calls `on_silent` if the endpoint does not respond.

        `now` returns monotonic time, in seconds.
        """
        self._attempt = attempt
        self._timers = timers
        self._now = now
        self._on_silent = on_silent
        self._silence_s = SILENT_S
        self._timer: Timer | None = None

    def start(
        self,
        total_s: float,
        remaining_s: float,
        service_s: float = 0,
    ) -> None:
        """Starts the watch; all times are in seconds.

        `total_s` is the time of the request from its start to its deadline,
        `remaining_s` the rest of it at the start of the attempt, `service_s`
        the mean service time of the endpoint, 0 if it is unknown.
        """
        silence_s = max(SILENT_S, service_s * SILENT_FACTOR)
        self._silence_s = min(silence_s, total_s * ATTEMPT_SHARE)
        wait_s = max(remaining_s * ATTEMPT_SHARE, self._silence_s)
        self._schedule(wait_s, self._probe)

    def stop(self) -> None:
        """Stops the watch."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, wait_s: float, callback: Callable[[], None]) -> None:
        self._timer = self._timers.schedule(self._now() + wait_s, callback)

    def _probe(self) -> None:
        if self._is_watch_over():
            return
        self._attempt.probe(self._silence_s)
        self._schedule(min(PROBE_S, self._silence_s / 2), self._check_probe)

    def _check_probe(self) -> None:
        if not self._is_watch_over():
            self._on_silent(self._attempt)

    def _is_watch_over(self) -> bool:
        attempt = self._attempt
        if attempt.ended or attempt.answer_started:
            return True
        return attempt.is_endpoint_alive(self._now() - self._silence_s)
