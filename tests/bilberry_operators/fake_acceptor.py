"""An in-memory acceptor with the rules of the replicated one."""

from bilberry_core.acceptance import (
    Accepted,
    Change,
    ChangeIdReused,
    Conflict,
    HistoryEntry,
    NotAccepted,
    OutcomeUnknown,
)
from bilberry_core.configuration import AcceptedVersion, decode_configuration
from returns.result import Failure, Success


class FakeAcceptor:
    """An acceptor that accepts valid changes at once.

    Where `quorum` is False, everything is refused. The next `lose_answers`
    changes are accepted, but their outcome is reported as unknown. The newest
    `unconfirmed` versions are missing from the history until a read confirms
    them, as on a follower.
    """

    def __init__(self) -> None:
        self.entries: list[HistoryEntry] = []
        self.quorum = True
        self.lose_answers = 0
        self.unconfirmed = 0

    async def submit(self, change: Change, timeout_s: float):
        """Accepts a change, or returns the refusal."""
        if not self.quorum:
            return Failure(NotAccepted('no quorum of replicas'))
        known = [
            entry
            for entry in self.entries
            if entry.change_id == change.change_id
        ]
        if known:
            return self._resend(known[0], change)
        if change.base_version != len(self.entries):
            newer = tuple(self.entries[change.base_version :])
            return Failure(Conflict(change.base_version, newer))
        self._append(change)
        if self.lose_answers:
            self.lose_answers -= 1
            return Failure(OutcomeUnknown(change.change_id, 'leader lost'))
        return Success(Accepted(len(self.entries)))

    async def read_current(self, timeout_s: float):
        """Returns the newest version if there is a quorum."""
        if not self.quorum:
            return Failure(NotAccepted('no quorum of replicas'))
        self.unconfirmed = 0
        if not self.entries:
            return Success(None)
        entry = self.entries[-1]
        return Success(
            AcceptedVersion(
                entry.version,
                entry.term,
                entry.digest,
                decode_configuration(entry.content),
            ),
        )

    def read_history(self, limit: int):
        """Returns the newest entries, newest first."""
        heard = self.entries[: len(self.entries) - self.unconfirmed]
        return tuple(reversed(heard[-limit:] if limit else []))

    def _resend(self, entry: HistoryEntry, change: Change):
        if entry.content != change.content:
            return Failure(ChangeIdReused(change.change_id, entry.version))
        return Success(Accepted(entry.version, resent=True))

    def _append(self, change: Change) -> None:
        self.entries.append(
            HistoryEntry(
                version=len(self.entries) + 1,
                term=1,
                digest=b'\x01' * 8,
                change_id=change.change_id,
                author=change.author,
                note=change.note,
                accepted_ms=1_700_000_000_000,
                content=change.content,
            ),
        )
