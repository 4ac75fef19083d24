"""Keeps the endpoints that a proxy receives from its relay."""

from logging import getLogger

from bilberry_core.board import Board
from bilberry_core.clock import Clock
from bilberry_core.messages.spread import EndpointUpdate

from bilberry_spread.table import EndpointTable, Home

_log = getLogger(__name__)

#: Home of every record in the table of a proxy; stands for whichever relay
#: the proxy is attached to.
_HOME = Home('relay')


class EndpointFeed:
    """The endpoint records of a proxy, put on `board.endpoints`.

    A record is removed when the relay reports its end, or one lease after the
    relay has sent the complete set of a service without it. Silence of the
    relay removes no record.
    """

    def __init__(self, board: Board, lease_s: float, clock: Clock) -> None:
        """Starts empty; a lease lasts `lease_s` seconds."""
        self._board = board
        self._clock = clock
        self._table = EndpointTable(lease_s)

    def receive(self, update: EndpointUpdate) -> None:
        """Merges an update from the relay."""
        now = self._clock.now()
        changed = [
            self._table.merge(endpoint, _HOME, now)
            for endpoint in update.endpoints
        ]
        for key in update.lapsed:
            self._table.expire_lease(key, _HOME.instance, now)
        if update.complete:
            self._table.start_leases(self._find_missing(update), now)
        if any(changed):
            self._board.endpoints.put(self._table.endpoints)
        self.expire()

    def expire(self) -> None:
        """Removes records whose lease has expired."""
        removed = self._table.expire(self._clock.now())
        if not removed:
            return
        self._board.endpoints.put(self._table.endpoints)
        _log.info(
            'leases_ended',
            extra={'instances': [one.endpoint.instance for one in removed]},
        )

    def _find_missing(self, update: EndpointUpdate) -> list[str]:
        named = {endpoint.instance for endpoint in update.endpoints}
        return [
            instance
            for instance, entry in self._table.entries.items()
            if entry.endpoint.service in update.complete
            and instance not in named
        ]
