"""The HTTP interface on which an upstream announces itself to its daemon.

`PUT /v1/endpoint` announces an upstream or renews its lease, `DELETE
/v1/endpoint` ends the lease. An upstream that sends no announcement for the
length of a lease is marked as gone.
"""

from asyncio import Server, sleep
from logging import getLogger
from typing import Self

from bilberry_core.announced_state import AnnouncedState, AnnouncedStateTable
from bilberry_core.board import Board
from bilberry_core.clock import MS_PER_S, Clock
from bilberry_core.departure import Departure
from bilberry_core.endpoint import Address, EndpointState
from bilberry_core.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    serve_http,
)
from bilberry_core.json_body import decode_json
from bilberry_core.settings import Settings
from bilberry_core.upstream_notice import UpstreamIdentity

from bilberry_proxy.announcement_body import (
    MAX_BODY_BYTES,
    AnnouncementBody,
)
from bilberry_proxy.own_endpoint import OwnEndpoint
from bilberry_proxy.state_acknowledgement import StateAcknowledgement
from bilberry_proxy.upstream_starts import Timestamp, UpstreamStarts

_log = getLogger(__name__)

_PATH = '/v1/endpoint'
_CHECKS_PER_LEASE = 10


class AnnouncementController:
    """Takes the upstream's announcements, and acknowledges them."""

    def __init__(
        self,
        settings: Settings,
        board: Board,
        clock: Clock,
    ) -> None:
        """Follows what relays tell of the upstream."""
        self._settings = settings
        self._board = board
        self._clock = clock
        self._endpoint = OwnEndpoint(settings, board, clock)
        self._announced_at = clock.now()
        self._server: Server | None = None
        self._starts = UpstreamStarts()
        self._acknowledgement = StateAcknowledgement(settings, board)
        self._drain: AnnouncedState | None = None
        board.told_departure.watch(self._on_told_departure)
        board.told_states.watch(self._on_told_states)

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        board: Board,
        clock: Clock,
    ) -> Self:
        """Builds the controller of one daemon."""
        return cls(settings, board, clock)

    @property
    def address(self) -> Address | None:
        """Address that the interface listens on, None before it does."""
        if self._server is None or not self._server.sockets:
            return None
        bound = self._server.sockets[0].getsockname()
        return Address(bound[0], bound[1])

    async def start(self) -> Address:
        """Starts listening and returns the bound address."""
        listen = self._settings.listen.upstream
        self._server = await serve_http(
            listen,
            self.handle,
            HttpLimits(MAX_BODY_BYTES),
        )
        return self.address

    async def run(self) -> None:
        """Listens and checks the lease until cancelled."""
        if self._server is None and self._settings.listen.upstream:
            await self.start()
        lease_s = self._settings.timing.lease_ms / MS_PER_S
        while True:
            await sleep(lease_s / _CHECKS_PER_LEASE)
            self.check_lease()

    async def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Returns the response to one request of the upstream."""
        if request.target != _PATH:
            return HttpResponse(404, body=f'expected {_PATH}\n'.encode())
        if request.method == 'DELETE':
            upstream_id = self._board.upstream.value.upstream_id
            self.leave(upstream_id)
            return await self._acknowledge(upstream_id)
        if request.method != 'PUT':
            return HttpResponse(405, ((b'allow', b'PUT, DELETE'),))
        try:
            announced = decode_json(request.body, AnnouncementBody)
            self.announce(announced)
        except ValueError as error:
            _log.warning('announcement_refused', extra={'cause': str(error)})
            return HttpResponse(400, body=f'{error}\n'.encode())
        if announced.state is EndpointState.DRAINING:
            return await self._acknowledge(announced.upstream_id)
        return HttpResponse(204)

    async def is_kept(self, upstream_id: str) -> bool:
        """Waits, for a limited time, until what an upstream said is kept.

        A departure or a drain must not be acknowledged before.
        """
        return await self._acknowledgement.wait(upstream_id)

    def leave(self, upstream_id: str = '') -> None:
        """Marks the endpoint as gone if `upstream_id` is the current one."""
        timestamp = Timestamp(self._clock.now(), self._clock.wall_ms())
        is_current = self._starts.end(upstream_id, timestamp)
        departed = self._starts.describe_departure(upstream_id)
        if departed is not None:
            self._acknowledgement.ask(departed)
        if not is_current:
            return
        self._endpoint.put_state(EndpointState.GONE)
        if self._starts.has_left_for_good:
            upstream = self._board.upstream.value
            self._board.departure.put(Departure(upstream, timestamp.now))

    def check_lease(self) -> None:
        """Marks the endpoint as gone once its lease has expired."""
        silent_s = self._clock.now() - self._announced_at
        if silent_s * MS_PER_S > self._settings.timing.lease_ms:
            self._endpoint.put_state(EndpointState.GONE)

    def announce(self, announced: AnnouncementBody) -> bool:
        """Applies an announcement; returns False if it is outdated.

        Raises `ValueError` if the start that it names is yet to come.
        """
        timestamp = Timestamp(self._clock.now(), self._clock.wall_ms())
        self._starts.check(announced, timestamp.wall_ms)
        admitted = self._starts.admit(announced, timestamp)
        if admitted is None:
            _log.info(
                'announcement_late',
                extra={
                    'upstream': announced.upstream_id,
                    'sequence': announced.sequence,
                },
            )
            return False
        self._starts.note(admitted)
        self._note_drain(admitted)
        self._board.upstream_sequence.put(admitted.sequence)
        self._announced_at = timestamp.now
        self._endpoint.announce(admitted)
        return True

    async def _acknowledge(self, upstream_id: str) -> HttpResponse:
        if await self.is_kept(upstream_id):
            return HttpResponse(204)
        return HttpResponse(503, body=b'no replica keeps it yet: send again\n')

    def _note_drain(self, announced: AnnouncementBody) -> None:
        """Has a drain kept, and the end of one that was taken back."""
        upstream = UpstreamIdentity(announced.upstream_id, announced.started_ms)
        if not (all(upstream) and announced.sequence):
            return
        is_draining = announced.state is EndpointState.DRAINING
        has_drained = self._drain and self._drain.upstream == upstream
        if is_draining == bool(has_drained):
            return
        state = AnnouncedState(upstream, announced.sequence, announced.state)
        self._drain = state if is_draining else None
        self._acknowledgement.ask(state)

    def _on_told_departure(self, upstream: UpstreamIdentity | None) -> None:
        """Ends an upstream that left before this daemon was restarted."""
        if upstream is None or upstream != self._board.upstream.value:
            return
        if self._starts.has_left_for_good:
            return
        _log.info(
            'upstream_left_before',
            extra={'upstream': upstream.upstream_id},
        )
        timestamp = Timestamp(self._clock.now(), self._clock.wall_ms())
        self._starts.end(upstream.upstream_id, timestamp)
        self._endpoint.put_state(EndpointState.GONE)

    def _on_told_states(self, states: tuple[AnnouncedState, ...]) -> None:
        """Follows what was acknowledged before this daemon was restarted."""
        self._acknowledgement.resolve(states)
        upstream = self._board.upstream.value
        for one in states:
            table = AnnouncedStateTable(states={one.upstream.upstream_id: one})
            known = table.find(upstream)
            if known is not None and known.binds(self._starts.sequence):
                self._follow_state(known)

    def _follow_state(self, known: AnnouncedState) -> None:
        if known.is_gone:
            self._on_told_departure(known.upstream)
            return
        self._drain = known
        self._starts.note_sequence(known.sequence)
        if self._endpoint.drain():
            _log.info(
                'upstream_drained_before',
                extra={'upstream': known.upstream.upstream_id},
            )
