"""Distributes configurations and endpoints to the proxies of a relay.

The controller accepts streams from proxies and from other relays, and keeps a
stream to each other relay. On a daemon that is not a replica it also attaches
to a replica, as a proxy attaches to a relay.
"""

from logging import getLogger
from typing import Any

from bilberry_core.board import Board, ClaimEpoch
from bilberry_core.clock import MS_PER_S
from bilberry_core.handshake import Purpose
from bilberry_core.listener import StreamListener
from bilberry_core.messages.spread import (
    EndpointUpdate,
    RolloutReportUpdate,
    SuspectUpdate,
    VersionReport,
)
from bilberry_core.settings import Peer, Role, Settings

from bilberry_spread.allowance_routes import AllowanceRoutes
from bilberry_spread.backoff import MAX_DELAY_S
from bilberry_spread.broadcast import Broadcast
from bilberry_spread.departure_routes import DepartureRoutes
from bilberry_spread.members import list_replicas
from bilberry_spread.mesh_set import MeshSet
from bilberry_spread.relay_source import RelaySource
from bilberry_spread.reports import apply_report
from bilberry_spread.runtime import Link, Runtime
from bilberry_spread.staleness import BeaconMonitor
from bilberry_spread.state_routes import StateRoutes
from bilberry_spread.ticker import Ticker

#: Interval between ticks above which the process counts as paused, in seconds.
MAX_TICK_INTERVAL_S = 1.0
#: Time within which proxies reconnect to a relay after its start, in seconds;
#: the duration of a lease is added.
RECONNECT_S = MAX_DELAY_S


_log = getLogger(__name__)


