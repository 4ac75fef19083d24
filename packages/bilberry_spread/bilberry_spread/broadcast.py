"""Sends changes of a relay's blackboard to its receivers.

Changes within a short interval are coalesced, encoded once and sent in one
flush.
"""

from functools import partial
from typing import Protocol

from bilberry_core.board import Board, Suspect
from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Endpoint
from bilberry_core.settings import Settings

from bilberry_spread.content import BroadcastUpdate, Content
from bilberry_spread.directory import RelayDirectory
from bilberry_spread.history import VersionHistory
from bilberry_spread.mesh_receiver import MeshReceiver
from bilberry_spread.receiver import Receiver
from bilberry_spread.receivers import ReceiverSet
from bilberry_spread.report_cells import ReportCells
from bilberry_spread.runtime import Runtime
from bilberry_spread.suspects import SuspectKey, merge_suspects
from bilberry_spread.updates import EndpointUpdates

#: Interval in which changes are coalesced into one update, in seconds.
COALESCE_S = 0.01


class RelayListener(Protocol):
    """Callbacks about the relays that subscribe to this one."""

    def on_relay_heard(self, instance: str) -> None:
        """Called when a relay has joined or asks to be dialed."""

    def on_relay_left(self, instance: str) -> None:
        """Called when the stream of a relay has ended."""


class Broadcast:
    """The state that a relay distributes, and its receivers."""

    def __init__(
        self,
        settings: Settings,
        board: Board,
        runtime: Runtime,
        mesh: RelayListener,
    ) -> None:
        """Tells `mesh` about the relays that join and leave."""
        self._mesh = mesh
        self._board = board
        self._runtime = runtime
        self._directory = RelayDirectory(
            settings.instance,
            settings.timing.lease_ms / MS_PER_S,
            self._on_endpoint_changed,
        )
        self._receivers = ReceiverSet(
            settings, self._directory, self, runtime, ReportCells(board)
        )
        self._content = Content(
            VersionHistory(),
            EndpointUpdates(self._directory.table, settings.instance),
            board.suspects.value,
        )
        self._is_scheduled = False
        self._has_new_endpoints = False
        self._has_new_versions = True

    @property
    def directory(self) -> RelayDirectory:
        """The endpoint records that the relay knows."""
        return self._directory

    @property
    def receivers(self) -> ReceiverSet:
        """The receivers that are attached."""
        return self._receivers

    def start(self) -> None:
        """Starts to watch the blackboard for changes to distribute."""
        board = self._board
        watched = (
            (board.accepted, self._on_update),
            (board.beacon, self._on_update),
            (board.claim_epoch, self._on_update),
            (board.own_endpoint, self._on_own_endpoint),
            (board.suspects, partial(self._put_suspects, is_local=True)),
        )
        for cell, watcher in watched:
            cell.watch(watcher)
            watcher(cell.value)
        board.snapshot.watch(lambda _snapshot: self.on_versions_changed())
        board.rollouts.watch(self._on_update)
        if board.rollouts.value.number:
            self._on_update(board.rollouts.value)

    def pop_versions_changed(self) -> bool:
        """Returns whether running versions changed since the last call."""
        changed = self._has_new_versions
        self._has_new_versions = False
        return changed

    def complete(self) -> None:
        """Marks updates of whole services as complete from now on."""
        if self._content.is_complete:
            return
        self._content = self._content._replace(is_complete=True)
        self._receivers.mark_complete()
        self.schedule_flush()

    def on_joined(self, receiver: Receiver | MeshReceiver) -> None:
        """Schedules everything that a new receiver needs."""
        if isinstance(receiver, MeshReceiver):
            self._mesh.on_relay_heard(receiver.instance)
        receiver.mark_suspects(set(self._content.suspects))
        self.on_versions_changed()
        self.schedule_flush()

    def on_relay_heard(self, instance: str) -> None:
        """Called when a subscribed relay asks to be dialed."""
        self._mesh.on_relay_heard(instance)

    def on_relay_left(self, instance: str) -> None:
        """Called when the stream of a subscribed relay has ended."""
        self._mesh.on_relay_left(instance)

    def on_versions_changed(self) -> None:
        """Records that a receiver runs another version."""
        self._has_new_versions = True

    def receive_suspects(
        self,
        suspects: tuple[Suspect, ...],
        *,
        is_local: bool,
    ) -> None:
        """Merges suspects from a receiver or from another relay.

        `is_local` says that a receiver reported them, so that they are
        forwarded to other relays too.
        """
        merged = merge_suspects(
            self._board.suspects.value,
            suspects,
            self._runtime.clock.wall_ms(),
        )
        self._put_suspects(merged, is_local=is_local)
        self._board.suspects.put(merged)

    def tick(self) -> None:
        """Drops silent receivers, expires suspects and flushes."""
        self._receivers.drop_silent()
        if self._content.suspects:
            self.receive_suspects((), is_local=False)
        self.flush()

    def schedule_flush(self) -> None:
        """Schedules a flush after `COALESCE_S`, unless one is pending."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._runtime.scheduler.call_later(COALESCE_S, self.flush)

    def flush(self) -> None:
        """Sends pending updates to every receiver that is writable."""
        self._is_scheduled = False
        if self._has_new_endpoints:
            self._has_new_endpoints = False
            self._board.endpoints.put(self._directory.table.endpoints)
        self._receivers.flush(self._content)

    def _on_update(self, update: BroadcastUpdate | None) -> None:
        if update is not None:
            self._content = self._content.with_update(update)
            self.schedule_flush()

    def _on_own_endpoint(self, endpoint: Endpoint | None) -> None:
        if endpoint is not None:
            self._directory.put_own(
                endpoint,
                self._runtime.clock.now(),
                self._board.upstream.value,
                self._board.upstream_sequence.value,
            )

    def _put_suspects(
        self,
        suspects: dict[SuspectKey, Suspect],
        *,
        is_local: bool,
    ) -> None:
        known = self._content.suspects
        new = {
            key
            for key, suspect in suspects.items()
            if known.get(key) != suspect
        }
        self._content = self._content._replace(suspects=suspects)
        if new:
            self._receivers.mark_suspects(new, is_local=is_local)
            self.schedule_flush()

    def _on_endpoint_changed(self, endpoint: Endpoint, is_local: bool) -> None:
        self._has_new_endpoints = True
        self._receivers.mark_endpoint(endpoint, is_local=is_local)
        self.schedule_flush()
