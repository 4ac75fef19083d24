"""Quarantine: the guilty after two crashes, the innocent never."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from bilberry_claims.quarantine import (
    MAX_SUSPECTS,
    MAX_SUSPICION_MS,
    Crash,
    InFlight,
    expire_suspects,
    find_quarantined,
    may_run_beside,
    merge_suspects,
    name_suspects,
)
from bilberry_core.board import Suspect

_POISON = b'poison'
_SUSPICION_MS = 60_000


def _suspect(fingerprint=_POISON, instance='a', incarnation=1, expires_ms=100):
    return Suspect(fingerprint, 'booking', instance, incarnation, expires_ms)


def _table(*suspects):
    return merge_suspects({}, suspects, 0)


class FindTest(TestCase):
    """Two crashes of different processes quarantine a fingerprint."""

    def test_one_crash_is_not_enough(self):
        table = _table(_suspect())
        self.assertIsNone(find_quarantined(table, _POISON, 0))

    def test_same_crash_twice_is_one(self):
        table = _table(_suspect(), _suspect(expires_ms=200))
        self.assertIsNone(find_quarantined(table, _POISON, 0))

    def test_two_instances_or_two_incarnations(self):
        for second in (_suspect(instance='b'), _suspect(incarnation=2)):
            found = find_quarantined(_table(_suspect(), second), _POISON, 0)
            self.assertEqual(2, len(found.crashes))

    def test_ends_when_the_older_suspicion_expires(self):
        table = _table(_suspect(), _suspect(instance='b', expires_ms=300))
        self.assertEqual(100, find_quarantined(table, _POISON, 99).expires_ms)
        self.assertIsNone(find_quarantined(table, _POISON, 100))

    def test_other_fingerprints_pass(self):
        table = _table(_suspect(), _suspect(b'other', instance='b'))
        self.assertIsNone(find_quarantined(table, _POISON, 0))


class MergeTest(TestCase):
    """The table of suspicions is bounded and keeps the later expiry."""

    def test_unchanged_table_is_the_same_object(self):
        table = _table(_suspect())
        self.assertIs(table, merge_suspects(table, [_suspect()], 0))

    def test_expiry_is_capped(self):
        table = _table(_suspect(expires_ms=10 * MAX_SUSPICION_MS))
        self.assertEqual({}, expire_suspects(table, MAX_SUSPICION_MS))

    def test_expired_suspicions_are_not_taken_over(self):
        self.assertEqual({}, merge_suspects({}, [_suspect()], 100))

    def test_size_is_bounded(self):
        told = [
            _suspect(str(index).encode(), expires_ms=index + 1)
            for index in range(MAX_SUSPECTS + 10)
        ]
        table = merge_suspects({}, told, 0)
        self.assertEqual(MAX_SUSPECTS, len(table))
        self.assertEqual(11, min(one.expires_ms for one in table.values()))


class AloneTest(TestCase):
    """Suspected requests run alone until an upstream answered them."""

    def test_suspected_waits_for_an_idle_upstream(self):
        table = _table(_suspect())
        self.assertFalse(may_run_beside(table, _POISON, [b'x'], 0))
        self.assertTrue(may_run_beside(table, _POISON, [], 0))

    def test_nothing_starts_beside_a_suspected_one(self):
        table = _table(_suspect())
        self.assertFalse(may_run_beside(table, b'x', [_POISON], 0))

    def test_answered_one_runs_beside_others(self):
        table = _table(_suspect())
        self.assertTrue(may_run_beside(table, _POISON, [b'x'], 0, {_POISON}))

    def test_answered_ones_are_not_named_unless_all_were(self):
        crash = Crash('a', 1, 0, _SUSPICION_MS)
        flying = [InFlight(_POISON, 'booking'), InFlight(b'read', 'stock')]
        named = name_suspects(crash, flying, {b'read'})
        self.assertEqual([_POISON], [one.fingerprint for one in named])
        named = name_suspects(crash, flying, {b'read', _POISON})
        self.assertEqual(2, len(named))


class _Fleet:
    """Upstreams with slots; those that run the poison crash."""

    def __init__(self, slots):
        self.slots = slots
        self.suspects = {}
        self.running = []
        self.crashes = []
        self.refused = set()

    def offer(self, fingerprint, alone=True):
        """Starts a request if it may; a full upstream runs its batch."""
        beside = may_run_beside(self.suspects, fingerprint, self.running, 0)
        if alone and not beside:
            self.finish()
        if find_quarantined(self.suspects, fingerprint, 0):
            self.refused.add(fingerprint)
            return
        self.running.append(fingerprint)
        if len(self.running) == self.slots:
            self.finish()

    def finish(self):
        """Ends what runs, in a crash if a poison is among it."""
        batch = self.running
        self.running = []
        poisons = {one for one in batch if one.startswith(_POISON)}
        if not poisons:
            return
        self.crashes.extend(poisons)
        crash = Crash('up', len(self.crashes), 0, _SUSPICION_MS)
        flying = [InFlight(one, 'booking') for one in batch]
        told = name_suspects(crash, flying)
        self.suspects = merge_suspects(self.suspects, told, 0)


_REQUESTS = st.sampled_from([_POISON, b'poison2', b'a', b'b', b'c', b'd'])


class FleetTest(TestCase):
    """Any order of poisons and innocents, each sent again at will."""

    @given(st.lists(_REQUESTS, max_size=60), st.integers(1, 4))
    def test_two_crashes_at_most_and_no_innocent_refused(self, sent, slots):
        fleet = _Fleet(slots)
        for fingerprint in sent:
            fleet.offer(fingerprint)
        fleet.finish()
        for poison in (_POISON, b'poison2'):
            self.assertLessEqual(fleet.crashes.count(poison), 2)
        innocent = [one for one in fleet.refused if _POISON not in one]
        self.assertEqual([], innocent)

    def test_running_suspects_together_refuses_an_innocent(self):
        fleet = _Fleet(2)
        for fingerprint in (_POISON, b'a', b'a', _POISON, b'a'):
            fleet.offer(fingerprint, alone=False)
        self.assertEqual({b'a'}, fleet.refused)
