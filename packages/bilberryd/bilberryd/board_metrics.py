"""Gauges that report the state on a daemon's blackboard."""

from collections import Counter

from bilberry_core.board import Beacon, Board
from bilberry_core.clock import Clock
from bilberry_core.endpoint import EndpointState
from bilberry_core.metric import Metrics
from bilberry_core.snapshot import Snapshot

#: Value of a gauge that only the leader of the replicas knows, elsewhere.
_UNKNOWN = -1


class BoardMetrics:
    """The gauges for the state on a blackboard, set before each scrape."""

    def __init__(self, board: Board, clock: Clock, metrics: Metrics) -> None:
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self._version = 0
        self._version_since = clock.now()
        self._beacon_since = clock.now()
        self._sources: set[str] = set()
        board.snapshot.watch(self._note_version)
        board.beacon.watch(self._note_beacon)

    def refresh(self) -> None:
        """Sets every gauge to the current state."""
        self._set_version_gauges()
        self._set_source_gauges()
        self._set_replica_gauges()
        self._set_endpoint_gauges()
        for purpose, reading in self._board.traffic.read().items():
            self._metrics.gauge(f'bytes.sent.{purpose}', reading.sent)
            self._metrics.gauge(f'bytes.received.{purpose}', reading.received)
            self._metrics.gauge(f'records.refused.{purpose}', reading.refused)

    def _set_version_gauges(self) -> None:
        board = self._board
        snapshot = board.snapshot.value
        accepted = board.accepted.value
        stale_since = board.stale_since.value
        stale_s: float = 0
        if stale_since is not None:
            stale_s = self._clock.now() - stale_since
        running = snapshot.version if snapshot else 0
        known = accepted.version if accepted else 0
        self._metrics.gauge('version.running', running)
        self._metrics.gauge('version.accepted', known)
        self._metrics.gauge('version.stale_seconds', stale_s)
        now = self._clock.now()
        self._metrics.gauge('version.age_seconds', now - self._version_since)
        beacon_s = now - self._beacon_since
        self._metrics.gauge('version.beacon_age_seconds', beacon_s)

    def _note_version(self, snapshot: Snapshot | None) -> None:
        version = snapshot.version if snapshot else 0
        if version != self._version:
            self._version = version
            self._version_since = self._clock.now()

    def _note_beacon(self, _beacon: Beacon | None) -> None:
        self._beacon_since = self._clock.now()

    def _set_source_gauges(self) -> None:
        source = self._board.source.value
        attached = source.instance if source else ''
        if attached:
            self._sources.add(attached)
        for instance in self._sources:
            is_attached = int(instance == attached)
            self._metrics.gauge(f'source.attached.{instance}', is_attached)

    def _set_replica_gauges(self) -> None:
        status = self._board.replica.value
        if status is None:
            return
        self._metrics.gauge('replica.term', status.term)
        self._metrics.gauge('replica.commit', status.commit)
        self._metrics.gauge('replica.leads', int(status.is_leader))
        self._metrics.gauge('replica.members', len(status.members))
        self._metrics.gauge('replica.voters', status.voters)
        is_known = status.spare_losses is not None
        silent = len(status.silent) if is_known else _UNKNOWN
        spare_losses = status.spare_losses if is_known else _UNKNOWN
        self._metrics.gauge('replica.silent', silent)
        self._metrics.gauge('replica.spare_losses', spare_losses)
        self._metrics.gauge('replica.disk_stalled', int(status.disk_stalled))
        kept = len(self._board.kept_states.value.states)
        self._metrics.gauge('replica.states_kept', kept)

    def _set_endpoint_gauges(self) -> None:
        endpoints = self._board.endpoints.value.values()
        counts = Counter(endpoint.state for endpoint in endpoints)
        for state in EndpointState:
            self._metrics.gauge(f'endpoints.known.{state}', counts[state])
        unkept = len(self._board.unkept_states.value)
        self._metrics.gauge('endpoints.states_unkept', unkept)
