"""Keeps the newest notice of the upstream beside this daemon."""

from logging import getLogger

from bilberry_core.board import Board
from bilberry_core.clock import Clock
from bilberry_core.metric import Metrics
from bilberry_core.upstream_notice import (
    UpstreamIdentity,
    UpstreamNotice,
    is_valid_rate_limit,
)

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
        self._was_heard = False
        self._clock = clock
        self._metrics = metrics
        self._dialect = dialect
        board.upstream.watch(self._reset)

    @property
    def notice(self) -> UpstreamNotice:
        """The newest notice."""
        return self._board.upstream_notice.value

    @property
    def shared(self) -> UpstreamNotice | None:
        """The notice for other daemons, None if it says nothing."""
        return None if self.notice.is_empty else self.notice

    def observe(self, identity: UpstreamIdentity, headers: Headers) -> None:
        """Takes the notice of a response by the upstream `identity`."""
        if identity != self.notice.identity:
            return
        self._was_heard = True
        named = read_notice_headers(headers, self._dialect)
        self._report_fault(named.rate_limit_fault)
        self._report_fault(named.leaving_fault)
        self._change(
            self.notice._replace(
                rate_limit=self._compute_rate_limit(named),
                is_leaving=self.notice.is_leaving or named.is_leaving,
            ),
        )

    def adopt(self, notice: UpstreamNotice) -> None:
        """Takes what another daemon heard of this upstream.

        The least limit counts until this daemon hears the upstream itself. An
        upstream without an ID can't be told from the one before it.
        """
        identity = notice.identity
        if not identity.upstream_id or identity != self.notice.identity:
            return
        rate_limit = self.notice.rate_limit
        if not self._was_heard:
            rate_limit = min(
                filter(_is_limit, (rate_limit, notice.rate_limit)),
                default=None,
            )
        is_leaving = self.notice.is_leaving or notice.is_leaving
        self._change(
            self.notice._replace(rate_limit=rate_limit, is_leaving=is_leaving)
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
        self._was_heard = False
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
                'heard': self._was_heard,
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


def _is_limit(rate_limit: float | None) -> bool:
    return rate_limit is not None and is_valid_rate_limit(rate_limit)
