"""What a proxy knows of upstreams from the responses that it passed on.

A proxy sends the notice of an upstream with each call. If the daemon beside
the upstream was restarted, it takes the limit and the departure from there,
without a relay or a leader.
"""

from typing import NamedTuple

from bilberry_core.endpoint import Endpoint
from bilberry_core.upstream_notice import UpstreamNotice

#: Maximum number of notices that are kept, the newest ones.
MAX_NOTICES = 4096


class KnownNotice(NamedTuple):
    """A notice, and the incarnation of the endpoint that it came from."""

    incarnation: int
    notice: UpstreamNotice


class KnownNotices:
    """The newest notice of each instance, as far as it says anything.

    A notice outlives its endpoint: a daemon that returns with the same
    upstream has a new incarnation.
    """

    def __init__(self) -> None:
        """Starts without notices."""
        self._by_instance: dict[str, KnownNotice] = {}

    def record(
        self,
        endpoint: Endpoint,
        notice: UpstreamNotice | None,
    ) -> None:
        """Replaces the notice of an instance; None removes it."""
        self._by_instance.pop(endpoint.instance, None)
        if notice is None:
            return
        if len(self._by_instance) >= MAX_NOTICES:
            self._by_instance.pop(next(iter(self._by_instance)))
        known = KnownNotice(endpoint.incarnation, notice)
        self._by_instance[endpoint.instance] = known

    def get(self, instance: str) -> UpstreamNotice | None:
        """Returns the newest notice of an instance."""
        known = self._by_instance.get(instance)
        return known and known.notice

    def get_current(self, endpoint: Endpoint) -> UpstreamNotice | None:
        """Returns the notice that came from this incarnation."""
        known = self._by_instance.get(endpoint.instance)
        if known is None or known.incarnation != endpoint.incarnation:
            return None
        return known.notice
