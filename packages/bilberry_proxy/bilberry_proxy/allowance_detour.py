"""Reaches the granter of quotas by way of neighbours.

A daemon that hears no offer from its relay follows another daemon, on a stream
that is open for calls: that one passes on the offers that it gets, reports to
its own relay, and answers on the same way back. So a daemon is out of touch
only if all daemons that it can reach are.
"""

from collections.abc import Callable, Iterator
from logging import getLogger
from typing import Any, Protocol

from bilberry_core.board import AttachedReport, Board
from bilberry_core.clock import Clock, RandomSource
from bilberry_core.messages.allowance import (
    AllowanceAnswer,
    AllowanceFollow,
    AllowanceOffer,
    AllowanceReport,
)
from bilberry_core.snapshot import Snapshot

_log = getLogger(__name__)

#: Silence of the relay after which a neighbour is followed, in seconds. Less
#: than the time for which a share is lent.
SILENCE_S = 0.45
#: Interval between two requests to a neighbour, in seconds. One that sent no
#: offer in that time is replaced.
FOLLOW_S = 0.4
#: Time for which a neighbour passes on offers after a request, in seconds.
FOLLOWED_S = 1.0


class Neighbour(Protocol):
    """One side of a stream for calls."""

    def send(self, message: Any) -> None:
        """Sends a message, or drops it if the stream has ended."""


class AllowanceDetour:
    """The neighbour that a daemon follows, and those that follow it."""

    def __init__(
        self,
        board: Board,
        clock: Clock,
        random: RandomSource,
        list_open: Callable[[], Iterator[Neighbour]],
    ) -> None:
        """Follows one of the neighbours that `list_open` returns."""
        self._board = board
        self._clock = clock
        self._random = random
        self._list_open = list_open
        self._has_quotas = False
        self._relay_at: float = 0
        self._follow_at: float = 0
        self._offered_at: float = 0
        self._neighbour: Neighbour | None = None
        self._is_receiving = False
        self._followers: dict[Neighbour, float] = {}
        self._ways: dict[str, Neighbour] = {}
        self._newest: dict[tuple[str, bool], tuple[int, float, float]] = {}
        board.snapshot.watch(self._on_snapshot)
        board.allowance_offer.watch(self._on_offer)
        board.allowance_answer.watch(self._on_answer)
        board.allowance_report.watch(self._on_report)

    def tick(self) -> None:
        """Follows a neighbour while the relay is silent."""
        if not self._has_quotas:
            return
        now = self._clock.now()
        if now - self._relay_at < SILENCE_S:
            self._neighbour = None
        elif now >= self._follow_at:
            self._follow_at = now + FOLLOW_S
            self._follow(now)

    # What the neighbour that is followed sends.

    def receive(self, message: AllowanceOffer | AllowanceAnswer) -> None:
        """Puts an offer or an answer on the blackboard."""
        self._is_receiving = True
        if isinstance(message, AllowanceOffer):
            known = self._board.allowance_offer.value
            if known is None or message > known:
                self._board.allowance_offer.put(message)
        else:
            self._board.allowance_answer.put(message)
        self._is_receiving = False

    # What followers send.

    def add_follower(self, follower: Neighbour) -> None:
        """Passes offers on to a daemon for a while."""
        self._followers[follower] = self._clock.now() + FOLLOWED_S

    def pass_on(self, follower: Neighbour, report: AllowanceReport) -> None:
        """Passes a report on, and remembers where its answer goes.

        One that was passed on before has come round between daemons that
        follow each other, and ends here.
        """
        if not self._is_new(report):
            return
        self._ways[report.instance] = follower
        self._board.attached_report.put(AttachedReport('', report))
        if self._neighbour is not None:
            self._neighbour.send(report)

    def drop(self, follower: Neighbour) -> None:
        """Forgets a daemon whose stream has ended."""
        self._followers.pop(follower, None)
        self._ways = {
            instance: way
            for instance, way in self._ways.items()
            if way is not follower
        }

    def _follow(self, now: float) -> None:
        if self._neighbour is None or now - self._offered_at > FOLLOW_S:
            neighbours = tuple(self._list_open())
            if not neighbours:
                self._neighbour = None
                return
            chosen = neighbours[self._random.randrange(len(neighbours))]
            self._neighbour = chosen
            _log.info(
                'granter_detour',
                extra={'seconds': round(now - self._relay_at, 3)},
            )
        self._neighbour.send(AllowanceFollow())

    def _on_snapshot(self, snapshot: Snapshot | None) -> None:
        known = (snapshot and snapshot.organisations_by_key) or {}
        had_quotas = self._has_quotas
        self._has_quotas = any(one.rate for one in known.values())
        if self._has_quotas and not had_quotas:
            self._relay_at = self._clock.now()

    def _on_offer(self, offer: AllowanceOffer | None) -> None:
        if offer is None:
            return
        now = self._clock.now()
        self._offered_at = now
        if not self._is_receiving:
            self._relay_at = now
        for follower, until in tuple(self._followers.items()):
            if now < until:
                follower.send(offer)
            else:
                self.drop(follower)

    def _on_answer(self, answer: AllowanceAnswer | None) -> None:
        if answer is None:
            return
        way = self._ways.get(answer.instance)
        if way is not None:
            way.send(answer)

    def _on_report(self, report: AllowanceReport | None) -> None:
        if report is None or not self._is_new(report):
            return
        self._ways.pop(report.instance, None)
        if self._neighbour is not None:
            self._neighbour.send(report)

    def _is_new(self, report: AllowanceReport) -> bool:
        source = (report.instance, report.is_vote)
        newest = self._newest.get(source)
        if newest is not None and report.order <= newest:
            return False
        self._newest[source] = report.order
        return True
