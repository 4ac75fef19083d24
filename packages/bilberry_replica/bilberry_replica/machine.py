"""The state machine of a replica: its register and its snapshots."""

from collections.abc import Callable
from logging import getLogger
from typing import Any, NamedTuple

from bilberry_core.error import JournalError

from bilberry_replica.log import Log
from bilberry_replica.record import SnapshotRecord
from bilberry_replica.register import Decision, Register
from bilberry_replica.storage import decode_snapshot, encode_snapshot

_log = getLogger(__name__)


class Applied(NamedTuple):
    """The decision on the change at an index."""

    index: int
    term: int
    decision: Decision


class ReceivedSnapshot(NamedTuple):
    """A snapshot of another replica, and the register in it."""

    snapshot: SnapshotRecord
    register: Register


class StateMachine:
    """State built by applying committed entries in log order.

    `on_applied`
        Called with the decision on each change when its entry is applied.
    """

    def __init__(self, snapshot: SnapshotRecord) -> None:
        """Starts from a snapshot."""
        self.on_applied: Callable[[Applied], None] = _ignore
        self._snapshot = snapshot
        self._encoded = b''
        self._register = _build_register(snapshot)
        self._applied = snapshot.index

    @property
    def register(self) -> Register:
        """The register that committed entries have built."""
        return self._register

    @property
    def applied(self) -> int:
        """Index of the last entry applied."""
        return self._applied

    @property
    def snapshot(self) -> SnapshotRecord:
        """The newest snapshot."""
        return self._snapshot

    @property
    def encoded_snapshot(self) -> bytes:
        """The newest snapshot, encoded for another replica."""
        if not self._encoded:
            self._encoded = encode_snapshot(self._snapshot)
        return self._encoded

    def apply(self, log: Log, commit: int) -> None:
        """Applies the entries up to `commit`."""
        while self._applied < commit:
            self._applied += 1
            (entry,) = log.list_entries(self._applied, self._applied)
            if entry.change is None:
                continue
            decision = self._register.apply(entry.term, entry.change)
            self.on_applied(Applied(self._applied, entry.term, decision))

    def take_snapshot(self, log: Log) -> SnapshotRecord:
        """Stores and returns a snapshot of the applied state."""
        self._set_snapshot(
            SnapshotRecord(
                self._applied,
                log.find_term(self._applied) or 0,
                log.find_membership(self._applied),
                self._register.encode(),
            ),
        )
        return self._snapshot

    def install_snapshot(self, received: ReceivedSnapshot) -> None:
        """Replaces the state by another replica's snapshot."""
        self._set_snapshot(received.snapshot)
        self._register = received.register
        self._applied = received.snapshot.index

    def _set_snapshot(self, snapshot: SnapshotRecord) -> None:
        self._snapshot = snapshot
        self._encoded = b''


def read_snapshot(sender: str, encoded: bytes) -> ReceivedSnapshot | None:
    """Returns another replica's snapshot, None if it can't be read."""
    try:
        snapshot = decode_snapshot(encoded)
        return ReceivedSnapshot(snapshot, _build_register(snapshot))
    except JournalError as error:
        _log.warning(
            'snapshot_refused',
            extra={'sender': sender, 'cause': str(error)},
        )
        return None


def _build_register(snapshot: SnapshotRecord) -> Register:
    if not snapshot.register:
        return Register()
    return Register.decode(snapshot.register)


def _ignore(_applied: Any) -> None:
    """Default callback, which does nothing."""
