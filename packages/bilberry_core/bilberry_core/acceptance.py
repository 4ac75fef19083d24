"""Acceptance of operators' changes: what is asked and what is answered.

`Acceptor` is what the operators' interface needs of a replica.
"""

from typing import NamedTuple, Protocol

from returns.result import Result

from bilberry_core.configuration import AcceptedVersion


class Change(NamedTuple):
    """An operator's change of the whole configuration.

    `change_id`
        Picked by the operator's tool; a resend carries the same one.
    `base_version`
        The version that the change was made from; 0 for the first.
    `author`, `note`
        Who made it and why.
    `content`
        The configuration in its canonical encoding.
    `version`
        The number that the operator gives the version; 0 has the register
        count on.
    `source`
        The document that the operator wrote, kept word for word.
    """

    change_id: str
    base_version: int
    author: str
    note: str
    content: bytes
    version: int = 0
    source: bytes = b''


class HistoryEntry(NamedTuple):
    """One accepted version; `accepted_ms` is the leader's wall clock."""

    version: int
    term: int
    digest: bytes
    change_id: str
    author: str
    note: str
    accepted_ms: int
    content: bytes
    source: bytes = b''


class Accepted(NamedTuple):
    """The change is accepted as `version`; `resent` where it was before."""

    version: int
    resent: bool = False


class Conflict(NamedTuple):
    """Another change came first; `newer` are those after the base."""

    base_version: int
    newer: tuple[HistoryEntry, ...]


class ChangeIdReused(NamedTuple):
    """The change ID was used before with other content."""

    change_id: str
    version: int


class NotAccepted(NamedTuple):
    """Proven: the change was not accepted, and will not be."""

    detail: str


class OutcomeUnknown(NamedTuple):
    """The change may be accepted yet: resend it with the same ID."""

    change_id: str
    detail: str


Refusal = Conflict | ChangeIdReused | NotAccepted | OutcomeUnknown


class Acceptor(Protocol):
    """Accepts changes and tells what was accepted."""

    async def submit(
        self,
        change: Change,
        timeout_s: float,
    ) -> Result[Accepted, Refusal]:
        """Offers a change, through the leader, and returns its outcome."""

    async def read_current(
        self,
        timeout_s: float,
    ) -> Result[AcceptedVersion | None, NotAccepted]:
        """Returns the newest accepted version, confirmed by a quorum."""

    def read_history(self, limit: int) -> tuple[HistoryEntry, ...]:
        """Returns the newest versions known here, newest first."""
