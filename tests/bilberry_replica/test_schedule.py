"""Schedules of faults: acceptance stays linearizable, nothing is lost.

The seeds are fixed by the `ci` profile; `make soak` runs more.
"""

from bilberry_replica.node import EventTime
from bilberry_replica.removal import measure_silences
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_replica.events import run_schedule, submit
from tests.bilberry_replica.schedule import (
    LIMITS,
    TIMING,
    Host,
    Schedule,
    free_disk,
)

SEEDS = st.integers(0, 1 << 32)
STEPS = st.integers(100, 400)
DOMAINS = st.sampled_from(('a', 'aab', 'abc', 'aabbc', 'abcde'))
EXAMPLES = settings(max_examples=300)
#: Time within which a change is accepted while a quorum works, in seconds.
ACK_S = 4.0
_LONG_S = 3600.0


def stall_disk(schedule: Schedule, host: Host, hangs: bool) -> None:
    """Makes a disk hang, or refuse whatever does not fit."""
    if hangs:
        host.hung_until = schedule.now + _LONG_S
    else:
        host.disk.room = 7


def find_leader(schedule: Schedule) -> Host:
    """Returns the leader of the newest term."""
    leaders = [
        host for host in schedule.list_running() if host.replica.node.is_leader
    ]
    return max(leaders, key=lambda host: host.replica.node.term)


def run_rounds(schedule: Schedule, count: int) -> None:
    """Runs rounds without new faults."""
    for _ in range(count):
        schedule.run_faultless_round()


def offer_until_accepted(case: TestCase, schedule: Schedule) -> None:
    """Submits changes until one is acknowledged, and checks the time."""
    began = schedule.now
    acknowledged = schedule.checker.acknowledged
    while schedule.checker.acknowledged == acknowledged:
        submit(schedule)
        schedule.run_faultless_round()
        case.assertLess(schedule.now - began, ACK_S)


class ScheduleTest(TestCase):
    """Replicas and the naive register decide alike under all faults."""

    @settings(max_examples=100)
    @given(SEEDS, DOMAINS)
    def test_leader_soon_after_all_crash(self, seed, domains):
        """After all crash and restart, one leads within five timeouts."""
        schedule = Schedule(seed, domains)
        for host in schedule.list_running():
            schedule.crash(host)
        for host in schedule.hosts.values():
            schedule.start(host)
        began = schedule.now
        while not any(
            host.replica.node.is_leader for host in schedule.list_running()
        ):
            schedule.run_faultless_round()
            waited_s = schedule.now - began
            self.assertLess(waited_s, 5 * TIMING.election_s)

    @settings(max_examples=100)
    @given(SEEDS, DOMAINS)
    def test_no_wait_for_a_leader_if_all_were_restarted(self, seed, domains):
        """None of them can have promised its vote to one that still leads."""
        schedule = Schedule(seed, domains)
        for host in schedule.list_running():
            schedule.crash(host)
        for host in schedule.hosts.values():
            schedule.start(host)
        began = schedule.now
        while not any(
            host.replica.node.is_leader for host in schedule.list_running()
        ):
            schedule.run_faultless_round()
            waited_s = schedule.now - began
            self.assertLess(waited_s, TIMING.election_s)

    @settings(max_examples=20)
    @given(SEEDS, st.sampled_from(('abc', 'aabbc', 'abcde')), st.booleans())
    def test_disks_stall_one_after_another(self, seed, domains, hangs):
        """Another one leads in time, and no term follows the other."""
        schedule = Schedule(seed, domains)
        names = set(schedule.hosts)
        for stalled in schedule.hosts.values():
            stall_disk(schedule, stalled, hangs)
            noticed_at = schedule.now + ACK_S
            while schedule.now < noticed_at:
                offer_until_accepted(self, schedule)
                run_rounds(schedule, 10)
            term = find_leader(schedule).replica.node.term
            run_rounds(schedule, 100)
            leader = find_leader(schedule).replica.node
            self.assertEqual(term, leader.term)
            self.assertNotEqual(stalled.name, leader.instance)
            self.assertEqual(leader.instance, stalled.replica.node.leader)
            self.assertEqual(
                names,
                {member.instance for member in leader.membership.members},
            )
            free_disk(stalled)
            offer_until_accepted(self, schedule)
        schedule.settle()

    @settings(max_examples=20)
    @given(SEEDS, st.booleans())
    def test_stalled_replica_queues_no_more_than_a_snapshot(self, seed, hangs):
        """Its memory doesn't grow with the entries and messages it gets."""
        schedule = Schedule(seed, 'abc')
        stalled = schedule.hosts['2c']
        stall_disk(schedule, stalled, hangs)
        for _ in range(60):
            offer_until_accepted(self, schedule)
            run_rounds(schedule, 5)
        # The replacement of the file, and what is appended to it.
        queued = 1 + len(stalled.journal._encoded)
        self.assertLessEqual(queued, 2 * LIMITS.log_entries)
        self.assertLessEqual(len(stalled.replica._late), 256)
        schedule.settle()

    @settings(max_examples=20)
    @given(SEEDS, st.booleans())
    def test_stalled_learner_is_not_taken_for_lost(self, seed, hangs):
        """It needs a snapshot, and would not come back once removed."""
        schedule = Schedule(seed, 'abc')
        for _ in range(20):
            offer_until_accepted(self, schedule)
        leader = find_leader(schedule)
        learner = next(
            host for host in schedule.hosts.values() if host is not leader
        )
        schedule.crash(learner)
        schedule.wipe(learner)
        schedule.start(learner)
        stall_disk(schedule, learner, hangs)
        run_rounds(schedule, 200)
        leader = find_leader(schedule)
        event_time = EventTime(schedule.now * leader.clock_rate, 0)
        silent = measure_silences(leader.replica.node, event_time)
        self.assertEqual({}, silent)
        self.assertEqual(0, leader.replica.node.peers[learner.name].match)
        schedule.settle()

    @EXAMPLES
    @given(SEEDS, DOMAINS, STEPS)
    def test_mixed_faults(self, seed, domains, steps):
        """Messages, links, crashes, disks and clocks fail in turn."""
        run_schedule(seed, domains, steps)

    @EXAMPLES
    @given(SEEDS, DOMAINS, STEPS)
    def test_full_and_hung_disks(self, seed, domains, steps):
        """Disks refuse writes, partly or wholly, or hang, and recover."""
        run_schedule(seed, domains, steps, 'disks')

    @EXAMPLES
    @given(SEEDS, DOMAINS, STEPS)
    def test_many_elections(self, seed, domains, steps):
        """Leaders seldom stay for long."""
        run_schedule(seed, domains, steps, 'elections')

    @EXAMPLES
    @given(SEEDS, DOMAINS, STEPS)
    def test_many_membership_steps(self, seed, domains, steps):
        """Replicas lose their disks, are removed and admitted again."""
        run_schedule(seed, domains, steps, 'membership')
