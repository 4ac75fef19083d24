"""Attaches a relay that is not a replica to a replica."""

from collections.abc import Callable
from typing import Any, Protocol

from bilberry_core.announced_state import AnnouncedState
from bilberry_core.board import Board, Suspect
from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.announced_state import AnnouncedStateUpdate
from bilberry_core.messages.spread import (
    RolloutReportUpdate,
    SuspectUpdate,
    VersionReport,
)
from bilberry_core.rollout import RolloutReport
from bilberry_core.settings import Peer, Settings

from bilberry_spread.attachment import Attachment
from bilberry_spread.ranking import rank_relays
from bilberry_spread.reception import Reception
from bilberry_spread.reports import build_report
from bilberry_spread.runtime import Runtime
from bilberry_spread.source import Source
from bilberry_spread.start import StartGate


class SuspectListener(Protocol):
    """Callback for the suspects that the source sends."""

    def receive_suspects(
        self,
        suspects: tuple[Suspect, ...],
        *,
        is_local: bool,
    ) -> None:
        """Called with each update of suspects."""


class RelaySource:
    """The client side of a relay: gets configurations, reports versions.

    Its source is a replica, or another relay if no replica can be reached.
    `on_states` is called with the states of upstreams that the source says are
    kept, `on_attached` once the relay is attached to another source.
    """

    def __init__(
        self,
        settings: Settings,
        board: Board,
        listener: SuspectListener,
        runtime: Runtime,
    ) -> None:
        """Starts unattached; passes suspects to `listener`."""
        self.on_states: Callable[[tuple[AnnouncedState, ...]], None] = _ignore
        self.on_attached: Callable[[], None] = _ignore
        self._settings = settings
        self._listener = listener
        self._runtime = runtime
        peers = rank_sources(settings)
        reception = Reception(
            board,
            StartGate(peers),
            settings.timing.stale_ms / MS_PER_S,
            runtime,
        )
        self._attachment = Attachment(settings, peers, reception, runtime, self)
        self._versions: dict[str, int] = {}
        self._reported: dict[str, int] = {}
        self._next_heartbeat = runtime.clock.now()

    @property
    def attachment(self) -> Attachment:
        """The streams to the sources."""
        return self._attachment

    def tick(self) -> None:
        """Maintains the attachment and sends heartbeats."""
        self._attachment.tick()
        now = self._runtime.clock.now()
        if now >= self._next_heartbeat:
            timing = self._settings.timing
            self._next_heartbeat = now + timing.renew_ms / MS_PER_S
            self._send(VersionReport({}))
            self._attachment.heartbeat(VersionReport({}))

    def report(self, versions: dict[str, int]) -> None:
        """Reports the versions that attached proxies run."""
        self._versions = versions
        report = build_report(self._reported, versions)
        main = self._attachment.main
        if report is not None and main is not None and main.is_open:
            self._reported = dict(versions)
            main.send(report)

    def report_rollouts(self, report: RolloutReport) -> None:
        """Reports what proxies of this relay saw of open roll-outs."""
        self._send(RolloutReportUpdate(report))

    def send_states(self, states: tuple[AnnouncedState, ...]) -> None:
        """Asks the source to have states of upstreams kept."""
        self._send(AnnouncedStateUpdate(states))

    def attached(self, source: Source) -> None:
        """Reports all versions to the new source."""
        self._reported = {}
        self.report(self._versions)
        self.on_attached()

    def receive(self, received: Any) -> None:
        """Passes suspects and kept states on; ignores other messages."""
        if isinstance(received, AnnouncedStateUpdate):
            self.on_states(received.states)
        elif isinstance(received, SuspectUpdate):
            self._listener.receive_suspects(received.suspects, is_local=False)

    def _send(self, sent: Any) -> None:
        main = self._attachment.main
        if main is not None:
            main.send(sent)


def rank_sources(settings: Settings) -> tuple[Peer, ...]:
    """Returns the sources of a relay: replicas first, then other relays."""
    replicas = rank_relays(
        settings.instance,
        settings.failure_domain,
        settings.replicas,
    )
    names = {peer.instance for peer in replicas} | {settings.instance}
    relays = rank_relays(
        settings.instance,
        settings.failure_domain,
        (peer for peer in settings.relays if peer.instance not in names),
    )
    return replicas + relays


def _ignore(*_arguments: object) -> None:
    """Does nothing, until there is a listener."""
