"""Tests of deltas, snapshots and their reception."""

from bilberry_core.board import Board
from bilberry_core.configuration import compute_digest
from bilberry_core.endpoint import Address
from bilberry_core.messages.spread import SnapshotRequest
from bilberry_core.metric import NullMetrics
from bilberry_core.settings import Peer
from bilberry_core.snapshot import compile_snapshot
from bilberry_spread.compiler import SnapshotController, group_by_service
from bilberry_spread.delta import (
    apply_delta,
    build_delta,
    build_snapshot_message,
)
from bilberry_spread.history import MAX_VERSIONS, VersionHistory
from bilberry_spread.reception import Reception
from bilberry_spread.runtime import Runtime
from bilberry_spread.start import StartGate
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from returns.result import Success
from testtools import TestCase

from tests.bilberry_spread.fakes import FakeTime
from tests.bilberry_spread.fleet import make_accepted, make_endpoint
from tests.bilberry_spread.schedules import make_version

SOURCE = Peer('r-1', Address('127.0.0.1', 9), 'a')

#: `test_variants` runs test methods on additional instances, which the health
#: check would reject.
REUSED = (HealthCheck.differing_executors,)
VERSIONS = st.integers(1, 40)


class DeltaTest(TestCase):
    """Tests of deltas between any two versions."""

    @given(VERSIONS, VERSIONS)
    def test_delta_gives_the_target(self, base, target):
        """A delta applied to its base gives exactly the target."""
        old = make_version(base)
        new = make_version(target)
        delta = build_delta(old, new)
        self.assertEqual(Success(new), apply_delta(old, delta))

    @settings(suppress_health_check=REUSED)
    @given(VERSIONS, VERSIONS, VERSIONS, st.binary(min_size=8, max_size=8))
    def test_wrong_delta_is_refused(self, base, target, held, digest):
        """A delta with another base or another digest is refused."""
        delta = build_delta(make_version(base), make_version(target))
        if held != base:
            outcome = apply_delta(make_version(held), delta)
            self.assertNotIsInstance(outcome, Success)
        wrong = delta._replace(digest=digest)
        outcome = apply_delta(make_version(base), wrong)
        self.assertNotIsInstance(outcome, Success)

    def test_unknown_base_gets_a_snapshot(self):
        """The update for a dropped or unknown base is a snapshot."""
        history = VersionHistory()
        for version in range(1, MAX_VERSIONS + 10):
            history.add(make_accepted(version, services=40))
        oldest = make_accepted(1, services=40)
        recent = make_accepted(MAX_VERSIONS, services=40)
        snapshot = history.encode_snapshot()
        self.assertEqual(snapshot, history.encode_update(1, oldest.digest))
        self.assertEqual(
            snapshot, history.encode_update(recent.version, b'other')
        )
        delta = history.encode_update(recent.version, recent.digest)
        self.assertLess(len(delta), len(snapshot) / 2)
        self.assertIs(
            delta, history.encode_update(recent.version, recent.digest)
        )


class ReceptionTest(TestCase):
    """Tests of messages that arrive twice, late, out of order or damaged."""

    def setUp(self):
        """Creates a reception that has received nothing."""
        super().setUp()
        self._start()

    def _start(self):
        self.board = Board()
        time = FakeTime()
        runtime = Runtime(None, time, time, None, NullMetrics())
        gate = StartGate((), wait_s=0)
        self.reception = Reception(self.board, gate, 2, runtime)
        self.compiler = SnapshotController(self.board)
        self.board.accepted.watch(lambda _put: self.compiler.compile())

    @given(st.lists(VERSIONS, min_size=1))
    @settings(suppress_health_check=REUSED)
    def test_versions_only_increase(self, versions):
        """Of snapshots in any order only newer versions are published."""
        self._start()
        put = []
        self.board.snapshot.watch(lambda one: put.append(one.version))
        for version in versions:
            self._receive(build_snapshot_message(make_version(version)))
        self.assertEqual(sorted(set(put)), put)
        self.assertEqual([max(versions)], put[-1:])

    @given(VERSIONS, st.lists(st.sets(st.sampled_from('abcdef'))))
    def test_endpoints_change_as_if_compiled_anew(self, version, changes):
        """A snapshot with replaced endpoints equals a new compilation."""
        self._start()
        accepted = make_version(version)
        self._receive(build_snapshot_message(accepted))
        for names in changes:
            endpoints = {
                name: make_endpoint(name, service=f's{ord(name) % 4}')
                for name in names
            }
            self.board.endpoints.put(endpoints)
            self.compiler.compile()
            grouped = group_by_service(endpoints.values())
            expected = compile_snapshot(accepted, grouped)
            self.assertEqual(expected, self.board.snapshot.value)

    def test_wrong_delta_asks_for_a_snapshot(self):
        """A wrong delta is not applied; a snapshot is requested."""
        held = make_version(1)
        self._receive(build_snapshot_message(held))
        delta = build_delta(make_version(2), make_version(3))
        self.assertEqual(SnapshotRequest(1, held.digest), self._receive(delta))
        damaged = build_delta(held, make_version(5))._replace(services=())
        self.assertEqual(
            SnapshotRequest(1, held.digest), self._receive(damaged)
        )
        self.assertEqual(1, self.board.snapshot.value.version)

    def test_damaged_snapshot_is_not_requested_again(self):
        """A damaged snapshot is dropped and not requested in a loop."""
        message = build_snapshot_message(make_version(1))
        damaged = message._replace(digest=b'damaged!')
        self.assertIsNone(self._receive(damaged))
        garbage = message._replace(content=b'\xc1')
        self.assertIsNone(self._receive(garbage))
        self.assertIsNone(self.board.snapshot.value)

    def test_exception_is_never_seen_without_its_service(self):
        """An exception and its service arrive in one snapshot."""
        old = make_version(3)
        new = make_version(4)
        self._receive(build_snapshot_message(old))
        self._receive(build_delta(old, new))
        snapshot = self.board.snapshot.value
        named = {
            rule.service
            for route in snapshot.routes.values()
            for rule in route.exceptions
        }
        self.assertLessEqual(named, snapshot.routes.keys())
        self.assertEqual(compute_digest(new.configuration), snapshot.digest)

    def _receive(self, message):
        return self.reception.receive_configuration(message, SOURCE)
