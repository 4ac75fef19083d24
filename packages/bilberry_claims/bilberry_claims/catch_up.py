"""Copies the claims that a holder lacks from the other holders.

`CatchUp` is the state machine of this exchange in one epoch, without sockets.
A holder of a new epoch copies the claims from a majority of the previous
holders. A holder that lost its data folder copies them from enough others to
intersect every majority that it was part of.
"""

from collections.abc import Callable
from typing import NamedTuple

from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.messages.claim import (
    ClaimPage,
    ClaimPageRequest,
    HolderPhase,
    HolderProbe,
    HolderReply,
    HolderRequest,
    HolderStanding,
    HolderStatus,
)

from bilberry_claims.holder_core import HolderCore
from bilberry_claims.membership import FIRST_STORE, choose_store
from bilberry_claims.quorum import (
    count_sources,
    get_epoch_number,
    list_instances,
    list_members,
)


class OutgoingMessage(NamedTuple):
    """A message to another holder."""

    instance: str
    message: HolderRequest


class Step(NamedTuple):
    """Records to make durable, and messages to send after that."""

    records: tuple[bytes, ...] = ()
    sends: tuple[OutgoingMessage, ...] = ()


class CatchUp:
    """State machine that brings one holder up to date in one epoch."""

    def __init__(
        self,
        core: HolderCore,
        epoch: ClaimEpoch,
        next_request: Callable[[], int],
    ) -> None:
        """Takes request numbers from `next_request`."""
        self._core = core
        self._epoch = epoch
        self._epoch_number = get_epoch_number(epoch)
        self._next_request = next_request
        members = list_members(epoch)
        self._others = tuple(one for one in members if one != core.instance)
        self._standings: dict[str, HolderStanding] = {}
        self._page_requests: dict[str, ClaimPageRequest] = {}
        self._pulled: set[str] = set()

    @property
    def is_done(self) -> bool:
        """Whether there are no claims left to copy.

        This is also true if this instance is not a holder of the epoch.
        """
        is_holder = self._core.instance in list_instances(self._epoch.holders)
        return self._core.is_caught_up or not is_holder

    def poll(self) -> Step:
        """Repeats all requests that have not been answered."""
        if self.is_done:
            return Step()
        started = self._advance(len(self._others))
        probes = tuple(
            OutgoingMessage(
                one, HolderProbe(0, self._epoch_number, self._core.instance)
            )
            for one in self._others
            if one not in self._page_requests and one not in self._pulled
        )
        pulls = tuple(
            OutgoingMessage(one, page_request)
            for one, page_request in self._page_requests.items()
        )
        return Step(started.records, (*probes, *pulls))

    def receive(
        self,
        instance: str,
        reply: HolderReply,
        now_ms: int,
    ) -> Step:
        """Handles a reply of another holder."""
        if self.is_done or reply.epoch != self._epoch_number:
            return Step()
        if isinstance(reply, HolderStatus):
            self._standings[instance] = reply.standing
            return self._advance(self._count_needed())
        if isinstance(reply, ClaimPage) and instance in self._page_requests:
            return self._handle_page(instance, reply, now_ms)
        return Step()

    def _advance(self, max_sources: int) -> Step:
        """Proceeds as far as the known standings allow.

        Pulls from `max_sources` sources at most.
        """
        records = self._bootstrap()
        sources = self._list_sources()
        if self.is_done or len(sources) < self._count_needed():
            return Step(records)
        records = (*records, *self._choose_store())
        fresh = [one for one in sources if not self._is_page_requested(one)]
        started = len(self._page_requests) + len(self._pulled)
        sends = tuple(
            self._pull(one, b'')
            for one in fresh[: max(max_sources - started, 0)]
        )
        return Step((*records, *self._finish()), sends)

    def _bootstrap(self) -> tuple[bytes, ...]:
        """Initializes the store at the first start of the fleet.

        No holder has voted at that time, so an empty store is complete.
        """
        current = self._core.membership
        phases = [one.phase for one in self._standings.values()]
        is_complete = len(phases) == len(self._others)
        if current.phase is HolderPhase.EMPTY and not current.store:
            if not is_complete or HolderPhase.FULL in phases:
                return ()
            self._standings.clear()
            current = current._replace(
                phase=HolderPhase.NEW_FLEET, store=FIRST_STORE
            )
            founded = self._core.update_membership(current)
            return (*founded, *self._bootstrap())
        if current.phase is not HolderPhase.NEW_FLEET:
            return ()
        is_complete = is_complete and HolderPhase.EMPTY not in phases
        if is_complete or HolderPhase.FULL in phases:
            return self._core.update_membership(current.fill(self._epoch))
        return ()

    def _choose_store(self) -> tuple[bytes, ...]:
        current = self._core.membership
        if current.phase is not HolderPhase.EMPTY:
            return ()
        next_store = choose_store(self._core.instance, self._standings)
        if current.store >= next_store - 1 and current.store:
            return ()
        self._page_requests.clear()
        self._pulled.clear()
        return self._core.update_membership(current._replace(store=next_store))

    def _list_candidates(self) -> tuple[Holder, ...]:
        return self._epoch.previous or self._epoch.holders

    def _count_needed(self) -> int:
        """Returns how many other holders the claims must be copied from."""
        sources = self._list_candidates()
        needed = count_sources(len(sources))
        is_source = self._core.instance in list_instances(sources)
        if is_source and self._core.membership.is_full:
            return needed - 1
        return needed

    def _list_sources(self) -> tuple[str, ...]:
        names = list_instances(self._list_candidates())
        return tuple(
            name
            for name, standing in self._standings.items()
            if name in names and standing.phase is HolderPhase.FULL
        )

    def _is_page_requested(self, instance: str) -> bool:
        return instance in self._page_requests or instance in self._pulled

    def _pull(self, instance: str, after: bytes) -> OutgoingMessage:
        page_request = ClaimPageRequest(
            self._next_request(),
            self._epoch_number,
            self._core.instance,
            self._core.membership.store,
            after,
        )
        self._page_requests[instance] = page_request
        return OutgoingMessage(instance, page_request)

    def _handle_page(self, instance: str, page: ClaimPage, now_ms: int) -> Step:
        if page.request != self._page_requests[instance].request:
            return Step()
        self._standings[instance] = page.standing
        if page.standing.phase is not HolderPhase.FULL:
            self._page_requests.pop(instance)
            return Step()
        store_records = self._choose_store()
        if store_records:
            return Step(store_records)
        records = self._core.merge(page.records, now_ms)
        if page.last:
            return Step(records, (self._pull(instance, page.last),))
        self._page_requests.pop(instance)
        self._pulled.add(instance)
        return Step((*records, *self._finish()))

    def _finish(self) -> tuple[bytes, ...]:
        if len(self._pulled) < self._count_needed():
            return ()
        return self._core.update_membership(
            self._core.membership.fill(self._epoch)
        )
