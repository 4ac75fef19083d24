"""The register: the state that committed entries build on every replica.

It contains the accepted configuration, the newest history and the outcomes of
the newest changes, all bounded by count.
"""

from typing import NamedTuple

from bilberry_core.acceptance import (
    Accepted,
    Change,
    ChangeIdReused,
    Conflict,
    HistoryEntry,
    NotAccepted,
)
from bilberry_core.announced_state import AnnouncedStateTable
from bilberry_core.error import JournalError
from bilberry_core.messages.replica import LoggedChange
from bilberry_core.quota import HolderTable
from bilberry_core.rollout import RolloutTable
from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_replica.holder_register import HolderRegister, is_holder_change
from bilberry_replica.packing import get_content_digest, unpack_change
from bilberry_replica.rollout_register import (
    RolloutRegister,
    is_rollout_change,
)
from bilberry_replica.state_log import StateRegister, is_state_change

#: Versions whose content is kept.
HISTORY_COUNT = 64
#: Changes whose outcome is kept; more than one day of changes.
OUTCOME_COUNT = 16_384
#: Largest total size of the content in a conflict, in bytes.
CONFLICT_BYTES = 1 << 20

Decision = Accepted | Conflict | ChangeIdReused | NotAccepted


class Outcome(NamedTuple):
    """The outcome of a change; `version` is 0 if it was refused."""

    digest: bytes
    version: int


class RegisterState(NamedTuple):
    """The state of a register as stored in a snapshot."""

    version: int = 0
    history: tuple[HistoryEntry, ...] = ()
    outcomes: dict[str, Outcome] = {}
    rollouts: RolloutTable = RolloutTable()
    holders: HolderTable = HolderTable()
    states: AnnouncedStateTable = AnnouncedStateTable()


class Register:
    """State built by applying committed changes in log order."""

    def __init__(
        self,
        state: RegisterState = RegisterState(),
        history_count: int = HISTORY_COUNT,
        outcome_count: int = OUTCOME_COUNT,
    ) -> None:
        """Continues from `state`, within these bounds."""
        self._version = state.version
        self._history = list(state.history)
        self._outcomes = dict(state.outcomes)
        self._rollouts = RolloutRegister(state.rollouts)
        self._holders = HolderRegister(state.holders)
        self._states = StateRegister(state.states)
        self._history_count = history_count
        self._outcome_count = outcome_count

    @classmethod
    def decode(cls, encoded: bytes) -> 'Register':
        """Decodes the register from a snapshot; raises `JournalError`."""
        try:
            state = convert(unpackb(encoded, use_list=False), RegisterState)
        except (ValueError, ValidationError) as error:
            raise JournalError(f'invalid register: {error}') from error
        return cls(state)

    @property
    def version(self) -> int:
        """The newest accepted version; 0 before the first."""
        return self._version

    @property
    def newest(self) -> HistoryEntry | None:
        """The newest accepted version with its content."""
        return self._history[-1] if self._history else None

    @property
    def rollouts(self) -> RolloutTable:
        """The newest roll-out of each service."""
        return self._rollouts.table

    @property
    def holders(self) -> HolderTable:
        """The daemons that hold shares of the quotas."""
        return self._holders.table

    @property
    def states(self) -> AnnouncedStateTable:
        """The states of upstreams that bind."""
        return self._states.table

    def encode(self) -> bytes:
        """Encodes the register for a snapshot.

        Empty tables at its end are left out: it is then what releases that
        know none of them encode.
        """
        state = RegisterState(
            self._version,
            tuple(self._history),
            self._outcomes,
            self.rollouts,
            self.holders,
            self.states,
        )
        fields = list(state)
        for table in (self.states, self.holders, self.rollouts):
            if table.number:
                break
            fields.pop()
        return packb(fields)

    def read_history(self, limit: int) -> tuple[HistoryEntry, ...]:
        """Returns the newest versions, newest first."""
        newest = self._history[-limit:] if limit > 0 else []
        return tuple(reversed(newest))

    def find_decision(self, logged: LoggedChange) -> Decision | None:
        """Returns the decision on a change if it is already determined.

        Returns None if the log is to decide. A change whose base is older than
        the newest version was either accepted earlier, and then its ID is
        known, or will never be accepted.
        """
        change = logged.change
        if has_own_table(change):
            return None
        outcome = self._outcomes.get(change.change_id)
        if outcome is not None:
            return _repeat_decision(logged, outcome)
        if change.base_version < self._version:
            return Conflict(change.base_version, self._list_newer(change))
        return None

    def apply(self, term: int, logged: LoggedChange) -> Decision:
        """Decides a committed change."""
        change = logged.change
        if has_own_table(change):
            return self._apply_to_table(logged)
        decision = self.find_decision(logged)
        if decision is not None:
            return decision
        if change.base_version > self._version:
            # An operator who numbers versions may send a change before its
            # base and resend it later, so its refusal is not recorded.
            if not change.version:
                self._record_outcome(logged, 0)
            return _reject_missing_base(change)
        if change.version and change.version <= self._version:
            return Conflict(change.base_version, ())
        unpacked = logged._replace(change=unpack_change(logged, self.newest))
        self._version = change.version or self._version + 1
        self._record_outcome(logged, self._version)
        self._append_version(_build_entry(self._version, term, unpacked))
        return Accepted(self._version)

    def _apply_to_table(self, logged: LoggedChange) -> Decision:
        change = logged.change
        if is_rollout_change(change):
            return self._rollouts.apply(change, logged.accepted_ms)
        if is_holder_change(change):
            return self._holders.apply(change)
        return self._states.apply(change)

    def _append_version(self, entry: HistoryEntry) -> None:
        """Adds a version; only the newest keeps its source."""
        if self._history:
            self._history[-1] = self._history[-1]._replace(source=b'')
        self._history.append(entry)
        del self._history[: -self._history_count]

    def _record_outcome(self, logged: LoggedChange, version: int) -> None:
        outcome = Outcome(get_content_digest(logged), version)
        self._outcomes[logged.change.change_id] = outcome
        if len(self._outcomes) > self._outcome_count:
            del self._outcomes[next(iter(self._outcomes))]

    def _list_newer(self, change: Change) -> tuple[HistoryEntry, ...]:
        newer: list[HistoryEntry] = []
        size = 0
        for entry in reversed(self._history):
            size += len(entry.content)
            if entry.version <= change.base_version or size > CONFLICT_BYTES:
                break
            newer.append(entry)
        return tuple(reversed(newer))


def has_own_table(change: Change) -> bool:
    """Returns whether a change concerns another table than the versions."""
    return (
        is_rollout_change(change)
        or is_holder_change(change)
        or is_state_change(change)
    )


def _repeat_decision(logged: LoggedChange, outcome: Outcome) -> Decision:
    change = logged.change
    is_same = (
        outcome.digest == get_content_digest(logged)
        or change.is_named_by_source
    )
    if not is_same:
        return ChangeIdReused(change.change_id, outcome.version)
    if not outcome.version:
        return _reject_missing_base(change)
    return Accepted(outcome.version, resent=True)


def _reject_missing_base(change: Change) -> NotAccepted:
    return NotAccepted(
        f'base version {change.base_version} did not exist when change '
        + f'"{change.change_id}" arrived: redo it from the current version',
    )


def _build_entry(version: int, term: int, logged: LoggedChange) -> HistoryEntry:
    change = logged.change
    return HistoryEntry(
        version,
        term,
        get_content_digest(logged),
        change.change_id,
        change.author,
        change.note,
        logged.accepted_ms,
        change.content,
        change.source,
    )
