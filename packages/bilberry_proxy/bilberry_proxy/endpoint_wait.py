"""Makes a request wait for the first endpoints of its service."""

from collections.abc import Callable

from bilberry_core.snapshot import Snapshot

from bilberry_proxy.context import ProxyContext
from bilberry_proxy.timers import Timer


class EndpointWait:
    """The wait of one request for a snapshot with endpoints."""

    def __init__(
        self,
        context: ProxyContext,
        on_snapshot: Callable[[Snapshot], None],
        on_timeout: Callable[[], None],
    ) -> None:
        """Starts without waiting.

        `on_snapshot` is called with each new snapshot until `stop`, and
        `on_timeout` when the service's waiting time is over.
        """
        self._context = context
        self._on_snapshot = on_snapshot
        self._on_timeout = on_timeout
        self._timer: Timer | None = None
        self._unwatch: Callable[[], None] | None = None

    def start(self, service: str) -> bool:
        """Starts waiting; False if the service's waiting time is over.

        The request may have been planned with an older snapshot, so the newest
        one is passed on at once.
        """
        context = self._context
        until = context.interest.get_wait_deadline(service)
        if until <= context.clock.now():
            return False
        self._timer = context.timers.schedule(until, self._expire)
        self._unwatch = context.board.snapshot.watch(self._on_snapshot)
        self._on_snapshot(context.board.snapshot.value)
        return True

    def stop(self) -> None:
        """Stops waiting."""
        if self._unwatch is not None:
            self._unwatch()
            self._unwatch = None
            self._timer.cancel()

    def _expire(self) -> None:
        self.stop()
        self._on_timeout()
