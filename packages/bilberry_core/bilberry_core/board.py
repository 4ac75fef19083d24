"""The blackboard of a process: the state that its controllers share.

Each `Cell` holds one immutable value, has one writer, and calls its watchers
after every change. Everything runs on one event loop, so no lock is needed.
"""

from asyncio import Event, Future, get_running_loop
from collections.abc import Callable
from enum import StrEnum
from typing import Generic, NamedTuple, TypeVar

from bilberry_core.announced_state import (
    AnnouncedState,
    AnnouncedStateTable,
)
from bilberry_core.bounds import Name, Port, SignedNumber
from bilberry_core.configuration import AcceptedVersion
from bilberry_core.departure import Departure
from bilberry_core.endpoint import Address, Endpoint
from bilberry_core.messages.allowance import (
    AllowanceAnswer,
    AllowanceOffer,
    AllowanceReport,
)
from bilberry_core.quota import HolderTable, QuotaStatus
from bilberry_core.rollout import RolloutReport, RolloutTable
from bilberry_core.snapshot import Snapshot
from bilberry_core.traffic import Traffic
from bilberry_core.upstream_notice import UpstreamIdentity, UpstreamNotice

_LEADER = 'leader'

CellValue = TypeVar('CellValue')


class Phase(StrEnum):
    """The lifecycle phase of a daemon."""

    STARTING = 'starting'
    SERVING = 'serving'
    #: Announced as leaving; callers that still connect are served.
    LEAVING = 'leaving'
    #: Accepts no new requests and finishes those in flight.
    DRAINING = 'draining'
    STOPPED = 'stopped'


class Beacon(NamedTuple):
    """The leader's liveness signal, forwarded to every proxy.

    `sequence` increases with each beacon of one term.
    """

    term: SignedNumber
    version: SignedNumber
    sequence: SignedNumber


class Holder(NamedTuple):
    """An instance that stores claims, and the address of its streams."""

    instance: Name
    host: Name
    port: Port
    failure_domain: str


class ClaimEpoch(NamedTuple):
    """The claim holders that the replicated log agreed on.

    `previous` contains the holders of the previous epoch while the claims are
    handed over, and is empty afterwards.
    """

    epoch: SignedNumber
    holders: tuple[Holder, ...]
    previous: tuple[Holder, ...] = ()


#: Weight of a crash of which a later run has cleared the request.
WEIGHT_CLEARED_LATER = -1


class Suspect(NamedTuple):
    """A request that was in flight when an upstream crashed.

    `fingerprint` is the digest of service, caller, method, target and body;
    `instance` and `incarnation` name the upstream that crashed, and
    `expires_ms` is wall clock time in milliseconds. `weight` is the number of
    crashes in a row that point to the request: 2 or more if it ran alone, 0 if
    the same request had succeeded there shortly before, and otherwise 1.
    """

    fingerprint: bytes
    service: Name
    instance: Name
    incarnation: SignedNumber
    expires_ms: SignedNumber
    weight: SignedNumber = 1


class UpstreamCrash(NamedTuple):
    """A detected crash of the upstream process beside this daemon.

    `address` is where it accepted requests, `crashed_ms` is wall clock time
    in milliseconds.
    """

    address: Address
    crashed_ms: int


class SourceStatus(NamedTuple):
    """The source of configurations that a daemon is attached to.

    `since` is the monotonic time of the attachment, in seconds.
    """

    instance: str
    since: float


