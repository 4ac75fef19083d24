"""Handles the messages that an attached receiver sends to its relay."""

from collections.abc import Callable
from logging import getLogger
from typing import Any, NamedTuple, Protocol

from bilberry_core.announced_state import AnnouncedState
from bilberry_core.board import Suspect
from bilberry_core.messages.allowance import AllowanceReport
from bilberry_core.messages.announced_state import AnnouncedStateUpdate
from bilberry_core.messages.registry import RefusedMessage
from bilberry_core.messages.spread import (
    Attach,
    DepartureUpdate,
    EndpointAnnouncement,
    EndpointKey,
    EndpointRequest,
    LeaseRenewal,
    RolloutReportUpdate,
    SnapshotRequest,
    SuspectUpdate,
    VersionReport,
)
from bilberry_core.upstream_notice import UpstreamIdentity

from bilberry_spread.directory import RelayDirectory
from bilberry_spread.mesh_receiver import MeshReceiver
from bilberry_spread.receiver import Receiver
from bilberry_spread.report_cells import ReportCells
from bilberry_spread.reports import apply_report
from bilberry_spread.rollout_reports import RolloutReports
from bilberry_spread.runtime import Runtime, send_if_open

_log = getLogger(__name__)


class SessionListener(Protocol):
    """Callbacks of sessions."""

    def on_joined(self, receiver: Receiver | MeshReceiver) -> None:
        """Called when a receiver has been admitted."""

    def schedule_flush(self) -> None:
        """Called when an update for the receiver is pending."""

    def on_relay_heard(self, instance: str) -> None:
        """Called when a subscribed relay asks to be dialed."""

    def on_relay_left(self, instance: str) -> None:
        """Called when the stream of a subscribed relay has ended."""

    def on_versions_changed(self) -> None:
        """Called when a receiver runs another version."""

    def receive_suspects(
        self,
        suspects: tuple[Suspect, ...],
        *,
        is_local: bool,
    ) -> None:
        """Called with suspects that a receiver reports."""


class Reports(NamedTuple):
    """Where the reports of receivers go that are meant for the leader."""

    rollouts: RolloutReports
    allowances: ReportCells


class Session:
    """The state of one attached receiver.

    `versions` holds the running versions that it reported, by instance,
    `heard` the monotonic time of its last message, and `upstream` the start of
    the upstream that it announced last.
    """

    def __init__(
        self,
        receiver: Receiver,
        directory: RelayDirectory,
        listener: SessionListener,
        runtime: Runtime,
        reports: Reports,
    ) -> None:
        """Passes endpoints to `directory`, and most to `listener`."""
        self._reports = reports
        self.receiver = receiver
        self.versions: dict[str, int] = {}
        self.heard = runtime.clock.now()
        self.upstream = UpstreamIdentity()
        self._directory = directory
        self._listener = listener
        self._runtime = runtime
        self._attached = 0
        self._is_refused = False

    @property
    def instance(self) -> str:
        """The daemon that is attached."""
        return self.receiver.instance

    def receive(self, received: Any) -> None:
        """Handles one message; ignores unknown ones."""
        self.heard = self._runtime.clock.now()
        handler = self._handlers.get(type(received))
        if handler is not None:
            handler(self, received)

    def tell_departure(self) -> None:
        """Tells the receiver that the upstream beside it has left before."""
        _log.info(
            'departure_told',
            extra={
                'receiver': self.receiver.instance,
                'upstream': self.upstream.upstream_id,
            },
        )
        send_if_open(self.receiver.link, DepartureUpdate((self.upstream,)))

    def send_states(self, states: tuple[AnnouncedState, ...]) -> None:
        """Tells the receiver states of upstreams that are kept."""
        send_if_open(self.receiver.link, AnnouncedStateUpdate(states))

    def _handle_announcement(self, announcement: EndpointAnnouncement) -> None:
        self._is_refused = False
        self._attached = announcement.attached
        self.upstream = announcement.upstream
        if not self._directory.announce(announcement, self.heard):
            self._tell_outdated()

    def _tell_outdated(self) -> None:
        known = self._directory.departures.kept.find(self.upstream)
        if known is None:
            self.tell_departure()
        else:
            self.send_states((known,))

    def _handle_states(self, update: AnnouncedStateUpdate) -> None:
        self._directory.departures.on_ask(self, update.states)

    def _handle_departures(self, update: DepartureUpdate) -> None:
        self._directory.departures.add(
            update.upstreams, self.heard, is_local=True
        )

    def _handle_refused(self, _refused: RefusedMessage) -> None:
        self._is_refused = True

    def _handle_renewal(self, renewal: LeaseRenewal) -> None:
        if self._is_refused:
            # The record would be refused again after a new attachment.
            return
        key = EndpointKey(*renewal)
        if not self._directory.renew(key, self._attached, self.heard):
            self.receiver.link.close()

    def _handle_version_report(self, held: VersionReport) -> None:
        if self.receiver.is_standby:
            self.receiver.hold(max(held.versions.values(), default=0))
            return
        before = self.versions
        self.versions = apply_report(before, held)
        if self.versions != before:
            self._listener.on_versions_changed()

    def _handle_endpoint_request(self, want: EndpointRequest) -> None:
        self.receiver.add_services(want.services)
        self._listener.schedule_flush()

    def _handle_snapshot_request(
        self, _snapshot_request: SnapshotRequest
    ) -> None:
        self.receiver.require_snapshot()
        self._listener.schedule_flush()

    def _handle_attach(self, _attach: Attach) -> None:
        self.receiver.attach()
        self._listener.schedule_flush()

    def _handle_suspects(self, update: SuspectUpdate) -> None:
        self._listener.receive_suspects(update.suspects, is_local=True)

    def _handle_rollout_report(self, update: RolloutReportUpdate) -> None:
        self._reports.rollouts.add(update.report)

    def _handle_allowance_report(self, report: AllowanceReport) -> None:
        self._reports.allowances.put(self.receiver.instance, report)

    _handlers: dict[type, Callable[..., None]] = {
        AllowanceReport: _handle_allowance_report,
        AnnouncedStateUpdate: _handle_states,
        Attach: _handle_attach,
        DepartureUpdate: _handle_departures,
        EndpointAnnouncement: _handle_announcement,
        LeaseRenewal: _handle_renewal,
        RefusedMessage: _handle_refused,
        RolloutReportUpdate: _handle_rollout_report,
        VersionReport: _handle_version_report,
        EndpointRequest: _handle_endpoint_request,
        SnapshotRequest: _handle_snapshot_request,
        SuspectUpdate: _handle_suspects,
    }
