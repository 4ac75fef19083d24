"""The naive register: a single copy without faults or bounds."""

from bilberry_core.acceptance import (
    Accepted,
    Change,
    ChangeIdReused,
    Conflict,
    NotAccepted,
)

Answer = Accepted | ChangeIdReused | type


class NaiveRegister:
    """Model of the decision that each change must lead to."""

    def __init__(self) -> None:
        """Starts without a version."""
        self.changes: list[Change] = []
        self._outcomes: dict[str, tuple[bytes, int]] = {}

    @property
    def version(self) -> int:
        """The newest version."""
        return len(self.changes)

    def submit(self, change: Change) -> Answer:
        """Returns the decision; only its type for a conflict or refusal."""
        known = self._outcomes.get(change.change_id)
        if known is not None:
            content, version = known
            if content != change.content:
                return ChangeIdReused(change.change_id, version)
            return Accepted(version, resent=True) if version else NotAccepted
        if change.base_version < self.version:
            return Conflict
        if change.base_version > self.version:
            self._outcomes[change.change_id] = (change.content, 0)
            return NotAccepted
        self.changes.append(change)
        self._outcomes[change.change_id] = (change.content, self.version)
        return Accepted(self.version)