class RelayController:
    """Controller that exchanges state with proxies, relays and replicas.

    A replica runs it too: other relays get their configuration from it.
    """

    def __init__(
        self,
        settings: Settings,
        board: Board,
        runtime: Runtime,
    ) -> None:
        """Reads and writes `board`; opens no stream before the first tick."""
        self._settings = settings
        self._board = board
        self._runtime = runtime
        self._mesh = MeshSet(settings, runtime, self._receive)
        self._broadcast = Broadcast(settings, board, runtime, self._mesh)
        self._mesh.update_peers(list_mesh_peers(settings))
        self._allowances = AllowanceRoutes(
            settings.instance,
            board,
            runtime.scheduler,
            self._mesh,
            self._broadcast.receivers.attached,
        )
        self._departures = DepartureRoutes(
            board,
            runtime,
            self._broadcast.directory.departures,
            self._broadcast.receivers.attached,
            self._broadcast.schedule_flush,
        )
        self._source: RelaySource | None = None
        if Role.REPLICA not in settings.roles:
            self._source = RelaySource(
                settings,
                board,
                self._broadcast,
                runtime,
            )
        self._states = StateRoutes(
            board,
            runtime,
            self._broadcast.directory.departures,
            self._broadcast.receivers.attached,
            self._source,
        )
        if self._source is not None:
            self._source.on_states = self._states.confirm
            self._source.on_attached = self._states.ask_again
        self._beacon_monitor = BeaconMonitor(settings, board, runtime)
        self._started = runtime.clock.now()
        self._next_heartbeat = self._started
        self._last_tick = self._started
        self._ticker = Ticker(self.tick)
        self._reports: dict[str, dict[str, int]] = {}

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        board: Board,
        listener: StreamListener,
        runtime: Runtime,
    ) -> 'RelayController':
        """Returns the controller of a daemon, registered at `listener`."""
        controller = cls(settings, board, runtime)
        listener.handle(Purpose.SPREAD, controller.accept)
        return controller

    @property
    def broadcast(self) -> Broadcast:
        """The state that this relay distributes."""
        return self._broadcast

    async def run(self) -> None:
        """Runs until `stop`, also while the daemon drains."""
        self.start()
        await self._ticker.run()

    async def stop(self) -> None:
        """Flushes pending updates and closes every stream."""
        self._ticker.stop()
        self._runtime.dialer.close()
        self._broadcast.flush()
        self._broadcast.receivers.stop()
        self._mesh.stop()
        if self._source is not None:
            self._source.attachment.stop()

    def start(self) -> None:
        """Starts to watch the blackboard."""
        self._broadcast.start()
        self._departures.start()
        self._states.start()
        self._allowances.start()
        self._board.rollout_evidence.watch(
            self._broadcast.receivers.rollout_reports.add,
        )
        if self._settings.discovers_relays:
            self._board.claim_epoch.watch(self._update_members)
            self._update_members(self._board.claim_epoch.value)

    def accept(self, link: Link) -> None:
        """Accepts a stream of a proxy or another relay."""
        self._broadcast.receivers.accept(link)

    def tick(self) -> None:
        """Dials, expires leases, reports versions and flushes updates."""
        self._detect_pause()
        self._mesh.tick()
        if self._source is None:
            self._beacon_monitor.tick()
        else:
            self._source.tick()
        self._complete_after_start()
        self._expire_leases()
        self._report()
        self._broadcast.tick()

    @property
    def _is_stale(self) -> bool:
        return self._board.stale_since.value is not None

    def _update_members(self, epoch: ClaimEpoch | None) -> None:
        peers = list_replicas(epoch)
        now = self._runtime.clock.now()
        for dropped in self._mesh.update_peers(peers) if peers else ():
            self._broadcast.directory.start_leases_of(dropped, now)

    def _receive(self, peer: Peer, received: Any) -> None:
        if isinstance(received, EndpointUpdate):
            mesh_peer = self._mesh.find(peer.instance)
            if mesh_peer is None:
                return
            is_full_set = not mesh_peer.is_synced
            mesh_peer.is_synced = True
            self._broadcast.directory.receive_peer_update(
                peer.instance,
                received,
                self._runtime.clock.now(),
                is_full_set=is_full_set,
            )
        elif isinstance(received, SuspectUpdate):
            self._broadcast.receive_suspects(received.suspects, is_local=False)
        elif isinstance(received, RolloutReportUpdate):
            self._board.rollout_reports.put(received.report)
        elif isinstance(received, VersionReport):
            known = self._reports.get(peer.instance, {})
            self._reports[peer.instance] = apply_report(known, received)
            self._broadcast.on_versions_changed()
        else:
            self._departures.receive(received)
            self._allowances.receive(peer.instance, received)

    def _detect_pause(self) -> None:
        now = self._runtime.clock.now()
        pause_s = now - self._last_tick
        self._last_tick = now
        if pause_s > MAX_TICK_INTERVAL_S:
            self._broadcast.directory.table.extend_leases(pause_s)
            _log.warning('process_paused', extra={'seconds': pause_s})

    def _complete_after_start(self) -> None:
        lease_s = self._settings.timing.lease_ms / MS_PER_S
        waited = self._runtime.clock.now() - self._started
        if waited >= RECONNECT_S + lease_s:
            self._broadcast.complete()

    def _expire_leases(self) -> None:
        now = self._runtime.clock.now()
        directory = self._broadcast.directory
        for peer in self._mesh:
            if not peer.is_open:
                directory.start_leases_of(peer.peer.instance, now)
        ended = directory.expire(now, local_only=self._is_stale)
        if ended:
            self._runtime.metrics.incr('spread.leases_ended', len(ended))
            instances = [endpoint.instance for endpoint in ended]
            _log.info('leases_ended', extra={'instances': instances})

    def _report(self) -> None:
        self._report_rollouts()
        if self._broadcast.pop_versions_changed():
            self._put_proxies()
        now = self._runtime.clock.now()
        if now < self._next_heartbeat:
            return
        self._next_heartbeat = now + self._settings.timing.renew_ms / MS_PER_S
        blocked = self._broadcast.receivers.blocked
        self._runtime.metrics.gauge('spread.receivers_blocked', blocked)
        for relay in self._broadcast.receivers.relays:
            relay.send_heartbeat()

    def _report_rollouts(self) -> None:
        report = self._broadcast.receivers.rollout_reports.pop()
        if report is None:
            return
        if self._source is not None:
            # The replica forwards it to the others.
            self._source.report_rollouts(report)
            return
        self._board.rollout_reports.put(report)
        for relay in self._broadcast.receivers.relays:
            relay.report_rollouts(report)

    def _put_proxies(self) -> None:
        attached_versions = self._broadcast.receivers.versions
        self._runtime.metrics.gauge('spread.receivers', len(attached_versions))
        snapshot = self._board.snapshot.value
        if snapshot is not None and Role.PROXY in self._settings.roles:
            attached_versions[self._settings.instance] = snapshot.version
        if self._source is not None:
            self._source.report(attached_versions)
        replicas = {peer.instance for peer in self._settings.replicas}
        for relay in self._broadcast.receivers.relays:
            if relay.instance in replicas:
                relay.report(attached_versions)
        all_versions = dict(attached_versions)
        for report in self._reports.values():
            for instance, version in report.items():
                all_versions[instance] = max(
                    version, all_versions.get(instance, 0)
                )
        self._board.proxies.put(all_versions)


def list_mesh_peers(settings: Settings) -> tuple[Peer, ...]:
    """Returns the daemons whose endpoints and reports this one receives.

    A replica that is neither relay nor proxy receives them only from other
    replicas.
    """
    peers = {peer.instance: peer for peer in settings.replicas}
    if settings.roles & {Role.RELAY, Role.PROXY}:
        peers.update((peer.instance, peer) for peer in settings.relays)
    peers.pop(settings.instance, None)
    return tuple(peers.values())
