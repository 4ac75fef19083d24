"""Seeded schedules of faults over replicas, checked as they run.

A schedule draws random events: messages are delivered in any order, lost or
duplicated, links are cut, replicas crash, disks are lost or damaged, and
clocks run at different rates.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from bilberry_core.acceptance import Accepted, Change
from bilberry_core.journal import Journal
from bilberry_core.messages.replica import Member, Membership
from bilberry_replica.flush import Flush
from bilberry_replica.leading import (
    admit_member,
    found_fleet,
    is_read_confirmed,
    maintain_membership,
)
from bilberry_replica.limits import Limits
from bilberry_replica.machine import Applied
from bilberry_replica.member import (
    build_first_membership,
    find_member,
    list_voters,
)
from bilberry_replica.node import EventTime, Node, Timing
from bilberry_replica.replica import Replica

from tests.bilberry_core.power_loss import Loss, PowerLossDisk
from tests.bilberry_replica.checker import (
    JOURNAL_NAME,
    Checker,
    Operation,
    is_quorum,
    require,
    stores_change,
)

TIMING = Timing(heartbeat_s=0.15, election_s=0.9)
LIMITS = Limits(log_entries=8, kept_entries=2, open_entries=8)
MAX_IN_FLIGHT = 120
SETTLE_ROUNDS = 400


class Host:
    """One replica with its disk and clock; `replica` is None while down."""

    def __init__(self, name: str, domain: str, store: int) -> None:
        """Creates a stopped replica with an empty disk."""
        self.name = name
        self.domain = domain
        self.store = store
        self.disk = PowerLossDisk()
        self.clock_rate = 1.0
        self.frozen = False
        self.published_version = 0
        self.replica: Replica | None = None
        self.journal: Journal | None = None
        self.flush: Flush | None = None
        self.hung_until: float = 0
        self.offers: dict[int, Operation] = {}
        self.reads: list[Operation] = []

    @property
    def member(self) -> Member:
        """The membership record of this replica."""
        return Member(self.name, '127.0.0.1', 1, self.domain, self.store)


class Schedule:
    """A fleet, its network and its clients, driven from one seed."""

    def __init__(self, seed: int, domains: str, min_quorum: int = 0) -> None:
        """Founds a fleet with a replica in each of these domains."""
        self.random = Random(seed)
        self.now = float()
        self.checker = Checker()
        self.cut: set[tuple[str, str]] = set()
        self.in_flight: list[tuple[str, str, Any]] = []
        self.changes: list[Change] = []
        self.hosts: dict[str, Host] = {}
        self._stores = 0
        for position, domain in enumerate(domains):
            host = Host(f'{position}{domain}', domain, self.next_store())
            self.hosts[host.name] = host
            self.start(host)
        membership = build_first_membership(
            [host.member for host in self.hosts.values()], min_quorum
        )
        self.do(self.hosts[min(self.hosts)], found_fleet, membership)
        self.settle()

    def next_store(self) -> int:
        """Returns an ID for a new data folder."""
        self._stores += 1
        return self._stores

    def start(self, host: Host) -> None:
        """Starts a replica from its disk."""
        host.clock_rate = self.random.uniform(0.93, 1.07)
        opened = Journal.open(host.disk, JOURNAL_NAME)
        fresh = Node(host.name, host.store, TIMING)
        event_time = self._get_event_time(host)
        host.replica = Replica.open(opened, fresh, event_time, LIMITS)
        host.journal = opened[0]
        version = host.replica.machine.register.version
        require(
            version >= host.published_version,
            'a restart began behind the published version',
        )
        self.checker.watch(host.replica)
        host.replica.machine.on_applied = self._build_applied_callback(host)

    def crash(self, host: Host, loss: Loss = Loss((), takes_all=True)) -> None:
        """Crashes a replica; its unsynced writes arrive in part."""
        host.replica = None
        host.flush = None
        host.frozen = False
        host.offers = {}
        host.reads = []
        host.disk.lose_power(loss)

    def wipe(self, host: Host) -> None:
        """Gives a stopped replica a new disk."""
        host.disk = PowerLossDisk()
        host.published_version = 0
        host.store = self.next_store()

    def do(self, host: Host, event: Callable, *arguments: Any) -> Any:
        """Runs an event on a replica and sends its early messages."""
        replica = host.replica
        returned = event(replica, *arguments, self._get_event_time(host))
        self._post(host, replica.drain_early())
        if replica.durable_newest:
            host.published_version = replica.durable_newest.version
        self.finish_operations(host)
        return returned

    def flush(self, host: Host) -> None:
        """Syncs the journal and sends the messages that waited for it.

        A sync that hangs or that the disk refuses is tried again later.
        """
        if host.flush is None:
            host.flush = host.replica.begin_flush(self._get_event_time(host))
        if self.now < host.hung_until:
            return
        try:
            host.journal.sync_now()
        except OSError:
            return
        flush = host.flush
        host.flush = None
        self._post(host, flush.sends)
        self.do(host, Replica.end_flush, flush)

    def deliver(self, position: int, keeps: bool = False) -> None:
        """Delivers a message in flight unless its link is cut."""
        sender, target, message = self.in_flight[position]
        host = self.hosts[target]
        if host.frozen:
            return
        if not keeps:
            self.in_flight[position] = self.in_flight[-1]
            self.in_flight.pop()
        if host.replica and (sender, target) not in self.cut:
            self.do(host, Replica.receive, sender, message)

    def tick(self, seconds: float) -> None:
        """Advances the time on all replicas and admits those without a log."""
        self.now += seconds
        for host in self.list_running():
            self.tick_one(host)

    def tick_one(self, host: Host) -> None:
        """Performs what is due on one replica."""
        self.do(host, Replica.tick)
        if host.replica and host.replica.node.is_leader:
            self.do(host, maintain_membership)
            self._admit(host)

    def list_running(self) -> list[Host]:
        """Returns the replicas that run and are not frozen."""
        return [
            host
            for host in self.hosts.values()
            if host.replica and not host.frozen
        ]

    def can_lose_disk(self, host: Host) -> bool:
        """Tells whether the other disks form a quorum without this one."""
        others = [other for other in self.hosts.values() if other is not host]
        if host.frozen or not others:
            return False
        return all(
            other.replica
            and keeps_quorum(
                other.replica.node.membership, self.hosts, host.name
            )
            for other in others
        )

    def settle(self) -> None:
        """Ends all faults and requires that the fleet then agrees."""
        self.cut.clear()
        for host in self.hosts.values():
            host.frozen = False
            free_disk(host)
        for round_ in range(SETTLE_ROUNDS):
            self._repair()
            self.run_faultless_round()
            if round_ % 20 == 0 and self._is_settled():
                break
        require(self._is_settled(), 'the fleet did not settle')
        self.checker.check_end([host.replica for host in self.list_running()])

    def _repair(self) -> None:
        """Starts stopped replicas; gives removed ones a new disk."""
        for host in self.hosts.values():
            if host.replica is None:
                self.start(host)
            elif self._was_removed(host):
                self.crash(host)
                self.wipe(host)

    def _was_removed(self, host: Host) -> bool:
        if not host.replica.node.log.last_index:
            return False
        _, newest = max(
            (running.replica.node.commit, running.replica.committed_membership)
            for running in self.list_running()
        )
        return newest.epoch > 0 and find_member(newest, host.name) is None

    def run_faultless_round(self) -> None:
        """Runs one round without new faults."""
        self.tick(0.05)
        for _ in range(2):
            for position in range(len(self.in_flight) - 1, -1, -1):
                self.deliver(position)
            for host in self.list_running():
                if host.flush or host.replica.needs_flush:
                    self.flush(host)

    def _is_settled(self) -> bool:
        replicas = [host.replica for host in self.list_running()]
        commits = {replica.node.commit for replica in replicas}
        leaders = [one for one in replicas if one.node.is_leader]
        voters = [
            len(list_voters(replica.committed_membership))
            for replica in replicas
        ]
        return (
            len(replicas) == len(self.hosts)
            and len(commits) == 1
            and len(leaders) == 1
            and set(voters) == {len(self.hosts)}
            and leaders[0].node.log.last_index == leaders[0].node.commit
        )

    def _get_event_time(self, host: Host) -> EventTime:
        return EventTime(self.now * host.clock_rate, self.random.random())

    def _post(self, host: Host, sends: Any) -> None:
        for sent in sends:
            if sent.target in self.hosts:
                self.in_flight.append((host.name, sent.target, sent.message))
        if len(self.in_flight) > MAX_IN_FLIGHT:
            del self.in_flight[: len(self.in_flight) - MAX_IN_FLIGHT]

    def _admit(self, leader: Host) -> None:
        for host in self.list_running():
            linked = (host.name, leader.name) not in self.cut
            if linked and host.replica.node.log.last_index == 0:
                self.do(leader, admit_member, host.member)

    def _build_applied_callback(self, host: Host) -> Callable[[Applied], None]:
        """Returns a callback that checks each decision and reports it."""
        check = host.replica.machine.on_applied

        def on_applied(applied: Applied) -> None:
            check(applied)
            operation = host.offers.pop(applied.index, None)
            if operation and operation.pending.term == applied.term:
                self.answer(host, operation, applied.decision)

        return on_applied

    def answer(self, host: Host, operation: Operation, decision: Any) -> None:
        """Reports the decision on a change to its client."""
        self.checker.check_answer(operation, decision)
        if isinstance(decision, Accepted) and not decision.resent:
            self._check_disks(host, operation.change, decision.version)

    def _check_disks(self, host: Host, change: Change, version: int) -> None:
        """Requires an accepted version on the disks of a quorum.

        Disks that have been lost since count as storing it. The newest
        membership in the log is used, committed or not.
        """
        membership = host.replica.node.membership
        holders = [
            member.instance
            for member in membership.members
            if self._has_stored(member, change, version)
        ]
        require(
            is_quorum(membership, holders),
            'acknowledged before a quorum synced',
        )

    def _has_stored(self, member: Member, change: Change, version: int) -> bool:
        host = self.hosts[member.instance]
        if host.store != member.store:
            return True
        return stores_change(host.disk, change, version)

    def finish_operations(self, host: Host) -> None:
        """Ends confirmed reads; drops all operations after losing the lead."""
        replica = host.replica
        if not replica.node.is_leader:
            host.offers.clear()
            host.reads.clear()
        for read in tuple(host.reads):
            if is_read_confirmed(replica, read.round):
                host.reads.remove(read)
                version = replica.machine.register.version
                self.checker.check_read(read, version)


def free_disk(host: Host) -> None:
    """Lets a disk take writes again."""
    host.disk.before_sync = len
    host.disk.room = None
    host.hung_until = 0


def keeps_quorum(
    membership: Membership,
    hosts: dict[str, Host],
    lost: str,
) -> bool:
    """Tells whether the intact disks form a quorum without the lost one."""
    intact = [
        member.instance
        for member in membership.members
        if member.store == hosts[member.instance].store
        and member.instance != lost
    ]
    return is_quorum(membership, intact)
