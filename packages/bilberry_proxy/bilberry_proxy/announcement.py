"""The HTTP interface on which an upstream announces itself to its daemon.

`PUT /v1/endpoint` announces an upstream or renews its lease, `DELETE
/v1/endpoint` ends the lease. An upstream that sends no announcement for the
length of a lease is marked as gone.
"""

from asyncio import Server, sleep
from logging import getLogger
from typing import Self

from bilberry_core.board import Board, Phase, UpstreamCrash
from bilberry_core.clock import MS_PER_S, Clock
from bilberry_core.departure import Departure
from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    serve_http,
)
from bilberry_core.json_body import decode_json
from bilberry_core.rollout import RolloutTable
from bilberry_core.settings import Settings
from bilberry_core.upstream_notice import UpstreamIdentity, UpstreamNotice

from bilberry_proxy.announcement_body import (
    MAX_BODY_BYTES,
    AnnouncementBody,
    parse_address,
)
from bilberry_proxy.endpoint_load import SLOW_START_MS
from bilberry_proxy.upstream_starts import Timestamp, UpstreamStarts

_log = getLogger(__name__)

_PATH = '/v1/endpoint'
_CHECKS_PER_LEASE = 10
_LEAVING = frozenset((Phase.LEAVING, Phase.DRAINING, Phase.STOPPED))


