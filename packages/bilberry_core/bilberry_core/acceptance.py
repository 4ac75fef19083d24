"""Types for operators' changes, their outcomes and their history.

`Acceptor` is the interface of a replica that the operators' interface uses.
"""

from hashlib import blake2b
from typing import NamedTuple, Protocol

from returns.result import Result

from bilberry_core.bounds import SignedNumber
from bilberry_core.configuration import AcceptedVersion

_SOURCE_ID_BYTES = 16


def compute_source_id(source: bytes) -> str:
    """Returns the ID of a change that is known by its operator's document."""
    return blake2b(source, digest_size=_SOURCE_ID_BYTES).hexdigest()


class Change(NamedTuple):
    """An operator's change of the whole configuration.

    `change_id`
        Chosen by the operator's tool; a resend carries the same ID.
    `base_version`
        The version that the change is based on; 0 for the first.
    `author`, `note`
        Who made the change and why.
    `content`
        The configuration in its canonical encoding.
    `version`
        The version number that the operator requests; 0 assigns the next one.
    `source`
        The document that the operator wrote, stored verbatim.
    """

    change_id: str
    base_version: SignedNumber
    author: str
    note: str
    content: bytes
    version: SignedNumber = 0
    source: bytes = b''

    @property
    def is_named_by_source(self) -> bool:
        """Whether its ID is of the document that the operator wrote.

        The same ID then means the same document, whatever one daemon or
        another has made of it.
        """
        source = self.source
        return bool(source) and self.change_id == compute_source_id(source)


class HistoryEntry(NamedTuple):
    """An accepted version.

    `accepted_ms` is the leader's wall clock time, in milliseconds.
    """

    version: SignedNumber
    term: SignedNumber
    digest: bytes
    change_id: str
    author: str
    note: str
    accepted_ms: SignedNumber
    content: bytes
    source: bytes = b''


class Accepted(NamedTuple):
    """The change is accepted as `version`.

    `resent` is set if an earlier send of the change was accepted.
    """

    version: SignedNumber
    resent: bool = False


class Conflict(NamedTuple):
    """Another change was accepted first.

    `newer` contains the versions accepted after `base_version`.
    """

    base_version: SignedNumber
    newer: tuple[HistoryEntry, ...]


class ChangeIdReused(NamedTuple):
    """The change ID was used before with other content."""

    change_id: str
    version: SignedNumber


class NotAccepted(NamedTuple):
    """The change was provably not accepted, and never will be."""

    detail: str


class OutcomeUnknown(NamedTuple):
    """The change may still be accepted; resend it with the same ID."""

    change_id: str
    detail: str


Refusal = Conflict | ChangeIdReused | NotAccepted | OutcomeUnknown


class Acceptor(Protocol):
    """The interface for submitting changes and reading accepted versions."""

    async def submit(
        self,
        change: Change,
        timeout_s: float,
    ) -> Result[Accepted, Refusal]:
        """Submits a change to the leader and returns its outcome."""

    async def read_current(
        self,
        timeout_s: float,
    ) -> Result[AcceptedVersion | None, NotAccepted]:
        """Returns the newest accepted version, confirmed by a quorum."""

    def read_history(self, limit: int) -> tuple[HistoryEntry, ...]:
        """Returns the newest versions known locally, newest first."""
