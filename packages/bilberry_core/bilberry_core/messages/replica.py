"""Messages between replicas (numbers 10 to 29).

`store` identifies the data folder of the sender. A replica that lost its disk
returns with a new one, and its replies don't count until the log has admitted
it again.
"""

from typing import NamedTuple

from bilberry_core.acceptance import (
    Accepted,
    Change,
    ChangeIdReused,
    HistoryEntry,
)
from bilberry_core.board import Beacon
from bilberry_core.bounds import Identifier, Name, Number, Port, Seconds
from bilberry_core.messages.registry import message


class Member(NamedTuple):
    """A replica of the fleet; only voters count towards a quorum."""

    instance: Name
    host: Name
    port: Port
    failure_domain: str
    store: Identifier
    voter: bool = False


class Membership(NamedTuple):
    """The replicas that the log agreed on, sorted by instance.

    `epoch` increases with each change of the voters. `previous` are the voters
    whose claims have not been handed over yet. `min_quorum` is the minimum
    number of replicas that must store an accepted change, 0 for a majority.
    """

    epoch: Number = 0
    members: tuple[Member, ...] = ()
    previous: tuple[Member, ...] = ()
    min_quorum: Number = 0


class ContentDifference(NamedTuple):
    """How a change's content and source differ from those of its base.

    `digest` is that of the whole content.
    """

    digest: bytes
    content: bytes
    source: bytes


class LoggedChange(NamedTuple):
    """An operator's change, with the wall clock time of the leader.

    In a packed change, `change` has neither content nor source, and
    `difference` encodes them.
    """

    change: Change
    accepted_ms: Number
    difference: ContentDifference | None = None

    @property
    def size(self) -> int:
        """Size of content and source as they are stored and sent, in bytes."""
        carried = self.difference or self.change
        return len(carried.content) + len(carried.source)


class LogEntry(NamedTuple):
    """One entry of the log: a change, a membership, or nothing."""

    term: Number
    change: LoggedChange | None = None
    membership: Membership | None = None


@message(10)
class VoteRequest(NamedTuple):
    """A candidate asks for a vote; `trial` marks a non-binding pre-vote.

    `leaderless_start` is the start of the voter if no voter has a leader, as
    all have said in a trial; 0 otherwise.
    """

    term: Number
    store: Identifier
    last_index: Number
    last_term: Number
    trial: bool
    leaderless_start: Identifier = 0


@message(11)
class VoteReply(NamedTuple):
    """The reply to a vote request; `term` is the requested one.

    `leaderless_start` names the start of a voter that has had no leader since:
    it would vote once it has waited for one. It is 0 for any other voter.
    """

    term: Number
    store: Identifier
    granted: bool
    trial: bool
    leaderless_start: Identifier = 0


@message(12)
class Append(NamedTuple):
    """The leader's entries after `previous_index`, or a heartbeat.

    `round` increases with each broadcast and `stamp` is the leader's monotonic
    time in seconds; replies return both.
    """

    term: Number
    round: Number
    stamp: Seconds
    previous_index: Number
    previous_term: Number
    commit: Number
    entries: tuple[LogEntry, ...] = ()
    beacon: Beacon | None = None


@message(13)
class AppendReply(NamedTuple):
    """The durable log state of a follower.

    `index` is the last entry known to equal the leader's; if `success` is
    false, the leader resends from the entry at `index`.
    """

    term: Number
    store: Identifier
    round: Number
    stamp: Seconds
    success: bool
    index: Number


@message(14)
class InstallSnapshot(NamedTuple):
    """A piece of the leader's snapshot, from byte `offset` of `size`."""

    term: Number
    round: Number
    stamp: Seconds
    index: Number
    index_term: Number
    size: Number
    offset: Number
    piece: bytes


@message(15)
class InstallReply(NamedTuple):
    """The follower has stored `offset` bytes of the snapshot at `index`."""

    term: Number
    store: Identifier
    round: Number
    stamp: Seconds
    index: Number
    offset: Number


@message(16)
class Probe(NamedTuple):
    """A replica identifies itself and asks to be admitted.

    `has_log` is set if it has a log, and was removed or hears no leader.
    """

    member: Member
    has_log: bool = False


@message(17)
class ProbeReply(NamedTuple):
    """The identity of a probed replica, and whether it has no log either."""

    member: Member
    empty: bool


@message(18)
class SubmitRequest(NamedTuple):
    """A follower forwards an operator's change to the leader.

    `difference` is set if it is packed, as in a `LoggedChange`.
    """

    request: Number
    change: Change
    timeout_ms: Number
    difference: ContentDifference | None = None


@message(19)
class SubmitReply(NamedTuple):
    """The outcome of a change: one of the optional fields, or `refused`.

    `unknown` is set if the change may still be accepted.
    """

    request: Number
    accepted: Accepted | None = None
    newer: tuple[HistoryEntry, ...] | None = None
    reused: ChangeIdReused | None = None
    refused: str = ''
    unknown: bool = False


@message(20)
class ReadRequest(NamedTuple):
    """A follower asks the leader for a confirmed commit index."""

    request: Number


@message(21)
class ReadReply(NamedTuple):
    """The commit index that a quorum confirmed; None if it did not."""

    request: Number
    index: Number | None


@message(22)
class MembershipRequest(NamedTuple):
    """Asks the leader for a membership change.

    `remove` names a replica to remove; `settled` an epoch whose claims have
    been handed over. The reply is a `ReadReply` with the entry's index.
    """

    request: Number
    remove: str = ''
    settled: Number = 0
