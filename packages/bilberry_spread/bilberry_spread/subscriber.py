"""Attaches a daemon that is not a relay to a relay.

The controller announces the daemon's upstream on every change and renews its
lease, subscribes to the endpoints of the services that the proxy routes to,
and puts the state received from the relay on the blackboard.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

from bilberry_core.announced_state import AnnouncedState
from bilberry_core.board import Board, Cell, ClaimEpoch
from bilberry_core.clock import MS_PER_S
from bilberry_core.departure import Departure
from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.allowance import (
    AllowanceAnswer,
    AllowanceOffer,
)
from bilberry_core.messages.announced_state import AnnouncedStateUpdate
from bilberry_core.messages.spread import (
    DepartureUpdate,
    EndpointAnnouncement,
    EndpointRequest,
    EndpointUpdate,
    LeaseRenewal,
    RolloutReportUpdate,
    SuspectUpdate,
    VersionReport,
)
from bilberry_core.settings import Peer, Settings

from bilberry_spread.attachment import Attachment
from bilberry_spread.endpoint_feed import EndpointFeed
from bilberry_spread.members import list_replicas
from bilberry_spread.ranking import rank_relays
from bilberry_spread.reception import Reception
from bilberry_spread.runtime import Runtime
from bilberry_spread.source import Source
from bilberry_spread.start import StartGate
from bilberry_spread.suspect_feed import SuspectFeed
from bilberry_spread.ticker import Ticker


class SubscriberController:
    """Controller that keeps one daemon attached to a relay."""

    def __init__(
        self,
        settings: Settings,
        board: Board,
        runtime: Runtime,
    ) -> None:
        """Reads and writes `board`; starts unattached."""
        self._settings = settings
        self._board = board
        self._runtime = runtime
        timing = settings.timing
        relays = self._rank(settings.relays)
        reception = Reception(
            board,
            StartGate(relays),
            timing.stale_ms / MS_PER_S,
            runtime,
        )
        self._attachment = Attachment(
            settings,
            relays,
            reception,
            runtime,
            self,
        )
        self._endpoints = EndpointFeed(
            board,
            timing.lease_ms / MS_PER_S,
            runtime.clock,
        )
        self._suspects = SuspectFeed(board, runtime.clock)
        self._attached = 0
        self._ticker = Ticker(self.tick)
        self._next_renewal = runtime.clock.now()
        self._handlers: dict[type, Callable[[Any], None]] = {
            EndpointUpdate: self._endpoints.receive,
            SuspectUpdate: self._suspects.receive,
            DepartureUpdate: partial(_put_departures, board),
            AnnouncedStateUpdate: partial(_put_states, board),
            AllowanceOffer: board.allowance_offer.put,
            AllowanceAnswer: board.allowance_answer.put,
        }

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        board: Board,
        runtime: Runtime,
    ) -> 'SubscriberController':
        """Returns the controller of a daemon that is not a relay."""
        return cls(settings, board, runtime)

    @property
    def attachment(self) -> Attachment:
        """The streams to relays."""
        return self._attachment

    async def run(self) -> None:
        """Stays attached until `stop`, also while the daemon drains."""
        self.start()
        await self._ticker.run()

    async def stop(self) -> None:
        """Closes the streams."""
        self._ticker.stop()
        self._runtime.dialer.close()
        self._attachment.stop()

    def start(self) -> None:
        """Starts to watch the blackboard for state to send to the relay."""
        board = self._board
        for cell in (board.own_endpoint, board.departure):
            cell.watch(partial(_announce_own, self._announce, board))
        watchers: tuple[tuple[Cell[Any], Callable[[Any], None]], ...] = (
            (board.unkept_states, partial(_send_states, self._send)),
            (
                board.requested_services,
                lambda _services: self._send_requested_services(),
            ),
            (board.snapshot, lambda _snapshot: self._send_running_version()),
            (board.suspects, lambda _suspects: self._send_suspects()),
            (
                board.rollout_evidence,
                lambda report: self._send(RolloutReportUpdate(report)),
            ),
            (board.allowance_report, self._send),
        )
        for watched, watcher in watchers:
            watched.watch(watcher)
        board.attached_report.watch(
            lambda attached: self._send(attached.report),
        )
        if self._settings.discovers_relays:
            board.claim_epoch.watch(self._update_members)

    def tick(self) -> None:
        """Maintains the attachment, renews the lease, expires records."""
        self._attachment.tick()
        now = self._runtime.clock.now()
        if now >= self._next_renewal:
            self._renew(now)
        self._suspects.expire()
        if self._board.stale_since.value is None:
            self._endpoints.expire()

    def attached(self, source: Source) -> None:
        """Sends the complete state of this daemon to the new relay."""
        wall_ms = self._runtime.clock.wall_ms()
        self._attached = max(self._attached + 1, wall_ms)
        self._send_requested_services()
        _send_states(self._send, self._board.unkept_states.value)
        self._announce(self._board.own_endpoint.value)
        self._send_running_version()
        self._suspects.restart()
        self._send_suspects()

    def receive(self, received: Any) -> None:
        """Handles what a relay tells; ignores the rest."""
        handler = self._handlers.get(type(received))
        if handler is not None:
            handler(received)

    def _update_members(self, epoch: ClaimEpoch | None) -> None:
        peers = list_replicas(epoch)
        if peers:
            self._attachment.replace_peers(self._rank(peers))

    def _rank(self, relays: tuple[Peer, ...]) -> tuple[Peer, ...]:
        settings = self._settings
        return rank_relays(settings.instance, settings.failure_domain, relays)

    def _send(self, sent: Any) -> None:
        main = self._attachment.main
        if main is not None:
            main.send(sent)

    def _announce(self, endpoint: Endpoint | None) -> None:
        if endpoint is None:
            return
        now = self._runtime.clock.now()
        departure = self._board.departure.value
        if departure is not None and departure.is_kept(now):
            self._send(DepartureUpdate((departure.upstream,)))
        self._send(
            EndpointAnnouncement(
                endpoint,
                self._attached,
                self._board.upstream.value,
                self._board.upstream_sequence.value,
            ),
        )
        self._schedule_renewal(now)

    def _renew(self, now: float) -> None:
        endpoint = self._board.own_endpoint.value
        if endpoint is None:
            self._send(VersionReport({}))
        else:
            self._send(
                LeaseRenewal(
                    endpoint.instance,
                    endpoint.incarnation,
                    endpoint.sequence,
                ),
            )
        self._attachment.heartbeat(VersionReport({}))
        self._schedule_renewal(now)

    def _schedule_renewal(self, now: float) -> None:
        self._next_renewal = now + self._settings.timing.renew_ms / MS_PER_S

    def _send_requested_services(self) -> None:
        services = self._board.requested_services.value
        if services:
            self._send(EndpointRequest(tuple(sorted(services))))

    def _send_running_version(self) -> None:
        snapshot = self._board.snapshot.value
        if snapshot is not None:
            self._send(
                VersionReport({self._settings.instance: snapshot.version})
            )

    def _send_suspects(self) -> None:
        new = self._suspects.collect_new()
        if new:
            self._send(SuspectUpdate(new))


def _announce_own(
    announce: Callable[[Endpoint | None], None],
    board: Board,
    _changed: Endpoint | Departure | None,
) -> None:
    announce(board.own_endpoint.value)


def _send_states(
    send: Callable[[Any], None], states: tuple[AnnouncedState, ...]
) -> None:
    if states:
        send(AnnouncedStateUpdate(states))


def _put_states(board: Board, update: AnnouncedStateUpdate) -> None:
    board.told_states.put(update.states)


def _put_departures(board: Board, update: DepartureUpdate) -> None:
    for upstream in update.upstreams:
        board.told_departure.put(upstream)
