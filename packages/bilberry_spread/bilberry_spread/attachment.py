"""Keeps a daemon attached to one source that is current.

The sources of a proxy are relays, and those of a relay are replicas. The
daemon stays attached to the first source that admits it. When the beacon stops
advancing, it opens a second stream, preferably to a source in another failure
domain, and switches to that source if it sends a newer beacon. Configurations
and beacons are accepted from both streams and never replaced by older ones.
"""

from collections.abc import Callable
from logging import getLogger
from typing import Any, Protocol

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.spread import (
    BeaconUpdate,
    Busy,
    ConfigurationDelta,
    ConfigurationSnapshot,
    EpochUpdate,
    Subscribe,
)
from bilberry_core.settings import Peer, Settings

from bilberry_spread.dial_log import DialLog, DialOutcome
from bilberry_spread.pacing import DialTimer, ReturnTimer, SourcePicker
from bilberry_spread.reception import Reception
from bilberry_spread.runtime import Link, Runtime
from bilberry_spread.source import Reason, Source
from bilberry_spread.start import StartGate

_log = getLogger(__name__)


class AttachmentListener(Protocol):
    """Callbacks of an attachment."""

    def attached(self, source: Source) -> None:
        """Called when the daemon has attached to a source."""

    def receive(self, received: Any) -> None:
        """Called with messages that the attachment does not handle itself.

        Only messages of the main source are passed on.
        """


