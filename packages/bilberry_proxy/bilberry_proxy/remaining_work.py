"""What a stopping proxy has in progress, apart by who waits for it."""

from logging import getLogger
from typing import NamedTuple

from bilberry_proxy.admitter import Admitter
from bilberry_proxy.call_server import CallServer
from bilberry_proxy.caller_server import CallerServer
from bilberry_proxy.context import ProxyContext

_log = getLogger(__name__)


class RemainingWork(NamedTuple):
    """Work that a stop waits for; its fields are those of the log lines.

    `requests`
        Requests of callers without a complete response.
    `claims`
        Claims that are made, settled or released.
    `unread`, `unread_bytes`
        Connections on which a response is still sent, and the bytes of it
        that wait here.
    `running`
        Calls at the upstream beside this proxy, of callers and of daemons.
    `calls`
        Calls of other daemons that are open, or not completely answered.
    `unsent`, `unsent_bytes`
        Long responses to other daemons with an unsent part, and its bytes.
    `on_way_bytes`
        Bytes of long responses that are sent and not acknowledged.
    """

    requests: int
    claims: int
    unread: int
    unread_bytes: int
    running: int
    calls: int
    unsent: int
    unsent_bytes: int
    on_way_bytes: int

    @property
    def total(self) -> int:
        """The number of requests, responses, claims and calls."""
        own = self.requests + self.claims + self.unread
        return own + self.running + self.calls


class WorkMeter:
    """Measures what a proxy has in progress, and logs it at a stop."""

    def __init__(
        self,
        context: ProxyContext,
        admitter: Admitter,
        calls: CallServer,
        callers: CallerServer,
    ) -> None:
        """Measures the requests, calls and connections of one proxy."""
        self._context = context
        self._admitter = admitter
        self._calls = calls
        self._callers = callers

    def measure(self) -> RemainingWork:
        """Returns what is in progress now."""
        left = self._calls.left_bytes
        return RemainingWork(
            requests=len(self._context.running),
            claims=len(self._context.tasks),
            unread=self._callers.unsent,
            unread_bytes=self._callers.unread_bytes,
            running=self._admitter.measure_load().outstanding,
            calls=self._calls.open_calls,
            unsent=self._calls.unsent_responses,
            unsent_bytes=left.unsent,
            on_way_bytes=left.on_way,
        )

    def log_begin(self) -> None:
        """Logs what a stop begins with."""
        _log.info('proxy_draining', extra=self.measure()._asdict())

    def log_end(self, left: RemainingWork) -> None:
        """Logs what was left when a stop gave up waiting."""
        _log.info(
            'proxy_drained',
            extra={'left': left.total, **left._asdict()},
        )
