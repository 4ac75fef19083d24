"""Detects an unresponsive endpoint while there is time to try another.

A missing response alone does not prove that an upstream is unresponsive: it
may be busy with calls of other proxies. So the daemon beside it is probed, and
the attempt continues alone while that daemon reports that the upstream
responds; it is probed again each time half of what was left is over.
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
        self._probe_s = PROBE_S
        self._deadline: float = 0
        self._check_at: float = 0
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
        self._probe_s = min(PROBE_S, self._silence_s / 2)
        wait_s = max(remaining_s * ATTEMPT_SHARE, self._silence_s)
        now = self._now()
        self._deadline = now + remaining_s
        self._schedule(now + wait_s, self._probe)

    def stop(self) -> None:
        """Stops the watch."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, when: float, callback: Callable[[], None]) -> None:
        self._timer = self._timers.schedule(when, callback)

    def _probe(self) -> None:
        if not self._is_settled() and not self._is_alive():
            self._ask()

    def _ask(self) -> None:
        if self._is_settled():
            return
        now = self._now()
        self._attempt.probe(self._silence_s)
        self._check_at = now + self._probe_s
        self._schedule(now + self._probe_s / 2, self._ask_again)

    def _ask_again(self) -> None:
        """Probes again if the endpoint responded.

        A call that reached the upstream late has not been there for long enough
        at the first probe.
        """
        if self._is_settled():
            return
        is_alive = self._is_alive()
        if is_alive:
            self._attempt.probe(self._silence_s)
        if is_alive or self._now() < self._check_at:
            self._schedule(self._check_at, self._check_probe)
        else:
            self._check_probe()

    def _check_probe(self) -> None:
        if self._is_settled():
            return
        if not self._is_alive():
            self._on_silent(self._attempt)
            return
        now = self._now()
        left_s = self._deadline - now
        if left_s > self._probe_s:
            self._schedule(now + left_s * ATTEMPT_SHARE, self._ask)

    def _is_settled(self) -> bool:
        return self._attempt.ended or self._attempt.answer_started

    def _is_alive(self) -> bool:
        return self._attempt.is_endpoint_alive(self._now() - self._silence_s)
