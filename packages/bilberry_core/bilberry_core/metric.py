"""Sends metrics to statsd, if a server is configured.

Names are dotted, in lower case, with the prefix `bilberry`.
"""

from typing import Protocol

from statsd import StatsClient

from bilberry_core.endpoint import Address

_PREFIX = 'bilberry'


class Metrics(Protocol):
    """The part of a statsd client that the daemon uses."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Adds to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Sets a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Records a duration, in milliseconds."""


class NullMetrics:
    """Metrics that are discarded."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Does nothing."""

    def gauge(self, stat: str, value: float) -> None:
        """Does nothing."""

    def timing(self, stat: str, delta: float) -> None:
        """Does nothing."""


def open_metrics(address: Address | None) -> Metrics:
    """Returns a statsd client, or `NullMetrics` without an address."""
    if address is None:
        return NullMetrics()
    return StatsClient(address.host, address.port, prefix=_PREFIX)
