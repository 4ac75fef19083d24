"""Handles the messages that an attached receiver sends to its relay."""

from collections.abc import Callable
from typing import Any, Protocol

from bilberry_core.board import Suspect
from bilberry_core.messages.spread import (
    EndpointAnnouncement,
    EndpointKey,
    EndpointRequest,
    LeaseRenewal,
    SnapshotRequest,
    SuspectUpdate,
    VersionReport,
)

from bilberry_spread.directory import RelayDirectory
from bilberry_spread.mesh_receiver import MeshReceiver
from bilberry_spread.receiver import Receiver
from bilberry_spread.reports import apply_report
from bilberry_spread.runtime import Runtime


class SessionListener(Protocol):
    """Callbacks of sessions."""

    def on_joined(self, receiver: Receiver | MeshReceiver) -> None:
        """Called when a receiver has been admitted."""

    def schedule_flush(self) -> None:
        """Called when an update for the receiver is pending."""

    def on_versions_changed(self) -> None:
        """Called when a receiver runs another version."""

    def receive_suspects(
        self,
        suspects: tuple[Suspect, ...],
        *,
        is_local: bool,
    ) -> None:
        """Called with suspects that a receiver reports."""


class Session:
    """The state of one attached receiver.

    `versions` holds the running versions that it reported, by instance, and
    `heard` the monotonic time of its last message.
    """

    def __init__(
        self,
        receiver: Receiver,
        directory: RelayDirectory,
        listener: SessionListener,
        runtime: Runtime,
    ) -> None:
        """Passes endpoints to `directory` and the rest to `listener`."""
        self.receiver = receiver
        self.versions: dict[str, int] = {}
        self.heard = runtime.clock.now()
        self._directory = directory
        self._listener = listener
        self._runtime = runtime
        self._attached = 0

    def receive(self, received: Any) -> None:
        """Handles one message; ignores unknown ones."""
        self.heard = self._runtime.clock.now()
        handler = self._handlers.get(type(received))
        if handler is not None:
            handler(self, received)

    def _handle_announce(self, announce: EndpointAnnouncement) -> None:
        self._attached = announce.attached
        self._directory.announce(announce, self.heard)

    def _handle_renew(self, renew: LeaseRenewal) -> None:
        key = EndpointKey(*renew)
        if not self._directory.renew(key, self._attached, self.heard):
            self.receiver.link.close()

    def _handle_held(self, held: VersionReport) -> None:
        self.versions = apply_report(self.versions, held)
        self._listener.on_versions_changed()

    def _handle_want(self, want: EndpointRequest) -> None:
        self.receiver.add_services(want.services)
        self._listener.schedule_flush()

    def _handle_resend(self, _resend: SnapshotRequest) -> None:
        self.receiver.require_snapshot()
        self._listener.schedule_flush()

    def _handle_suspects(self, update: SuspectUpdate) -> None:
        self._listener.receive_suspects(update.suspects, is_local=True)

    _handlers: dict[type, Callable[..., None]] = {
        EndpointAnnouncement: _handle_announce,
        LeaseRenewal: _handle_renew,
        VersionReport: _handle_held,
        EndpointRequest: _handle_want,
        SnapshotRequest: _handle_resend,
        SuspectUpdate: _handle_suspects,
    }