class ReplicaStatus(NamedTuple):
    """A replica's view of the replicated log and its own role in it.

    `disk_stalled` is set while its disk takes no writes. `is_current` is set
    while it leads and an entry of its term is committed, and synced and shown
    here: then everything accepted in earlier terms is shown, too.

    `voters` counts the members that count towards a quorum. The leader alone
    knows which of the members are `silent`, and how many more voters may be
    lost while a quorum remains (`spare_losses`); elsewhere that is None.
    """

    role: str
    term: int
    leader: str
    commit: int
    members: tuple[str, ...]
    disk_stalled: bool = False
    is_current: bool = False
    voters: int = 0
    silent: tuple[str, ...] = ()
    spare_losses: int | None = None

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term."""
        return self.role == _LEADER


class AttachedReport(NamedTuple):
    """A report to the granter that came by way of another daemon.

    `sender` is the attached daemon that sent it to this relay; empty on the
    daemon that passes it on.
    """

    sender: str
    report: AllowanceReport


class RelayedReports(NamedTuple):
    """Reports to the granter that came by way of a relay."""

    relay: str
    reports: tuple[AllowanceReport, ...]


class RelayedAnswers(NamedTuple):
    """Answers of the granter that go by way of a relay."""

    relay: str
    answers: tuple[AllowanceAnswer, ...]


class Cell(Generic[CellValue]):
    """An observable value on the blackboard."""

    def __init__(self, value: CellValue) -> None:
        self._value = value
        self._watchers: list[Callable[[CellValue], None]] = []

    @property
    def value(self) -> CellValue:
        """The current value."""
        return self._value

    def put(self, value: CellValue) -> None:
        """Replaces the value and calls every watcher if it changed."""
        if value is self._value:
            return
        self._value = value
        for watcher in tuple(self._watchers):
            watcher(value)

    def watch(self, watcher: Callable[[CellValue], None]) -> Callable[[], None]:
        """Calls `watcher` after each change; returns a function to stop it."""
        self._watchers.append(watcher)
        return lambda: self._watchers.remove(watcher)

    async def wait_for(
        self, condition: Callable[[CellValue], bool]
    ) -> CellValue:
        """Waits until the value meets `condition` and returns it."""
        if condition(self._value):
            return self._value
        done: Future[CellValue] = get_running_loop().create_future()

        def check(value: CellValue) -> None:
            if not done.done() and condition(value):
                done.set_result(value)

        unwatch = self.watch(check)
        try:
            return await done
        finally:
            unwatch()


class Board:
    """The cells of one process.

    `accepted`
        The newest accepted configuration; written by the replica
        controller, or by the subscriber if this instance is not a replica.
    `own_endpoint`
        The endpoint of the upstream beside this daemon.
    `upstream_address`
        Where the upstream beside this daemon accepts HTTP requests.
    `upstream`
        The start of the upstream that last announced itself to this daemon.
    `upstream_notice`
        What that upstream says of itself in its responses.
    `departure`
        The newest departure of an upstream beside this daemon.
    `told_departure`
        The newest start of an upstream of which a relay told this daemon that
        it has left before.
    `upstream_sequence`
        The number of the newest announcement of that upstream.
    `unkept_states`
        States of upstreams beside this daemon that are to be kept, and of which
        no relay has said that they are.
    `told_states`
        What a relay told last of such states: they are kept, or were before.
    `states_to_keep`, `logged_states`
        States that the relay of this replica is asked to keep, and those that
        a quorum stored last.
    `kept_states`
        The states that the replicated log agreed on, on a replica.
    `upstream_crash`
        The newest crash of that upstream.
    `endpoints`
        All known endpoints, by instance.
    `snapshot`
        The snapshot that the proxy uses for routing.
    `beacon`
        The newest beacon of the leader.
    `rollouts`
        The roll-outs of services; written like `accepted`.
    `rollout_evidence`
        What this proxy saw of open roll-outs since its last report.
    `rollout_reports`
        What other daemons report of open roll-outs, on a relay.
    `holders`
        The daemons that hold shares of the quotas, on a replica.
    `quotas`
        The quotas as this replica grants them; None unless it leads.
    `granter_offer`, `granter_answers`
        The newest offer of the granter of this replica, and its newest answers.
    `allowance_offer`, `allowance_answer`
        The newest offer of a granter, and its newest answer to this daemon.
    `allowance_report`
        The newest report of this daemon to the granter.
    `attached_report`, `relayed_reports`
        The newest report of another daemon that this one passes on, and the
        newest ones that a relay passed to this replica.
    `claim_epoch`
        The claim holders that the replicated log agreed on.
    `holds_claims`
        Whether the claim holder of this daemon has durably copied the claims
        of the epoch.
    `suspects`
        Requests in flight at crashes, by (fingerprint, instance,
        incarnation).
    `replica`
        The state of the replicated log, on a replica.
    `requested_services`
        Services that this proxy routes to.
    `proxies`
        Current version of each proxy attached to this relay, by instance.
    `stale_since`
        Monotonic time since which no newer beacon has arrived; None while the
        beacon is current.
    `source`
        The source that this daemon is attached to; None without one, and
        always None on a replica.
    `traffic`
        Bytes sent and received by this process.
    """

    def __init__(self) -> None:
        self.phase: Cell[Phase] = Cell(Phase.STARTING)
        #: Monotonic time at which a graceful stop ends, in seconds.
        self.drains_until: Cell[float | None] = Cell(None)
        self.accepted: Cell[AcceptedVersion | None] = Cell(None)
        self.own_endpoint: Cell[Endpoint | None] = Cell(None)
        self.upstream_address: Cell[Address | None] = Cell(None)
        self.upstream: Cell[UpstreamIdentity] = Cell(UpstreamIdentity())
        self.upstream_notice: Cell[UpstreamNotice] = Cell(
            UpstreamNotice(UpstreamIdentity()),
        )
        self.departure: Cell[Departure | None] = Cell(None)
        self.told_departure: Cell[UpstreamIdentity | None] = Cell(None)
        self.upstream_sequence: Cell[int] = Cell(0)
        self.unkept_states: Cell[tuple[AnnouncedState, ...]] = Cell(())
        self.told_states: Cell[tuple[AnnouncedState, ...]] = Cell(())
        self.states_to_keep: Cell[tuple[AnnouncedState, ...]] = Cell(())
        self.logged_states: Cell[tuple[AnnouncedState, ...]] = Cell(())
        self.kept_states: Cell[AnnouncedStateTable] = Cell(
            AnnouncedStateTable(),
        )
        self.upstream_crash: Cell[UpstreamCrash | None] = Cell(None)
        self.endpoints: Cell[dict[str, Endpoint]] = Cell({})
        self.snapshot: Cell[Snapshot | None] = Cell(None)
        self.beacon: Cell[Beacon | None] = Cell(None)
        self.rollouts: Cell[RolloutTable] = Cell(RolloutTable())
        self.rollout_evidence: Cell[RolloutReport] = Cell(RolloutReport())
        self.rollout_reports: Cell[RolloutReport] = Cell(RolloutReport())
        self.holders: Cell[HolderTable] = Cell(HolderTable())
        self.quotas: Cell[QuotaStatus | None] = Cell(None)
        self.granter_offer: Cell[AllowanceOffer | None] = Cell(None)
        self.granter_answers: Cell[RelayedAnswers | None] = Cell(None)
        self.allowance_offer: Cell[AllowanceOffer | None] = Cell(None)
        self.allowance_answer: Cell[AllowanceAnswer | None] = Cell(None)
        self.allowance_report: Cell[AllowanceReport | None] = Cell(None)
        self.attached_report: Cell[AttachedReport | None] = Cell(None)
        self.relayed_reports: Cell[RelayedReports | None] = Cell(None)
        self.claim_epoch: Cell[ClaimEpoch | None] = Cell(None)
        self.holds_claims: Cell[bool] = Cell(False)
        self.suspects: Cell[dict[tuple[bytes, str, int], Suspect]] = Cell({})
        self.replica: Cell[ReplicaStatus | None] = Cell(None)
        self.requested_services: Cell[frozenset[str]] = Cell(frozenset())
        self.proxies: Cell[dict[str, int]] = Cell({})
        self.stale_since: Cell[float | None] = Cell(None)
        self.source: Cell[SourceStatus | None] = Cell(None)
        self.traffic = Traffic()
        self.stopping = Event()

    @property
    def may_lack_version(self) -> bool:
        """Whether a newer version than the running one may be in force."""
        beacon = self.beacon.value
        snapshot = self.snapshot.value
        if self.stale_since.value is not None:
            return True
        if beacon is None or snapshot is None:
            return False
        return beacon.version > snapshot.version
