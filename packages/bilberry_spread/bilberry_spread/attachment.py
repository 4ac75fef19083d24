"""Keeps a daemon attached to one source that is current.

The sources of a proxy are relays, and those of a relay are replicas. The
daemon announces itself to its main source, and gets endpoints from it. A
standby in another failure domain sends configurations and beacons too: no
version depends on a single source, or on a dial that begins after that source
has fallen silent. When the beacon of the main source stops advancing, a source
whose beacon advances replaces it. Configurations and beacons are accepted from
all streams and never replaced by older ones.
"""

from logging import getLogger
from typing import Any, Protocol

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.spread import (
    Attach,
    BeaconUpdate,
    Busy,
)
from bilberry_core.settings import Peer, Settings

from bilberry_spread.dial_log import DialOutcome
from bilberry_spread.dial_plan import DialPlan
from bilberry_spread.reception import Reception
from bilberry_spread.runtime import Runtime
from bilberry_spread.source import Reason, Source
from bilberry_spread.source_set import SourceSet
from bilberry_spread.source_streams import SourceStreams
from bilberry_spread.start import StartGate

_log = getLogger(__name__)

#: Logged as the reason of a move after the main stream has ended.
_SOURCE_CLOSED = 'source_closed'


class AttachmentListener(Protocol):
    """Callbacks of an attachment."""

    def attached(self, source: Source) -> None:
        """Called when the daemon has attached to a source."""

    def receive(self, received: Any) -> None:
        """Called with messages that the attachment does not handle itself.

        Only messages of the main source are passed on.
        """


class Attachment:
    """The main source of a daemon, and the sources that may replace it."""

    def __init__(
        self,
        settings: Settings,
        peers: tuple[Peer, ...],
        reception: Reception,
        runtime: Runtime,
        listener: AttachmentListener,
    ) -> None:
        """Prefers the sources in the order of `peers`."""
        self._stale_s = settings.timing.stale_ms / MS_PER_S
        self._reception = reception
        self._clock = runtime.clock
        self._listener = listener
        self._sources = SourceSet()
        self._plan = DialPlan(settings, peers, self._sources, runtime)
        self._streams = SourceStreams(
            settings, self._sources, reception, runtime, self
        )

    @property
    def main(self) -> Source | None:
        """The source that this daemon is attached to."""
        return self._sources.main

    @property
    def gate(self) -> StartGate:
        """The start rule of this daemon."""
        return self._reception.gate

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Every source, in order of preference."""
        return self._plan.peers

    def replace_peers(self, peers: tuple[Peer, ...]) -> None:
        """Replaces the sources; `peers` are in order of preference."""
        self._plan.replace_peers(peers)

    def tick(self) -> None:
        """Dials, and replaces or closes streams that are behind or silent."""
        self._reception.tick()
        self._streams.leave_behind(self._stale_s)
        if not self._reception.is_stale:
            self._leave_silent()
        self._return()
        self._dial()

    def heartbeat(self, sent: Any) -> None:
        """Sends `sent` on the streams beside the main one.

        A source drops receivers that are silent for long.
        """
        for source in self._sources.others:
            source.send(sent)

    def stop(self) -> None:
        """Closes every stream."""
        self._streams.stop()

    def source_opened(self, source: Source) -> None:
        """Attaches to the source if there is no main one."""
        if self._sources.main is None:
            self._attach(source)

    def source_closed(self, source: Source, *, was_main: bool) -> None:
        """Attaches to another source after the main one was lost."""
        if not was_main:
            return
        self._reception.put_source(None)
        current = self._sources.find_current(self._stale_s, self._clock.now())
        successor = current or self._sources.find_open()
        if successor is None:
            self._plan.record_loss()
        else:
            self._promote(successor, _SOURCE_CLOSED)

    def receive_from(self, source: Source, received: Any) -> None:
        """Handles beacons and refusals; passes on the rest."""
        if isinstance(received, BeaconUpdate):
            self._receive_beacon(source, received)
        elif isinstance(received, Busy):
            self._plan.defer(source.why, received.retry_after_ms / MS_PER_S)
            source.close()
        elif source is self._sources.main:
            self._listener.receive(received)

    def _leave_silent(self) -> None:
        """Leaves silent and surplus sources, as another one is current.

        While all are silent they are kept: the leader may be lost.
        """
        now = self._clock.now()
        self._replace_silent_main(now)
        for lost in self._sources.list_lost(self._stale_s, now):
            self._streams.drop(lost, DialOutcome.TIMEOUT)
        if self.gate.is_open:
            for surplus in self._sources.list_surplus(self._stale_s, now):
                self._streams.drop(surplus, DialOutcome.OBSOLETE)

    def _replace_silent_main(self, now: float) -> None:
        main = self._sources.main
        if main is None or not main.is_silent(self._stale_s, now):
            return
        successor = self._sources.find_current(self._stale_s, now)
        if successor is not None:
            self._promote(successor, Reason.BEACON_STALE)

    def _return(self) -> None:
        preferred = self._plan.choose_return()
        if preferred is None:
            return
        source = self._sources.find(preferred)
        if source is None:
            self._streams.dial(preferred, Reason.RETURN, self.peers)
        elif source.has_advanced_within(self._stale_s, self._clock.now()):
            self._promote(source, Reason.RETURN)

    def _dial(self) -> None:
        dial = self._plan.choose_dial(
            is_stale=self._reception.is_stale,
            is_gate_open=self.gate.is_open,
        )
        if dial is None:
            return
        if self._sources.is_full:
            now = self._clock.now()
            for lost in self._sources.list_lost(self._stale_s, now)[:1]:
                self._streams.drop(lost, DialOutcome.TIMEOUT)
        self._streams.dial(dial.peer, dial.why, self.peers)

    def _promote(self, source: Source, why: str) -> None:
        before = self._sources.main
        source.asked = self._clock.now()
        source.send(Attach())
        self._attach(source)
        if before is not None:
            before.close()
        _log.info(
            'relay_moved',
            extra={
                'chosen': source.peer.instance,
                'before': before.peer.instance if before else '',
                'why': why,
            },
        )

    def _attach(self, source: Source) -> None:
        self._sources.promote(source)
        self._plan.restart_return()
        self._reception.put_source(source.peer.instance)
        self._listener.attached(source)

    def _receive_beacon(self, source: Source, update: BeaconUpdate) -> None:
        later = self._reception.receive_beacon(
            update.beacon,
            source.peer.failure_domain,
        )
        now = self._clock.now()
        advances = source.record_beacon(update.beacon, now, is_newest=later)
        if advances:
            self.gate.record_beacon_advance()
        if later:
            self._plan.record_newest_beacon()
        if source is self._sources.main:
            return
        if advances:
            self._plan.record_standby_beacon()
        is_older = self._reception.is_older(update.beacon)
        if source.why is Reason.RETURN and not is_older:
            self._promote(source, Reason.RETURN)
        else:
            self._replace_silent_main(now)
