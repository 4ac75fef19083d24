"""The consensus state of one replica, and the effects of a step.

A step is a pure function from a node and an event to a `Step`: the new node
and the effects to perform. The caller saves first, then sends; only a `Send`
marked `early` may be sent before the saved state is durable.
"""

from enum import StrEnum
from typing import Any, NamedTuple

from bilberry_core.board import Beacon
from bilberry_core.messages.replica import LogEntry, Membership

from bilberry_replica.log import Log
from bilberry_replica.member import is_voter

_NEVER = float('-inf')
_MAX_START = 1 << 53
#: Share of the election timeout in which a vote is decided.
_VOTE_SHARE = 0.25


class Role(StrEnum):
    """The role of a replica in its term."""

    FOLLOWER = 'follower'
    TRIAL = 'trial'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Timing(NamedTuple):
    """Intervals of consensus, in seconds.

    `election_s` is the shortest silence of a leader that starts an election;
    each replica adds a random time of up to `election_s`.
    """

    heartbeat_s: float = 0.15
    election_s: float = 0.9


class EventTime(NamedTuple):
    """Monotonic time of an event in seconds, and a jitter in [0, 1)."""

    now: float
    jitter: float


class Progress(NamedTuple):
    """The leader's view of another replica.

    `store`
        The data folder that this describes.
    `match`
        Last entry that the replica durably stores.
    `next_index`
        First entry that was not sent to it yet.
    `round`, `stamp`
        Newest broadcast that it replied to, and when that was sent.
    `offset`
        Bytes of the snapshot that it has received.
    `seen_store`
        Another data folder that it replied from lately; 0 for none.
    `probing`
        Whether the index at which the logs diverge is still unknown.
    """

    store: int
    match: int = 0
    next_index: int = 1
    round: int = 0
    stamp: float = _NEVER
    offset: int = 0
    seen_store: int = 0
    probing: bool = True


class Node(NamedTuple):
    """The consensus state of one replica.

    `durable`
        Last entry that the local disk stores.
    `membership`
        The newest membership in the log, committed or not.
    `leader_seen_at`
        When the leader was last seen, or when a replica with a log started.
    `leaderless_start`
        A random number that names the start of a replica with a log, while it
        has had no leader since; 0 otherwise.
    `leaderless`
        Voters that said in the present trial that they have had no leader, and
        the starts that they named.
    `stalled_since`
        Since when the disk has not taken what is to be stored, in monotonic
        seconds, once that has lasted for an election timeout; None otherwise.
    `round`
        Number of the leader's newest broadcast.
    `leading_since`
        Monotonic time at which this replica began to lead, in seconds.
    `beacon`
        The leader's newest beacon, which its broadcasts carry.
    """

    instance: str
    store: int
    timing: Timing = Timing()
    term: int = 0
    vote: str = ''
    log: Log = Log()
    membership: Membership = Membership()
    commit: int = 0
    durable: int = 0
    role: Role = Role.FOLLOWER
    leader: str = ''
    leader_seen_at: float = _NEVER
    election_at: float = 0
    heartbeat_at: float = 0
    votes: frozenset[str] = frozenset()
    leaderless_start: int = 0
    leaderless: dict[str, int] = {}
    peers: dict[str, Progress] = {}
    round: int = 0
    beacon: Beacon | None = None
    leading_since: float = 0
    stalled_since: float | None = None

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term."""
        return self.role is Role.LEADER

    @property
    def is_stalled(self) -> bool:
        """Whether the disk takes no writes."""
        return self.stalled_since is not None

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts towards a quorum."""
        return is_voter(self.membership, self.instance, self.store)


class SaveTerm(NamedTuple):
    """The effect to save the term and the vote given in it."""

    term: int
    vote: str


class SaveEntries(NamedTuple):
    """The effect to save entries from `first` on, replacing any there."""

    first: int
    entries: tuple[LogEntry, ...]


class PublishBeacon(NamedTuple):
    """The effect to publish the leader's beacon in this process."""

    beacon: Beacon


class Send(NamedTuple):
    """The effect to send a message; early ones need not wait for the disk."""

    target: str
    message: Any
    early: bool = False


class SendSnapshot(NamedTuple):
    """The effect to send the snapshot piece that begins at `offset`."""

    target: str
    offset: int


Effect = SaveTerm | SaveEntries | Send | SendSnapshot | PublishBeacon


class Step(NamedTuple):
    """A node after an event, and the effects to perform."""

    node: Node
    effects: tuple[Effect, ...] = ()

    def then(self, following: 'Step') -> 'Step':
        """Returns the following step with this one's effects put first."""
        return Step(following.node, self.effects + following.effects)


def restore(node: Node, event_time: EventTime) -> Node:
    """Returns the starting state of a node with a log read from its disk.

    What was read may not be durable until the first sync.
    """
    leader_seen_at = _NEVER
    leaderless_start = 0
    if node.log.last_index:
        leader_seen_at = event_time.now
        leaderless_start = int(event_time.jitter * _MAX_START) + 1
    return schedule_trial(
        node._replace(
            leader_seen_at=leader_seen_at,
            leaderless_start=leaderless_start,
            membership=node.log.find_membership(node.log.last_index),
            commit=node.log.base,
            durable=0,
        ),
        event_time,
    )


def reset_election_timer(node: Node, event_time: EventTime) -> Node:
    """Restarts the election timeout with a random duration.

    After a restart it leaves a candidate the time for one vote.
    """
    timeout_s = node.timing.election_s
    if node.leaderless_start:
        timeout_s *= _VOTE_SHARE
    wait_s = timeout_s * (1 + event_time.jitter)
    return node._replace(election_at=event_time.now + wait_s)


def schedule_trial(node: Node, event_time: EventTime) -> Node:
    """Restarts the timeout after which a trial follows.

    It is short after a restart, as all replicas may have been restarted.
    """
    if not node.leaderless_start:
        return reset_election_timer(node, event_time)
    wait_s = node.timing.heartbeat_s * (1 + event_time.jitter)
    return node._replace(election_at=event_time.now + wait_s)


def move_to_term(node: Node, term: int, event_time: EventTime) -> Step:
    """Becomes a follower in a newer term; ignores other terms."""
    if term <= node.term:
        return Step(node)
    moved = follow(node, event_time)._replace(term=term, vote='')
    return Step(moved, (SaveTerm(term, ''),))


def follow(node: Node, event_time: EventTime, leader: str = '') -> Node:
    """Returns the node as a follower."""
    if leader != node.leader or node.role is not Role.FOLLOWER:
        node = node._replace(
            role=Role.FOLLOWER,
            leader=leader,
            votes=frozenset(),
            peers={},
            beacon=None,
        )
    if leader:
        node = node._replace(leaderless_start=0)
    return reset_election_timer(node, event_time)


def put_entries(node: Node, first: int, entries: tuple[LogEntry, ...]) -> Step:
    """Writes entries to the log from `first` on, replacing any there."""
    log = node.log.put(first, entries)
    saved = node._replace(
        log=log,
        durable=min(node.durable, first - 1),
        membership=log.find_membership(log.last_index),
    )
    return Step(saved, (SaveEntries(first, entries),))
