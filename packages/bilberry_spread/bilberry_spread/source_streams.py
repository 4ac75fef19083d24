"""Opens and closes the streams of a daemon to its sources."""

from logging import getLogger
from typing import Any, Protocol

from bilberry_core.messages.spread import (
    BeaconUpdate,
    Busy,
    ConfigurationDelta,
    ConfigurationSnapshot,
    EpochUpdate,
    RolloutUpdate,
    Subscribe,
    VersionReport,
)
from bilberry_core.settings import Peer, Settings

from bilberry_spread.dial_log import DialLog, DialOutcome
from bilberry_spread.reception import Reception
from bilberry_spread.runtime import Link, Runtime
from bilberry_spread.source import Reason, Source
from bilberry_spread.source_set import SourceSet

_log = getLogger(__name__)


class SourceListener(Protocol):
    """Callbacks of the streams to sources."""

    def source_opened(self, source: Source) -> None:
        """Called when the stream to a source is open."""

    def source_closed(self, source: Source, *, was_main: bool) -> None:
        """Called when a source was removed because its stream ended."""

    def receive_from(self, source: Source, received: Any) -> None:
        """Called with each message but configurations and epochs."""


class SourceStreams:
    """The streams to the sources in a `SourceSet`."""

    def __init__(
        self,
        settings: Settings,
        sources: SourceSet,
        reception: Reception,
        runtime: Runtime,
        listener: SourceListener,
    ) -> None:
        """Subscribes to what is newer than the state of `reception`."""
        self._settings = settings
        self._sources = sources
        self._reception = reception
        self._runtime = runtime
        self._listener = listener
        self._dial_log = DialLog(runtime.clock, runtime.metrics)

    def dial(self, peer: Peer, why: Reason, peers: tuple[Peer, ...]) -> None:
        """Dials a source, which was chosen out of `peers`."""
        source = Source(peer, why, self._runtime.clock.now())
        self._sources.add(source)
        _log.info(
            'relay_chosen',
            extra={
                'chosen': peer.instance,
                'candidates': [one.instance for one in peers],
                'why': why,
            },
        )
        self._runtime.dialer.dial(
            peer,
            lambda link: self._on_open(source, link),
            lambda: self._on_close(source),
        )

    def drop(self, source: Source, outcome: DialOutcome) -> None:
        """Removes a source and closes its stream."""
        self._dial_log.record(source, outcome)
        self._sources.remove(source)
        source.close()
        _log.info(
            'source_dropped',
            extra={
                'source': source.peer.instance,
                'why': source.why,
                'outcome': outcome,
            },
        )

    def leave_behind(self, stale_s: float) -> None:
        """Leaves the sources that know a newer version but don't send it."""
        behind_s = self._reception.behind_s
        if behind_s < stale_s:
            return
        now = self._runtime.clock.now()
        version = self._reception.receiver.version
        for source in reversed(tuple(self._sources)):
            if source.is_behind(version, stale_s, now):
                _log.warning(
                    'source_behind',
                    extra={
                        'source': source.peer.instance,
                        'seconds': behind_s,
                    },
                )
                self._on_close(source)
                source.close()

    def stop(self) -> None:
        """Removes every source and closes its stream."""
        for source in tuple(self._sources):
            self._sources.remove(source)
            source.close()

    def _on_open(self, source: Source, link: Link) -> None:
        if source not in self._sources:
            self._dial_log.record_late_open(source)
            link.close()
            return
        source.open(link, self._runtime.clock.now())
        link.receiver = lambda received: self._receive(source, received)
        link.on_close = lambda: self._on_close(source)
        self._subscribe(source)
        if link.is_open:
            self._listener.source_opened(source)
        else:
            self._on_close(source)

    def _on_close(self, source: Source) -> None:
        if source not in self._sources:
            return
        self._dial_log.record(source, DialOutcome.CLOSED)
        was_main = source is self._sources.main
        self._sources.remove(source)
        self._listener.source_closed(source, was_main=was_main)

    def _receive(self, source: Source, received: Any) -> None:
        if source not in self._sources:
            return
        if isinstance(received, BeaconUpdate):
            self._dial_log.record(source, DialOutcome.BEACON)
        elif isinstance(received, Busy):
            self._dial_log.record(source, DialOutcome.BUSY)
        if isinstance(received, ConfigurationSnapshot | ConfigurationDelta):
            self._receive_configuration(source, received)
        elif isinstance(received, EpochUpdate):
            self._reception.receive_epoch(received.epoch)
        elif isinstance(received, RolloutUpdate):
            self._reception.receive_rollouts(received.table)
        else:
            self._listener.receive_from(source, received)

    def _receive_configuration(
        self,
        source: Source,
        received: ConfigurationSnapshot | ConfigurationDelta,
    ) -> None:
        before = self._reception.receiver.version
        snapshot_request = self._reception.receive_configuration(
            received,
            source.peer,
        )
        if snapshot_request is not None:
            source.send(snapshot_request)
        version = self._reception.receiver.version
        if version > before:
            self._report_to_others(source, version)

    def _report_to_others(self, sender: Source, version: int) -> None:
        report = VersionReport({self._settings.instance: version})
        for source in self._sources.others:
            if source is not sender:
                source.send(report)

    def _subscribe(self, source: Source) -> None:
        held = self._reception.receiver
        source.asked = self._runtime.clock.now()
        source.send(
            Subscribe(
                self._settings.instance,
                self._settings.failure_domain,
                held.version,
                held.digest,
                is_standby=self._sources.main is not None,
            ),
        )
