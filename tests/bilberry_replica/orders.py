"""Orders of events that the replicas of a fleet have to bear.

An order is drawn from a seed: replicas lose power for a while, freeze, are cut
off, lose their disks or are replaced, beside lost messages and changes, and no
more at once than the fleet tolerates. Then two disks are lost at the same time.
"""

from collections.abc import Callable, Mapping
from math import inf
from sys import argv

from bilberry_core.messages.replica import Member, Membership
from bilberry_replica.joining import must_ask_to_join
from bilberry_replica.leading import admit_member, readmit_member
from bilberry_replica.member import find_member, list_voters

from tests.bilberry_core.power_loss import pick_loss
from tests.bilberry_replica.checker import (
    ScheduleError,
    require,
    stores_change,
)
from tests.bilberry_replica.events import submit
from tests.bilberry_replica.schedule import Host, Schedule, free_disk

DOMAINS = 'aabbc'
#: Replicas that may be lost at once.
TOLERATED = 2
#: Time for which a replica counts as lost after it is back, in seconds.
CATCH_UP_S = 4.0
#: Time in which the fleet answers again after a loss within its tolerance.
ANSWER_S = 8.0
#: Time of one round, in seconds.
ROUND_S = 0.15
#: Longest and shortest fault, in seconds.
FAULT_S = (0.4, 7.0)
#: Time between two events, in seconds.
PAUSE_S = (0.1, 4.0)
#: Time from the loss of a replaced replica to the start of its successor.
SUCCESSION_S = 1.0
#: Time for which a lost disk's replica is down, in seconds.
WIPE_S = 1.5
EVENTS = 5


