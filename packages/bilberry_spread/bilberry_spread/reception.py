"""Receives configurations and beacons; never replaces one by an older one.

Messages that arrive twice, late or out of order change nothing. A delta with
another base, or whose result has another digest, is never applied: the
receiver asks for a snapshot.
"""

from logging import getLogger

from bilberry_core.board import Beacon, Board, ClaimEpoch, SourceStatus
from bilberry_core.configuration import AcceptedVersion
from bilberry_core.messages.spread import (
    ConfigurationDelta,
    ConfigurationSnapshot,
    SnapshotRequest,
)
from bilberry_core.rollout import RolloutTable
from bilberry_core.settings import Peer
from returns.result import Success

from bilberry_spread.delta import apply_delta, read_snapshot_message
from bilberry_spread.runtime import Runtime
from bilberry_spread.staleness import put_stale_since
from bilberry_spread.start import StartGate

_log = getLogger(__name__)


class ConfigurationReceiver:
    """The newest configuration that was received and verified."""

    def __init__(self, held: AcceptedVersion | None = None) -> None:
        """Starts with the configuration `held`, if any."""
        self._held = held

    @property
    def held(self) -> AcceptedVersion | None:
        """The newest configuration received."""
        return self._held

    @property
    def version(self) -> int:
        """The version of the newest configuration; 0 for none."""
        return self._held.version if self._held else 0

    @property
    def digest(self) -> bytes:
        """The digest of the newest configuration; empty for none."""
        return self._held.digest if self._held else b''

    def receive(
        self,
        received: ConfigurationSnapshot | ConfigurationDelta,
    ) -> SnapshotRequest | None:
        """Applies an update; returns a request to send if a delta failed."""
        if received.version <= self.version:
            return None
        if isinstance(received, ConfigurationDelta):
            outcome = apply_delta(self._held, received)
        else:
            outcome = read_snapshot_message(received)
        if isinstance(outcome, Success):
            self._held = outcome.unwrap()
            return None
        is_delta = isinstance(received, ConfigurationDelta)
        _log.warning(
            'update_refused',
            extra={
                'version': received.version,
                'held': self.version,
                'cause': outcome.failure(),
            },
        )
        return SnapshotRequest(self.version, self.digest) if is_delta else None


def is_later_beacon(beacon: Beacon, known: Beacon | None) -> bool:
    """Returns whether a beacon is newer than the newest one known."""
    if known is None:
        return True
    position = (beacon.term, beacon.sequence)
    return position > (known.term, known.sequence)


def is_later_epoch(epoch: ClaimEpoch, known: ClaimEpoch | None) -> bool:
    """Returns whether an epoch is newer than the one known.

    The same epoch is newer once its handover has ended.
    """
    if known is None:
        return True
    position = (epoch.epoch, not epoch.previous)
    return position > (known.epoch, not known.previous)


class Reception:
    """The newest state received from any source, put on the blackboard."""

    def __init__(
        self,
        board: Board,
        gate: StartGate,
        stale_s: float,
        runtime: Runtime,
    ) -> None:
        """Treats a beacon that does not advance for `stale_s` s as stale."""
        self._board = board
        self._gate = gate
        self._stale_s = stale_s
        self._runtime = runtime
        self._receiver = ConfigurationReceiver(board.accepted.value)
        self._last_advance = runtime.clock.now()
        self._behind_since: float | None = None

    @property
    def receiver(self) -> ConfigurationReceiver:
        """The newest configuration received."""
        return self._receiver

    @property
    def gate(self) -> StartGate:
        """The start rule of this daemon."""
        return self._gate

    @property
    def is_stale(self) -> bool:
        """Whether the beacon has not advanced for `stale_s` seconds."""
        return self._runtime.clock.now() - self._last_advance >= self._stale_s

    @property
    def behind_s(self) -> float:
        """Time for which a newer version has not been received, in seconds.

        It starts when a beacon first names a version newer than the received
        one, and is 0 if there is none.
        """
        if self._behind_since is None:
            return 0
        return self._runtime.clock.now() - self._behind_since

    def receive_configuration(
        self,
        received: ConfigurationSnapshot | ConfigurationDelta,
        source: Peer,
    ) -> SnapshotRequest | None:
        """Applies an update; returns a request to send if a delta failed."""
        before = self._receiver.version
        snapshot_request = self._receiver.receive(received)
        version = self._receiver.version
        if received.version <= version:
            self._gate.record_version(source.failure_domain, received.version)
        if version > before:
            _log.info(
                'version_received',
                extra={
                    'version': version,
                    'before': before,
                    'source': source.instance,
                },
            )
        self.tick()
        return snapshot_request

    def is_older(self, beacon: Beacon) -> bool:
        """Returns whether a newer beacon than this one is known."""
        known = self._board.beacon.value
        return known is not None and is_later_beacon(known, beacon)

    def receive_beacon(self, beacon: Beacon, failure_domain: str) -> bool:
        """Handles a beacon; returns whether it is newer than all before."""
        self._gate.record_version(failure_domain, beacon.version)
        later = is_later_beacon(beacon, self._board.beacon.value)
        if later:
            self._last_advance = self._runtime.clock.now()
            self._board.beacon.put(beacon)
        self.tick()
        return later

    def receive_epoch(self, epoch: ClaimEpoch) -> None:
        """Publishes an epoch of claim holders if it is newer."""
        if is_later_epoch(epoch, self._board.claim_epoch.value):
            self._board.claim_epoch.put(epoch)

    def receive_rollouts(self, table: RolloutTable) -> None:
        """Publishes roll-outs that are newer than the known ones."""
        known = self._board.rollouts.value
        if table.number > known.number:
            _log.info(
                'rollouts_received',
                extra={'number': table.number, 'before': known.number},
            )
            self._board.rollouts.put(table)

    def put_source(self, instance: str | None) -> None:
        """Publishes the source that this daemon is attached to, or None."""
        if instance is None:
            self._board.source.put(None)
            return
        now = self._runtime.clock.now()
        self._board.source.put(SourceStatus(instance, now))

    def tick(self) -> None:
        """Checks the start rule; publishes configuration and staleness."""
        now = self._runtime.clock.now()
        held = self._receiver.version
        if self._gate.check(held, now):
            _log.info(
                'start_rule_over',
                extra={
                    'version': held,
                    'highest': self._gate.highest,
                    'heard': sorted(self._gate.heard),
                    'met': self._gate.is_met(held),
                },
            )
        if self._gate.is_open:
            self._put_accepted()
        self._update_behind(now)
        stale_since = self._last_advance if self.is_stale else None
        put_stale_since(self._board, self._runtime, stale_since)

    def _put_accepted(self) -> None:
        accepted = self._receiver.held
        running = self._board.accepted.value
        if accepted is None or accepted is running:
            return
        if running is None or accepted.version > running.version:
            self._board.accepted.put(accepted)
            self._runtime.metrics.gauge('spread.version', accepted.version)

    def _update_behind(self, now: float) -> None:
        beacon = self._board.beacon.value
        if beacon is None or beacon.version <= self._receiver.version:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
