"""The record of the endpoint beside this daemon.

Only this daemon writes it. It follows what the upstream announces, what its
responses say, whether it crashed, and whether this daemon leaves.
"""

from logging import getLogger

from bilberry_core.board import Board, Phase, UpstreamCrash
from bilberry_core.clock import Clock
from bilberry_core.endpoint import Endpoint, EndpointState
from bilberry_core.rollout import RolloutTable
from bilberry_core.settings import Settings
from bilberry_core.upstream_notice import UpstreamIdentity, UpstreamNotice

from bilberry_proxy.announcement_body import AnnouncementBody, parse_address
from bilberry_proxy.endpoint_load import SLOW_START_MS

_log = getLogger(__name__)

_LEAVING = frozenset((Phase.LEAVING, Phase.DRAINING, Phase.STOPPED))


class OwnEndpoint:
    """Writes `board.own_endpoint`, and the upstream's identity and address."""

    def __init__(self, settings: Settings, board: Board, clock: Clock) -> None:
        """Subscribes to the board."""
        self._settings = settings
        self._board = board
        self._clock = clock
        self._incarnation = clock.wall_ms()
        self._announced_state = EndpointState.GONE
        board.phase.watch(self._on_phase_change)
        board.upstream_crash.watch(self._on_crash)
        board.upstream_notice.watch(self._on_notice)
        board.rollouts.watch(self._on_rollouts)

    def announce(self, announced: AnnouncementBody) -> None:
        """Writes the record that an announcement results in."""
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

    def drain(self) -> bool:
        """Drains an upstream that had said so; False if it is known to."""
        is_new = self._announced_state is not EndpointState.DRAINING
        self._announced_state = EndpointState.DRAINING
        self.put_state(EndpointState.DRAINING)
        return is_new

    def put_state(self, state: EndpointState) -> None:
        """Writes the record with another state, unless it is gone."""
        known = self._board.own_endpoint.value
        if known is None or known.state in {state, EndpointState.GONE}:
            return
        sequence = known.sequence + 1
        self._put(known._replace(state=state, sequence=sequence))

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
            self.put_state(EndpointState.DRAINING)

    def _on_rollouts(self, table: RolloutTable) -> None:
        """Drains a retired upstream, and takes one back that no longer is."""
        known = self._board.own_endpoint.value
        rollout = table.find(known.service) if known else None
        if rollout is None:
            return
        if rollout.is_retired(known.version, known.incarnation):
            self.put_state(EndpointState.DRAINING)
        elif not _is_leaving(self._board):
            self.put_state(self._announced_state)

    def _on_notice(self, notice: UpstreamNotice) -> None:
        if notice.is_leaving:
            self.put_state(EndpointState.DRAINING)

    def _on_crash(self, crash: UpstreamCrash | None) -> None:
        if crash is None or crash.address != self._board.upstream_address.value:
            return
        self.put_state(EndpointState.GONE)

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
