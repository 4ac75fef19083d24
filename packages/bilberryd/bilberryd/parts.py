"""The parts that a daemon is built of."""

from random import Random
from typing import TYPE_CHECKING

from bilberry_core.board import Board
from bilberry_core.clock import SystemClock
from bilberry_core.listener import StreamListener
from bilberry_core.metric import open_metrics
from bilberry_core.scrape import MetricsController, ScrapedMetrics
from bilberry_core.settings import Settings
from bilberry_core.stream import Credentials
from bilberry_proxy.context import ProxyOptions
from bilberry_spread.runtime import Runtime, open_runtime

from bilberryd.board_metrics import BoardMetrics
from bilberryd.daemon import Controller

if TYPE_CHECKING:
    from bilberry_proxy.announcement import AnnouncementController
    from bilberry_proxy.controller import ProxyController
    from bilberry_quotas.spender_controller import SpenderController
    from bilberry_replica.controller import ReplicaController
    from bilberry_rollouts.controller import RolloutController


class DaemonParts:
    """The components of a daemon that is being built.

    `controllers` are in the order in which they start. `acceptor` and
    `rollouts` are None without the role replica; `allowances`,
    `announcements` and `proxy` are None without the role proxy.
    """

    def __init__(
        self,
        settings: Settings,
        proxy_options: ProxyOptions = ProxyOptions(),
    ) -> None:
        self.settings = settings
        self.proxy_options = proxy_options
        self.board = Board()
        self.clock = SystemClock()
        self.random = Random()
        self.credentials = Credentials(
            settings.fleet,
            settings.instance,
            settings.secret,
            self.board.traffic,
        )
        self.listener = StreamListener(self.credentials)
        self.metrics = ScrapedMetrics(open_metrics(settings.statsd))
        self.controllers: list[Controller] = []
        if settings.listen.metrics is not None:
            self._board_metrics = BoardMetrics(
                self.board, self.clock, self.metrics
            )
            self.controllers.append(
                MetricsController(
                    self.metrics,
                    settings.listen.metrics,
                    self._refresh_metrics,
                ),
            )
        self.acceptor: 'ReplicaController | None' = None
        self.rollouts: 'RolloutController | None' = None
        self.allowances: 'SpenderController | None' = None
        self.announcements: 'AnnouncementController | None' = None
        self.proxy: 'ProxyController | None' = None

    def build_spread_runtime(self) -> Runtime:
        """Returns the dependencies of the relay or the subscriber."""
        return open_runtime(
            self.credentials,
            self.clock,
            self.random,
            self.metrics,
        )

    def _refresh_metrics(self) -> None:
        self._board_metrics.refresh()
        if self.proxy is not None:
            self.proxy.update_gauges()
        if self.allowances is not None:
            self.allowances.update_gauges()
