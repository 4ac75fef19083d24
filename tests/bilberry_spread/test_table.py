"""Tests of endpoint records, their order, leases and tombstones."""

from random import Random

from bilberry_core.endpoint import EndpointState
from bilberry_core.messages.spread import EndpointUpdate
from bilberry_spread import tombstones
from bilberry_spread.directory import RelayDirectory
from bilberry_spread.table import EndpointTable, Home, get_key
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberry_spread.fleet import make_endpoint

RECORDS = st.lists(
    st.builds(
        make_endpoint,
        st.sampled_from(('x', 'y')),
        st.integers(1, 4),
        st.just(EndpointState.READY),
        st.just('s0'),
        st.integers(1, 3),
    ),
    min_size=1,
)
#: `test_variants` runs test methods on additional instances, which the health
#: check would reject.
REUSED = (HealthCheck.differing_executors,)
HERE = Home('here')


class EndpointTableTest(TestCase):
    """Tests of one table."""

    @settings(suppress_health_check=REUSED)
    @given(RECORDS, st.randoms(use_true_random=False))
    def test_order_of_arrival_does_not_matter(self, records, random):
        """The greatest (incarnation, sequence) wins in any order.

        Every record arrives twice.
        """
        arrivals = records * 2
        random.shuffle(arrivals)
        table = EndpointTable(6)
        for record in arrivals:
            table.merge(record, HERE, 0)
        for instance, found in table.endpoints.items():
            mine = [one for one in records if one.instance == instance]
            newest = max(mine, key=lambda one: one[1:3])
            self.assertEqual(get_key(newest), get_key(found))

    @settings(suppress_health_check=REUSED)
    @given(st.permutations(range(1, 6)))
    def test_gone_record_is_not_revived(self, sequences):
        """Older records that arrive after a departure change nothing."""
        table = EndpointTable(6)
        gone = make_endpoint('x', 6, EndpointState.GONE)
        table.merge(gone, HERE, 0)
        for sequence in sequences:
            table.merge(make_endpoint('x', sequence), HERE, 50)
        self.assertEqual({}, table.endpoints)

    def test_later_attachment_wins(self):
        """An update or a lease expiry from an earlier home changes nothing."""
        table = EndpointTable(6)
        record = make_endpoint('x')
        table.merge(make_endpoint('y'), HERE, 0)
        table.merge(record, Home('c', 3), 0)
        table.merge(record, Home('b', 2), 0)
        table.expire_lease(get_key(record), 'b', 0)
        table.expire(100)
        self.assertIn('x', table.find_by_home('c'))

    def test_share_removed_by_leases_is_bounded(self):
        """Within a window leases remove at most half of a service."""
        table = EndpointTable(6)
        for number in range(9):
            table.merge(make_endpoint(f'x-{number}'), HERE, 0, expires=6)
        removed = [len(table.expire(now)) for now in range(50)]
        self.assertEqual(4, sum(removed))
        self.assertEqual(2, len(table.expire(100)))

    def test_tombstones_are_bounded(self):
        """Expired and excess tombstones are dropped."""
        table = EndpointTable(6)
        for number in range(tombstones.MAX_TOMBSTONES + 9):
            gone = make_endpoint(f'x-{number}', 1, EndpointState.GONE)
            table.merge(gone, HERE, 0)
        self.assertEqual(tombstones.MAX_TOMBSTONES, len(table.tombstones))
        table.expire(tombstones.TOMBSTONE_S)
        self.assertEqual(0, len(table.tombstones))

    def test_pause_extends_leases(self):
        """Leases are extended by the length of a pause of this process."""
        table = EndpointTable(6)
        for name in ('x', 'y'):
            table.merge(make_endpoint(name), HERE, 0, expires=6)
        table.extend_leases(20)
        self.assertEqual((), table.expire(20))
        self.assertEqual(1, len(table.expire(26)))

    def test_removal_is_fair_over_services(self):
        """Removals of one service don't use up the limit of another."""
        table = EndpointTable(6)
        random = Random(1)
        for service in ('s0', 's1'):
            for number in range(4):
                record = make_endpoint(f'{service}-{number}', service=service)
                table.merge(record, HERE, 0, expires=random.uniform(1, 6))
        ended = [entry.endpoint.service for entry in table.expire(6)]
        self.assertEqual(['s0', 's0', 's1', 's1'], sorted(ended))


class RelayDirectoryTest(TestCase):
    """Tests of updates from other relays."""

    def test_moved_record_keeps_its_lease(self):
        """A moved record is kept for one lease, then removed.

        The update of its new home may arrive later than the move notice.
        """
        directory = RelayDirectory('here', 6, lambda *_changed: None)
        endpoint = make_endpoint('x')
        others = (make_endpoint('y'), make_endpoint('z'))
        announced = EndpointUpdate((endpoint, *others), attached=(1, 1, 1))
        moved = EndpointUpdate((), moved=(get_key(endpoint),))
        for update in (announced, moved):
            directory.receive_peer_update('there', update, 0, is_full_set=False)
        self.assertEqual((), directory.expire(5))
        self.assertEqual({'x', 'y', 'z'}, set(directory.table.endpoints))
        self.assertEqual((endpoint,), directory.expire(6))

    def test_late_move_notice_changes_nothing(self):
        """A move notice of the old home does not affect the new home."""
        directory = RelayDirectory('here', 6, lambda *_changed: None)
        endpoint = make_endpoint('x')
        for attached, home in enumerate(('there', 'new')):
            announced = EndpointUpdate((endpoint,), attached=(attached,))
            directory.receive_peer_update(home, announced, 0, is_full_set=False)
        moved = EndpointUpdate((), moved=(get_key(endpoint),))
        directory.receive_peer_update('there', moved, 0, is_full_set=False)
        self.assertEqual((), directory.expire(60))
