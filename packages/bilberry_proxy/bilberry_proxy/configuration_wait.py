"""Makes a request wait for the first configuration after a start.

This handles a restart of many machines at once: callers come back before the
proxies have their configuration. Most of them have few tries left, and the
configuration arrives within part of a second.
"""

from collections.abc import Callable

from bilberry_core.clock import MS_PER_S
from bilberry_core.snapshot import Snapshot

from bilberry_proxy.caller_request import CallerRequest
from bilberry_proxy.context import ProxyContext
from bilberry_proxy.timers import Timer

#: Longest wait of a request, as a share of its deadline.
MAX_DEADLINE_SHARE = 0.5


class ConfigurationWait:
    """The wait of one request for the configuration."""

    def __init__(
        self, context: ProxyContext, on_end: Callable[[], None]
    ) -> None:
        """Starts without waiting.

        `on_end` is called once, when the configuration is there or the time is
        over.
        """
        self._context = context
        self._on_end = on_end
        self._timer: Timer | None = None
        self._unwatch: Callable[[], None] | None = None

    def start(self, request: CallerRequest) -> bool:
        """Starts waiting; False if there is nothing to wait for."""
        context = self._context
        now = context.clock.now()
        until = context.starts_until
        if context.board.snapshot.value is not None or until <= now:
            return False
        if request.deadline_ms:
            longest_s = request.deadline_ms / MS_PER_S * MAX_DEADLINE_SHARE
            until = min(until, now + longest_s)
        context.metrics.incr('request.awaited_configuration')
        self._timer = context.timers.schedule(until, self._end)
        self._unwatch = context.board.snapshot.watch(self._on_snapshot)
        return True

    def stop(self) -> bool:
        """Ends the wait without a callback; False if there is none."""
        if self._unwatch is None:
            return False
        self._unwatch()
        self._unwatch = None
        self._timer.cancel()
        return True

    def _on_snapshot(self, _snapshot: Snapshot | None) -> None:
        self._end()

    def _end(self) -> None:
        if self.stop():
            self._on_end()