class Attachment:
    """The streams to the main source and to the source being probed.

    The main source is the one that the daemon is attached to. A probe is a
    second stream, to a source that may replace it.
    """

    def __init__(
        self,
        settings: Settings,
        peers: tuple[Peer, ...],
        reception: Reception,
        runtime: Runtime,
        listener: AttachmentListener,
    ) -> None:
        """Prefers the sources in the order of `peers`."""
        self._settings = settings
        self._picker = SourcePicker(peers)
        self._reception = reception
        self._runtime = runtime
        self._listener = listener
        self._timer = DialTimer(runtime.clock, runtime.random)
        self._probe_timer = DialTimer(runtime.clock, runtime.random)
        self._return_timer = ReturnTimer(runtime.clock, runtime.random)
        self._dial_log = DialLog(runtime.clock, runtime.metrics)
        self._main: Source | None = None
        self._probe: Source | None = None

    @property
    def main(self) -> Source | None:
        """The source that this daemon is attached to."""
        return self._main

    @property
    def gate(self) -> StartGate:
        """The start rule of this daemon."""
        return self._reception.gate

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Every source, in order of preference."""
        return self._picker.peers

    def replace_peers(self, peers: tuple[Peer, ...]) -> None:
        """Replaces the sources; `peers` are in order of preference."""
        if peers != self._picker.peers:
            self._picker.replace(peers)
            self._return_timer.restart(self._main, self._picker.preferred)

    def tick(self) -> None:
        """Dials, probes, and closes streams that are behind or timed out."""
        self._reception.tick()
        self._check_behind()
        self._check_probe()
        if self._main is None:
            if self._timer.is_due:
                self._main = self._dial(self._picker.pick(), Reason.ATTACH)
        elif self._probe is None and self._probe_timer.is_due:
            self._probe = self._dial_probe(self._main.peer)

    def stop(self) -> None:
        """Closes both streams."""
        sources = (self._main, self._probe)
        self._main = None
        self._probe = None
        for source in sources:
            if source is not None:
                source.close()

    def _dial_probe(self, main: Peer) -> Source | None:
        if self._reception.is_stale:
            candidate = self._picker.pick_probe(main)
            return self._dial(candidate, Reason.BEACON_STALE)
        if not self.gate.is_open:
            candidate = self._picker.pick_probe(main)
            return self._dial(candidate, Reason.START_RULE)
        if not self._return_timer.is_due:
            return None
        self._return_timer.restart(self._main, self._picker.preferred)
        if self._picker.preferred == main:
            return None
        return self._dial(self._picker.preferred, Reason.RETURN)

    def _check_behind(self) -> None:
        stale_s = self._settings.timing.stale_ms / MS_PER_S
        behind_s = self._reception.behind_s
        if self._main is None or behind_s < stale_s:
            return
        self._reception.reset_behind()
        self._main.close()
        _log.warning(
            'source_behind',
            extra={'source': self._main.peer.instance, 'seconds': behind_s},
        )

    def _check_probe(self) -> None:
        probe = self._probe
        if probe is None:
            return
        waited = self._runtime.clock.now() - probe.since
        beacon_s = self._settings.timing.beacon_ms / MS_PER_S
        if waited > 2 * beacon_s:
            self._probe_timer.fail()
            self._dial_log.record(probe, DialOutcome.TIMEOUT)
        elif not _is_probe_obsolete(probe.why, self._reception):
            return
        self._dial_log.record(probe, DialOutcome.OBSOLETE)
        self._probe = None
        probe.close()

    def _dial(self, peer: Peer | None, why: Reason) -> Source | None:
        if peer is None:
            return None
        source = Source(peer, why, self._runtime.clock.now())
        _log.info(
            'relay_chosen',
            extra={
                'chosen': peer.instance,
                'candidates': [one.instance for one in self._picker.peers],
                'why': why,
            },
        )
        self._runtime.dialer.dial(
            peer,
            lambda link: self._on_open(source, link),
            lambda: self._on_close(source),
        )
        return source

    def _on_open(self, source: Source, link: Link) -> None:
        if source not in {self._main, self._probe}:
            self._dial_log.record_late_open(source)
            link.close()
            return
        source.link = link
        source.opened = self._runtime.clock.now()
        link.receiver = lambda received: self._receive(source, received)
        link.on_close = lambda: self._on_close(source)
        held = self._reception.receiver
        source.send(
            Subscribe(
                self._settings.instance,
                self._settings.failure_domain,
                held.version,
                held.digest,
            ),
        )
        if not link.is_open:
            self._on_close(source)
        elif source is self._main:
            self._return_timer.restart(source, self._picker.preferred)
            self._reception.put_source(source.peer.instance)
            self._listener.attached(source)

    def _on_close(self, source: Source) -> None:
        self._dial_log.record(source, DialOutcome.CLOSED)
        if source is self._probe:
            self._probe = None
            self._probe_timer.fail()
        elif source is self._main:
            self._main = None
            self._reception.put_source(None)
            self._timer.fail()
            if self._probe is not None and self._probe.link is not None:
                self._promote(self._probe)

    def _promote(self, probe: Source) -> None:
        before = self._main
        self._main = probe
        self._probe = None
        if before is not None:
            before.close()
        _log.info(
            'relay_moved',
            extra={
                'chosen': probe.peer.instance,
                'before': before.peer.instance if before else '',
                'why': probe.why if before else 'source_closed',
            },
        )
        self._return_timer.restart(probe, self._picker.preferred)
        self._reception.put_source(probe.peer.instance)
        self._listener.attached(probe)

    def _receive(self, source: Source, received: Any) -> None:
        if source not in {self._main, self._probe}:
            return
        handler = self._handlers.get(type(received))
        if handler is not None:
            handler(self, source, received)
        elif isinstance(received, EpochUpdate):
            self._reception.receive_epoch(received.epoch)
        elif source is self._main:
            self._listener.receive(received)

    def _receive_busy(self, source: Source, busy: Busy) -> None:
        timer = self._timer if source is self._main else self._probe_timer
        timer.defer(busy.retry_after_ms / MS_PER_S)
        self._dial_log.record(source, DialOutcome.BUSY)
        source.close()

    def _receive_configuration(
        self,
        source: Source,
        received: ConfigurationSnapshot | ConfigurationDelta,
    ) -> None:
        snapshot_request = self._reception.receive_configuration(
            received,
            source.peer.failure_domain,
        )
        if snapshot_request is not None:
            source.send(snapshot_request)

    def _receive_beacon(self, source: Source, update: BeaconUpdate) -> None:
        self._dial_log.record(source, DialOutcome.BEACON)
        if source.record_beacon(update.beacon):
            self.gate.record_beacon_advance()
        was_stale = self._reception.is_stale
        older = self._reception.is_older(update.beacon)
        later = self._reception.receive_beacon(
            update.beacon,
            source.peer.failure_domain,
        )
        if later:
            self._probe_timer.succeed()
        if later and source is self._main:
            self._timer.succeed()
            self._picker.restart()
        if source is self._probe:
            returns = source.why is Reason.RETURN and not older
            if returns or (later and was_stale):
                self._promote(source)

    _handlers: dict[type, Callable[..., None]] = {
        Busy: _receive_busy,
        ConfigurationSnapshot: _receive_configuration,
        ConfigurationDelta: _receive_configuration,
        BeaconUpdate: _receive_beacon,
    }


def _is_probe_obsolete(why: Reason, reception: Reception) -> bool:
    if why is Reason.START_RULE:
        return reception.gate.is_open
    return why is Reason.BEACON_STALE and not reception.is_stale