class Order(Schedule):
    """A fleet that is harmed within its tolerance."""

    def __init__(self, seed: int) -> None:
        """Founds a fleet of five replicas in three failure domains."""
        self.gone: dict[str, Host] = {}
        #: When each replica stops counting as lost.
        self.lost: dict[str, float] = {}
        self.told: list[str] = []
        self._due: list[tuple[float, Callable[[], None]]] = []
        self._loss = float()
        super().__init__(seed, DOMAINS, TOLERATED + 1)

    def play(self) -> None:
        """Plays the order, and the loss of two disks behind it."""
        for _ in range(EVENTS):
            self._harm()
            self._loss = self.random.choice((0, 0, 0.03))
            self.run_for(self.random.uniform(*PAUSE_S))
        while self._due:
            self.run_for(ROUND_S)
        self._loss = 0
        self.run_for(CATCH_UP_S)
        self._require_members('after all are back')
        self._lose_two_disks()
        self.run_for(WIPE_S + CATCH_UP_S)
        self._require_members('after two disks were lost')

    def run_for(self, seconds: float) -> None:
        """Lets time pass, with a change now and then."""
        until = self.now + seconds
        while self.now < until:
            for due in [one for one in self._due if one[0] <= self.now]:
                self._due.remove(due)
                due[1]()
            if self.random.choice((True, False, False)):
                submit(self)
            self.run_faultless_round()
            self._check_leaders()

    def run_faultless_round(self) -> None:
        """Runs a round, in which some messages may be lost.

        No two replicas do what is due at the same time, and messages arrive
        sooner than that.
        """
        running = self.list_running()
        self.random.shuffle(running)
        for host in running:
            self.now += ROUND_S / len(running)
            self.tick_one(host)
            self._exchange()

    def _exchange(self) -> None:
        for _ in range(2):
            for position in range(len(self.in_flight) - 1, -1, -1):
                if self.random.random() < self._loss:
                    self.in_flight.pop(position)
                else:
                    self.deliver(position)
            for host in self.list_running():
                if host.flush or host.replica.needs_flush:
                    self.flush(host)

    def _harm(self) -> None:
        """Harms a replica, unless too many are lost."""
        lost = [name for name, until in self.lost.items() if until > self.now]
        if len(lost) >= TOLERATED:
            return
        sound = [one for one in self.hosts.values() if one.name not in lost]
        leaders = [one for one in sound if one.replica.node.is_leader]
        host = self.random.choice(sound)
        if leaders and self.random.choice((True, False, False)):
            host = leaders[0]
        name = self.random.choice(sorted(HARMS))
        self.told.append(f'{self.now:.2f} {name} {host.name}')
        HARMS[name](self, host)

    def lose_power(self, host: Host) -> None:
        """Takes the power of a replica for a while."""
        self.crash(host, pick_loss(self.random))
        self._end_later(host, lambda: self.start(host))

    def freeze(self, host: Host) -> None:
        """Stops a replica, which goes on later."""
        host.frozen = True

        def thaw() -> None:
            host.frozen = False

        self._end_later(host, thaw)

    def cut_off(self, host: Host) -> None:
        """Cuts a replica off from all others, in one direction or both."""
        others = [name for name in self.hosts if name != host.name]
        ways = self.random.choice(('in', 'out', 'both'))
        links = set()
        if ways != 'out':
            links |= {(other, host.name) for other in others}
        if ways != 'in':
            links |= {(host.name, other) for other in others}
        self.cut |= links

        def join() -> None:
            self.cut -= links

        self._end_later(host, join)

    def lose_disk(self, host: Host) -> None:
        """Gives a replica an empty disk."""
        self.crash(host)
        self.wipe(host)
        self._end_later(host, lambda: self.start(host), WIPE_S)

    def replace(self, host: Host) -> None:
        """Removes a replica for good; an empty one starts elsewhere."""
        self.crash(host)
        self.gone[host.name] = self.hosts.pop(host.name)
        self.cut = {link for link in self.cut if host.name not in link}
        self.in_flight = [
            one for one in self.in_flight if host.name not in one[:2]
        ]
        # Its place in the order of the names is any.
        number = self.random.randrange(100, 1000)
        store = self.next_store()
        successor = Host(f'{number}{host.domain}{store}', host.domain, store)

        def succeed() -> None:
            self.hosts[successor.name] = successor
            self.start(successor)
            self.lost[host.name] = self.now + CATCH_UP_S

        self.lost[host.name] = inf
        self._due.append((self.now + SUCCESSION_S, succeed))

    def _end_later(
        self,
        host: Host,
        end: Callable[[], None],
        seconds: float | None = None,
    ) -> None:
        """Ends a fault later; the replica counts as lost for longer."""
        if seconds is None:
            seconds = self.random.uniform(*FAULT_S)
        self.lost[host.name] = self.now + seconds + CATCH_UP_S

        def end_fault() -> None:
            if host.name in self.hosts:
                end()

        self._due.append((self.now + seconds, end_fault))

    def _lose_two_disks(self) -> None:
        for host in self.random.sample(list(self.hosts.values()), TOLERATED):
            self.told.append(f'{self.now:.2f} final lose_disk {host.name}')
            self.lose_disk(host)

    def _require_members(self, when: str) -> None:
        """Requires that all replicas that run vote, and only those."""
        until = self.now + ANSWER_S
        while not self._are_members() and self.now < until:
            self.run_faultless_round()
        require(self._are_members(), f'{when}: {self._describe()}')
        self.checker.check_end([host.replica for host in self.list_running()])

    def _are_members(self) -> bool:
        running = [host.replica for host in self.list_running()]
        leaders = [one for one in running if one.node.is_leader]
        if len(leaders) != 1 or len(running) != len(self.hosts):
            return False
        if len({one.node.commit for one in running}) != 1:
            return False
        voters = list_voters(leaders[0].committed_membership)
        return {(one.instance, one.store) for one in voters} == {
            (host.name, host.replica.node.store) for host in self.hosts.values()
        }

    def _describe(self) -> str:
        seen = {
            host.name: [
                member.instance + ('' if member.voter else ' (learner)')
                for member in host.replica.node.membership.members
            ]
            for host in self.list_running()
        }
        return f'running {sorted(self.hosts)}, members {seen}: {self.told}'

    def _check_leaders(self) -> None:
        """Requires one leader a term, and single steps of the membership."""
        terms = [
            host.replica.node.term
            for host in self.list_running()
            if host.replica.node.is_leader
        ]
        require(len(terms) == len(set(terms)), 'two leaders of one term')
        for host in self.list_running():
            _check_steps(host.replica.node.log.entries)

    def _admit(self, leader: Host) -> None:
        """Admits whoever asks, as the probes of `Joining` do."""
        for host in self.list_running():
            links = {(host.name, leader.name), (leader.name, host.name)}
            event_time = self._get_event_time(host)
            if host is leader or links & self.cut:
                continue
            node = host.replica.node
            if must_ask_to_join(node, event_time):
                has_log = bool(node.log.last_index)
                admit = readmit_member if has_log else admit_member
                self.do(leader, admit, host.member)

    def _has_stored(self, member: Member, change, version: int) -> bool:
        host = self.gone.get(member.instance)
        if host is None:
            return super()._has_stored(member, change, version)
        return stores_change(host.disk, change, version)

    def _repair(self) -> None:
        """Nothing is repaired by hand."""
        for host in self.hosts.values():
            free_disk(host)


def _check_steps(entries: tuple) -> None:
    memberships = [
        entry.membership for entry in entries if entry.membership is not None
    ]
    for before, after in zip(memberships, memberships[1:], strict=False):
        require(
            _count_changes(before, after) <= 1,
            'memberships differ by more than one replica',
        )


def _count_changes(before: Membership, after: Membership) -> int:
    names = {member.instance for member in (*before.members, *after.members)}
    return sum(
        find_member(before, name) != find_member(after, name) for name in names
    )


#: What may happen to a replica.
HARMS: Mapping[str, Callable[[Order, Host], None]] = {
    'lose_power': Order.lose_power,
    'freeze': Order.freeze,
    'cut_off': Order.cut_off,
    'lose_disk': Order.lose_disk,
    'replace': Order.replace,
    'replace_again': Order.replace,
}


def main(first: int, count: int) -> None:
    """Plays `count` orders, and prints those that break something."""
    broken = 0
    for seed in range(first, first + count):
        try:
            Order(seed).play()
        except ScheduleError as error:
            broken += 1
            print(f'seed {seed}: {error}')
    print(f'{count} orders, {broken} broken')


if __name__ == '__main__':
    main(int(argv[1]), int(argv[2]))