class AnnouncementController:
    """Updates `board.own_endpoint` from the upstream's announcements."""

    def __init__(
        self,
        settings: Settings,
        board: Board,
        clock: Clock,
    ) -> None:
        """Subscribes to the phase and to upstream crashes on the board."""
        self._settings = settings
        self._board = board
        self._clock = clock
        self._incarnation = clock.wall_ms()
        self._announced_at = clock.now()
        self._server: Server | None = None
        self._starts = UpstreamStarts()
        self._announced_state = EndpointState.GONE
        board.phase.watch(self._on_phase_change)
        board.upstream_crash.watch(self._on_crash)
        board.upstream_notice.watch(self._on_notice)
        board.told_departure.watch(self._on_told_departure)
        board.rollouts.watch(self._on_rollouts)

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
            self.leave(self._board.upstream.value.upstream_id)
            return HttpResponse(204)
        if request.method != 'PUT':
            return HttpResponse(405, ((b'allow', b'PUT, DELETE'),))
        try:
            self.announce(decode_json(request.body, AnnouncementBody))
        except ValueError as error:
            _log.warning('announcement_refused', extra={'cause': str(error)})
            return HttpResponse(400, body=f'{error}\n'.encode())
        return HttpResponse(204)

    def leave(self, upstream_id: str = '') -> None:
        """Marks the endpoint as gone if `upstream_id` is the current one."""
        timestamp = Timestamp(self._clock.now(), self._clock.wall_ms())
        if not self._starts.end(upstream_id, timestamp):
            return
        self._put_state(EndpointState.GONE)
        if self._starts.has_left_for_good:
            upstream = self._board.upstream.value
            self._board.departure.put(Departure(upstream, timestamp.now))

    def check_lease(self) -> None:
        """Marks the endpoint as gone once its lease has expired."""
        silent_s = self._clock.now() - self._announced_at
        if silent_s * MS_PER_S > self._settings.timing.lease_ms:
            self._put_state(EndpointState.GONE)

    def announce(self, announced: AnnouncementBody) -> bool:
        """Applies an announcement; returns False if it is outdated.

        Raises `ValueError` if the start that it names is yet to come.
        """
        self._starts.check(announced, self._clock.wall_ms())
        if self._starts.is_late(announced, self._clock.now()):
            _log.info(
                'announcement_late',
                extra={
                    'upstream': announced.upstream_id,
                    'sequence': announced.sequence,
                },
            )
            return False
        self._starts.note(announced)
        self._announced_at = self._clock.now()
        known = self._board.own_endpoint.value
        self._update_incarnation(known, announced)
        self._announced_state = announced.state
        state = announced.state
        is_retired = self._board.rollouts.value.is_retired(
            announced.service, announced.version, self._incarnation
        )
        if _is_leaving(self._board) or is_retired:
            state = EndpointState.DRAINING
        record = Endpoint(
            instance=self._settings.instance,
            incarnation=self._incarnation,
            sequence=known.sequence if known else 0,
            service=announced.service,
            address=self._settings.listen.streams,
            failure_domain=self._settings.failure_domain,
            state=state,
            slots=announced.slots,
            connections=announced.connections,
            since_ms=_compute_since_ms(
                known,
                state,
                announced.cold_ms,
                self._incarnation,
                self._clock.wall_ms(),
            ),
            version=announced.version,
        )
        self._board.upstream_address.put(parse_address(announced.address))
        if record != known:
            self._put(record._replace(sequence=record.sequence + 1))
        return True

    def _update_incarnation(
        self,
        known: Endpoint | None,
        announced: AnnouncementBody,
    ) -> None:
        """Starts a new incarnation if another process announces itself."""
        before = self._board.upstream.value
        identity = UpstreamIdentity(announced.upstream_id, announced.started_ms)
        is_other = identity != before
        is_back = known is not None and known.state is EndpointState.GONE
        if is_other or (is_back and not identity.upstream_id):
            self._board.upstream.put(identity)
        if known is not None and (is_other or is_back):
            # Crashes are distinguished by the incarnation, so a new process
            # needs a new one.
            self._incarnation = max(
                self._incarnation + 1,
                self._clock.wall_ms(),
            )

    def _on_phase_change(self, phase: Phase) -> None:
        if phase in _LEAVING:
            self._put_state(EndpointState.DRAINING)

    def _on_rollouts(self, table: RolloutTable) -> None:
        """Drains a retired upstream, and takes one back that no longer is."""
        known = self._board.own_endpoint.value
        rollout = table.find(known.service) if known else None
        if rollout is None:
            return
        if rollout.is_retired(known.version, known.incarnation):
            self._put_state(EndpointState.DRAINING)
        elif not _is_leaving(self._board):
            self._put_state(self._announced_state)

    def _on_notice(self, notice: UpstreamNotice) -> None:
        if notice.is_leaving:
            self._put_state(EndpointState.DRAINING)

    def _on_told_departure(self, upstream: UpstreamIdentity | None) -> None:
        """Ends an upstream that left before this daemon was restarted."""
        if upstream is None or upstream != self._board.upstream.value:
            return
        _log.info(
            'upstream_left_before',
            extra={'upstream': upstream.upstream_id},
        )
        timestamp = Timestamp(self._clock.now(), self._clock.wall_ms())
        self._starts.end(upstream.upstream_id, timestamp)
        self._put_state(EndpointState.GONE)

    def _on_crash(self, crash: UpstreamCrash | None) -> None:
        if crash is None or crash.address != self._board.upstream_address.value:
            return
        self._put_state(EndpointState.GONE)

    def _put_state(self, state: EndpointState) -> None:
        known = self._board.own_endpoint.value
        if known is None or known.state in {state, EndpointState.GONE}:
            return
        sequence = known.sequence + 1
        self._put(known._replace(state=state, sequence=sequence))

    def _put(self, record: Endpoint) -> None:
        _log.info(
            'endpoint_announced',
            extra={
                'service': record.service,
                'state': record.state.value,
                'sequence': record.sequence,
            },
        )
        self._board.own_endpoint.put(record)


def _is_leaving(board: Board) -> bool:
    """Returns whether this daemon or the upstream beside it is leaving."""
    return (
        board.phase.value in _LEAVING or board.upstream_notice.value.is_leaving
    )


def _compute_since_ms(
    known: Endpoint | None,
    state: EndpointState,
    cold_ms: int | None,
    incarnation: int,
    now_ms: int,
) -> int:
    is_known = known is not None and known.incarnation == incarnation
    if cold_ms is not None and not (is_known and known.state is state):
        return now_ms + cold_ms - SLOW_START_MS
    if known is not None and known.state is state:
        return known.since_ms
    if state is EndpointState.READY:
        return now_ms
    return known.since_ms if known else 0
