"""How a holder learns the claims that it has to know.

`CatchUp` is the exchange with the other holders of one epoch, without its
sockets. A holder of a new epoch takes the claims over from a majority of the
holders before; one whose folder was lost takes them from so many others that
every majority it was part of is met.
"""

from collections.abc import Callable
from typing import NamedTuple

from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.messages.claim import (
    ClaimPage,
    ClaimPull,
    HolderPhase,
    HolderProbe,
    HolderReply,
    HolderRequest,
    HolderStatus,
    Standing,
)

from bilberry_claims.holder_core import HolderCore
from bilberry_claims.membership import FIRST_STORE, choose_store
from bilberry_claims.quorum import (
    count_sources,
    list_members,
    list_names,
    number_epoch,
)


class Sent(NamedTuple):
    """A message to another holder."""

    instance: str
    message: HolderRequest


class Step(NamedTuple):
    """What to make durable first, and what to send after that."""

    records: tuple[bytes, ...] = ()
    sends: tuple[Sent, ...] = ()


class CatchUp:
    """One holder's way to know every claim of its epoch."""

    def __init__(
        self,
        core: HolderCore,
        epoch: ClaimEpoch,
        next_request: Callable[[], int],
    ) -> None:
        """Starts with nothing learned in this epoch."""
        self._core = core
        self._epoch = epoch
        self._number = number_epoch(epoch)
        self._next_request = next_request
        members = list_members(epoch)
        self._others = tuple(one for one in members if one != core.instance)
        self._standings: dict[str, Standing] = {}
        self._pulls: dict[str, ClaimPull] = {}
        self._pulled: set[str] = set()

    @property
    def is_done(self) -> bool:
        """Whether this holder has nothing left to learn."""
        is_holder = self._core.instance in list_names(self._epoch.holders)
        return self._core.is_caught_up or not is_holder

    def poll(self) -> Step:
        """Asks again for whatever was not answered."""
        if self.is_done:
            return Step()
        started = self._advance(len(self._others))
        probes = tuple(
            Sent(one, HolderProbe(0, self._number, self._core.instance))
            for one in self._others
            if one not in self._pulls and one not in self._pulled
        )
        pulls = tuple(Sent(one, pull) for one, pull in self._pulls.items())
        return Step(started.records, (*probes, *pulls))

    def receive(
        self,
        instance: str,
        reply: HolderReply,
        now_ms: int,
    ) -> Step:
        """Takes a reply of another holder."""
        if self.is_done or reply.epoch != self._number:
            return Step()
        if isinstance(reply, HolderStatus):
            self._standings[instance] = reply.standing
            return self._advance(self._count_needed())
        if isinstance(reply, ClaimPage) and instance in self._pulls:
            return self._take_page(instance, reply, now_ms)
        return Step()

    def _advance(self, wanted: int) -> Step:
        """Does what the standings allow, with `wanted` sources at most."""
        records = self._be_born()
        sources = self._find_sources()
        if self.is_done or len(sources) < self._count_needed():
            return Step(records)
        records = (*records, *self._choose_store())
        fresh = [one for one in sources if not self._is_started(one)]
        started = len(self._pulls) + len(self._pulled)
        sends = tuple(
            self._pull(one, b'') for one in fresh[: max(wanted - started, 0)]
        )
        return Step((*records, *self._finish()), sends)

    def _be_born(self) -> tuple[bytes, ...]:
        """Takes part in the fleet's first start, when nobody has voted."""
        held = self._core.membership
        phases = [one.phase for one in self._standings.values()]
        is_complete = len(phases) == len(self._others)
        if held.phase is HolderPhase.EMPTY and not held.store:
            if not is_complete or HolderPhase.FULL in phases:
                return ()
            self._standings.clear()
            held = held._replace(phase=HolderPhase.NEW_FLEET, store=FIRST_STORE)
            born = self._core.keep(held)
            return (*born, *self._be_born())
        if held.phase is not HolderPhase.NEW_FLEET:
            return ()
        is_complete = is_complete and HolderPhase.EMPTY not in phases
        if is_complete or HolderPhase.FULL in phases:
            return self._core.keep(held.fill(self._epoch))
        return ()

    def _choose_store(self) -> tuple[bytes, ...]:
        held = self._core.membership
        if held.phase is not HolderPhase.EMPTY:
            return ()
        wanted = choose_store(self._core.instance, self._standings)
        if held.store >= wanted - 1 and held.store:
            return ()
        self._pulls.clear()
        self._pulled.clear()
        return self._core.keep(held._replace(store=wanted))

    def _candidates(self) -> tuple[Holder, ...]:
        return self._epoch.previous or self._epoch.holders

    def _count_needed(self) -> int:
        """Returns how many others must have handed over."""
        sources = self._candidates()
        needed = count_sources(len(sources))
        is_source = self._core.instance in list_names(sources)
        if is_source and self._core.membership.is_full:
            return needed - 1
        return needed

    def _find_sources(self) -> tuple[str, ...]:
        names = list_names(self._candidates())
        return tuple(
            name
            for name, standing in self._standings.items()
            if name in names and standing.phase is HolderPhase.FULL
        )

    def _is_started(self, instance: str) -> bool:
        return instance in self._pulls or instance in self._pulled

    def _pull(self, instance: str, after: bytes) -> Sent:
        pull = ClaimPull(
            self._next_request(),
            self._number,
            self._core.instance,
            self._core.membership.store,
            after,
        )
        self._pulls[instance] = pull
        return Sent(instance, pull)

    def _take_page(self, instance: str, page: ClaimPage, now_ms: int) -> Step:
        if page.request != self._pulls[instance].request:
            return Step()
        self._standings[instance] = page.standing
        if page.standing.phase is not HolderPhase.FULL:
            self._pulls.pop(instance)
            return Step()
        outdated = self._choose_store()
        if outdated:
            return Step(outdated)
        records = self._core.merge(page.records, now_ms)
        if page.last:
            return Step(records, (self._pull(instance, page.last),))
        self._pulls.pop(instance)
        self._pulled.add(instance)
        return Step((*records, *self._finish()))

    def _finish(self) -> tuple[bytes, ...]:
        if len(self._pulled) < self._count_needed():
            return ()
        return self._core.keep(self._core.membership.fill(self._epoch))
