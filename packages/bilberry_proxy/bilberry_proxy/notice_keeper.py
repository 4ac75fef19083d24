"""Keeps the newest notice of the upstream beside this daemon."""

from logging import getLogger

from bilberry_core.board import Board
from bilberry_core.clock import Clock
from bilberry_core.metric import Metrics
from bilberry_core.upstream_notice import UpstreamIdentity, UpstreamNotice

from bilberry_proxy.dialect import HttpDialect
from bilberry_proxy.http_headers import Headers
from bilberry_proxy.notice_headers import (
    HeaderFault,
    NoticeHeaders,
    read_notice_headers,
)

_log = getLogger(__name__)

#: Time for which responses must name no limit until it has ended, in seconds.
UNNAMED_S = 0.5
#: Longest part of an unreadable header that is logged, in characters.
_MAX_LOGGED = 64


class NoticeKeeper:
    """Writes the newest notice of the upstream to the blackboard."""

    def __init__(
        self,
        board: Board,
        clock: Clock,
        metrics: Metrics,
        dialect: HttpDialect,
    ) -> None:
        """Subscribes to the start of the upstream."""
        self._board = board
        self._unnamed_since: float | None = None
        self._clock = clock
        self._metrics = metrics
        self._dialect = dialect
        board.upstream.watch(self._reset)

    @property
    def notice(self) -> UpstreamNotice:
        """The newest notice."""
        return self._board.upstream_notice.value

    def observe(self, identity: UpstreamIdentity, headers: Headers) -> None:
        """Takes the notice of a response by the upstream `identity`."""
        if identity != self.notice.identity:
            return
        named = read_notice_headers(headers, self._dialect)
        self._report_fault(named.rate_limit_fault)
        self._report_fault(named.leaving_fault)
        self._change(
            self.notice._replace(
                rate_limit=self._compute_rate_limit(named),
                is_leaving=self.notice.is_leaving or named.is_leaving,
            ),
        )

    def _compute_rate_limit(self, named: NoticeHeaders) -> float | None:
        if named.rate_limit_fault is not None:
            return self.notice.rate_limit
        if named.rate_limit is not None:
            self._unnamed_since = None
            return named.rate_limit
        now = self._clock.now()
        if self._unnamed_since is None:
            self._unnamed_since = now
        if now - self._unnamed_since >= UNNAMED_S:
            return None
        return self.notice.rate_limit

    def _reset(self, identity: UpstreamIdentity) -> None:
        self._unnamed_since = None
        self._change(UpstreamNotice(identity))

    def _change(self, notice: UpstreamNotice) -> None:
        before = self.notice
        if notice == before:
            return
        self._board.upstream_notice.put(notice)
        _log.info(
            'upstream_notice',
            extra={
                'upstream': notice.identity.upstream_id,
                'rate_limit': notice.rate_limit,
                'rate_limit_before': before.rate_limit,
                'leaving': notice.is_leaving,
            },
        )

    def _report_fault(self, fault: HeaderFault | None) -> None:
        if fault is None:
            return
        self._metrics.incr('notice.unreadable')
        _log.warning(
            'upstream_notice_unreadable',
            extra={
                'upstream': self.notice.identity.upstream_id,
                'header': fault.header,
                'text': fault.text[:_MAX_LOGGED],
            },
        )
