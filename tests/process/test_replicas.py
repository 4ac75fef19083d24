"""Replicas that die, freeze, lose their disk, and operators who race."""

from concurrent.futures import ThreadPoolExecutor
from signal import SIGCONT, SIGSTOP

from tests.process.case import REPLICAS, FleetCase, let_pass, lose_folder

#: Longer than an election, so that a frozen leader is replaced.
_FREEZE_S = 4.0


class ReplicaFaultTest(FleetCase):
    """What was accepted stays accepted, and goes on being accepted."""

    def test_killed_leader_is_replaced(self):
        """A change is accepted after the leader died; it returns forward."""
        leader = self.find_leader()
        self.fleet.kill_daemon(leader)
        self.wait(lambda: self.find_leader() is not None, 'a new leader')
        self.assertEqual(0, self.apply(2, '4s').code)
        self.wait_for_version(2)
        self.fleet.start_daemon(leader)
        self.wait_for_version(2)
        self.assertEqual([], self.watch.reversals)

    def test_frozen_leader_does_not_accept_or_revert(self):
        """A leader that slept through changes gives way when it wakes."""
        leader = self.find_leader()
        self.fleet.signal_daemon(leader, SIGSTOP)
        self.wait(
            lambda: self.find_leader(leader) is not None,
            'another leader',
        )
        self.assertEqual(0, self.apply(2, '4s').code)
        self.assertEqual(0, self.apply(3, '3s').code)
        self.wait_for_version(3, leader)
        let_pass(_FREEZE_S)
        self.fleet.signal_daemon(leader, SIGCONT)
        self.wait_for_version(3)
        self.assertEqual([], self.watch.reversals)

    def test_lost_disk_is_filled_again(self):
        """A replica without its data folder catches up from the others."""
        leader = self.find_leader()
        lost = next(name for name in REPLICAS if name != leader)
        self.fleet.kill_daemon(lost)
        lose_folder(self.folder / f'data-{lost}')
        self.assertEqual(0, self.apply(2, '4s').code)
        self.fleet.start_daemon(lost)
        self.wait_for_version(2)
        self.assertEqual(0, self.apply(3, '3s').code)
        self.wait_for_version(3)
        self.assertEqual([], self.watch.reversals)

    def test_racing_operators_get_one_acceptance(self):
        """Of two changes with one base version exactly one is accepted."""
        with ThreadPoolExecutor(2) as pool:
            races = [
                pool.submit(self.apply, number, timeout, '--base', '1')
                for number, timeout in ((2, '4s'), (3, '3s'))
            ]
        codes = sorted(race.result().code for race in races)
        self.assertEqual([0, 3], codes)
        self.wait_for_version(2)
        self.assertEqual({2}, set(self.read_versions().values()))

    def test_resent_change_is_accepted_once(self):
        """The same change ID gives the first outcome, after a leader died."""
        words = ('--base', '1', '--change-id', 'once')
        self.assertEqual(0, self.apply(2, '4s', *words).code)
        leader = self.find_leader()
        self.fleet.kill_daemon(leader)
        self.wait(lambda: self.find_leader() is not None, 'a new leader')
        self.assertEqual(0, self.apply(2, '4s', *words).code)
        self.wait_for_version(2)
        self.assertEqual({2}, set(self.read_versions().values()))

    def test_whole_fleet_dies_and_returns(self):
        """After every daemon was killed, nothing accepted is lost."""
        self.assertEqual(0, self.apply(2, '4s').code)
        self.wait_for_version(2)
        daemons = self.fleet.running_daemons()
        for instance in daemons:
            self.fleet.kill_daemon(instance)
        for instance in daemons:
            self.fleet.start_daemon(instance)
        self.wait_for_version(2)
        self.assertEqual(0, self.apply(3, '3s').code)
        self.wait_for_version(3)
        self.assertEqual([], self.watch.reversals)

    def test_frozen_and_killed_replica_together(self):
        """Without a quorum nothing is accepted; requests still flow."""
        leader = self.find_leader()
        others = [name for name in REPLICAS if name != leader]

        def lose_quorum() -> None:
            self.fleet.signal_daemon(leader, SIGSTOP)
            self.fleet.kill_daemon(others[0])
            outcome = self.apply(2, '4s', '--timeout', '3')
            self.assertNotEqual(0, outcome.code, outcome)

        judgement = self.call_during((('a-2', 'stock'),), lose_quorum)
        self.assertEqual(frozenset(), judgement.twice)
        self.assertEqual(frozenset(), judgement.untrue)
        self.assertTrue(judgement.answered)
        self.fleet.signal_daemon(leader, SIGCONT)
        self.fleet.start_daemon(others[0])
        self.wait(lambda: self.find_leader() is not None, 'a leader again')
        self.wait_for_version(1)
        self.assertEqual([], self.watch.reversals)
