"""Mutation tests: for each broken rule a named test must fail."""

from typing import NamedTuple
from unittest.mock import patch

from bilberry_core.configuration import AcceptedVersion
from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.spread import LeaseRenewal, VersionReport
from bilberry_spread import (
    compiler,
    delta,
    mesh_receiver,
    relay,
    relay_source,
)
from bilberry_spread.admission import JoinAdmission
from bilberry_spread.directory import RelayDirectory
from bilberry_spread.mesh import MeshPeer
from bilberry_spread.pacing import ReturnTimer
from bilberry_spread.receiver import Receiver
from bilberry_spread.reception import ConfigurationReceiver, Reception
from bilberry_spread.removal import RemovalLimit
from bilberry_spread.session import Session
from bilberry_spread.source import Source
from bilberry_spread.source_set import SourceSet
from bilberry_spread.source_streams import SourceStreams
from bilberry_spread.start import StartGate
from bilberry_spread.table import EndpointTable
from bilberry_spread.tombstones import Tombstones
from returns.result import Success
from testtools import TestCase

from tests.bilberry_spread import (
    test_delta,
    test_failures,
    test_mesh,
    test_table,
)

INIT_GATE = StartGate.__init__


class Variant(NamedTuple):
    """A broken rule, as patches, and the test that must fail with it."""

    name: str
    broken: tuple
    check: TestCase


def ignore(*_arguments, **_options) -> None:
    """Does nothing; replaces the implementation of a rule."""


def always(answer):
    """Returns a function that always returns `answer`."""
    return lambda *_arguments, **_options: answer


def accept_any_version(self, received) -> None:
    """Accepts an older version as if it were newer."""
    self._held = delta.read_snapshot_message(received).unwrap()


def skip_digest_check(received, configuration):
    """Accepts a configuration without checking its digest."""
    return Success(
        AcceptedVersion(
            received.version,
            received.term,
            received.digest,
            configuration,
        ),
    )


def put_any_version(self) -> None:
    """Replaces a newer version by an older one."""
    self._board.accepted.put(self._receiver.held)


def flush_unwritable(self, content, now) -> None:
    """Sends to a receiver whose stream is not writable."""
    is_writable = self.link.is_writable
    self.link.is_writable = True
    for encoded in self._collect(content, now):
        self.link.send_encoded(encoded)
    self.link.is_writable = is_writable


def expire_at_once(self, instances, now) -> None:
    """Treats proxies of a silent relay as crashed, without a lease."""
    for instance in tuple(instances):
        entry = self._entries[instance]
        self._put(entry._replace(expires=now))


def expire_all(self, now, *, local_only=False) -> None:
    """Expires leases of other relays' proxies while cut off."""
    for entry in self._table.expire(now):
        self._on_change(entry.endpoint, False)


def report_everyone(_reported, current) -> VersionReport:
    """Reports every proxy by name on every change."""
    return VersionReport(dict(current))


def wait_without_bound(self, held, _now) -> bool:
    """Opens the gate only if the start rule is met, without a timeout."""
    self._open = self.is_met(held)
    return self._open


def init_beacon_advanced(self, relays) -> None:
    """Starts a gate as if a beacon had already advanced."""
    INIT_GATE(self, relays)
    self._has_beacon_advanced = True


def list_others(self, _stale_s, _now) -> list:
    """Treats every source but the main one as not needed."""
    return list(self.others)


VARIANTS = (
    Variant(
        'an older version is accepted',
        (
            (ConfigurationReceiver, 'receive', accept_any_version),
            (Reception, '_put_accepted', put_any_version),
            (compiler, '_may_replace', always(True)),
        ),
        test_delta.ReceptionTest('test_versions_only_increase'),
    ),
    Variant(
        'a damaged snapshot is applied',
        ((delta, '_check', skip_digest_check),),
        test_delta.ReceptionTest(
            'test_damaged_snapshot_is_not_requested_again',
        ),
    ),
    Variant(
        'an older record wins',
        ((Endpoint, 'is_newer_than', always(True)),),
        test_table.EndpointTableTest('test_order_of_arrival_does_not_matter'),
    ),
    Variant(
        'ended records get no tombstone',
        ((Tombstones, 'find', ignore),),
        test_table.EndpointTableTest('test_gone_record_is_not_revived'),
    ),
    Variant(
        'the last home to arrive owns a record',
        ((EndpointTable, '_get_attached', always(0)),),
        test_table.EndpointTableTest('test_later_attachment_wins'),
    ),
    Variant(
        'leases remove everything',
        ((RemovalLimit, 'allow', always(True)),),
        test_failures.EndpointTest('test_isolated_relay_removes_only_a_share'),
    ),
    Variant(
        'leases remove nothing',
        ((RemovalLimit, 'allow', always(False)),),
        test_failures.EndpointTest('test_silent_endpoint_ends_by_its_lease'),
    ),
    Variant(
        'a lost relay removes its proxies at once',
        ((EndpointTable, 'start_leases', expire_at_once),),
        test_failures.EndpointTest(
            'test_death_of_two_relays_removes_no_endpoint'
        ),
    ),
    Variant(
        'a cut-off relay expires leases of other relays',
        (
            (RelayDirectory, 'expire', expire_all),
            (RemovalLimit, 'allow', always(True)),
        ),
        test_failures.EndpointTest(
            'test_cut_off_relay_expires_no_lease_of_other_relays'
        ),
    ),
    Variant(
        'a restarted relay sends services as complete',
        ((relay, 'RECONNECT_S', -100),),
        test_failures.EndpointTest(
            'test_death_of_all_relays_removes_no_endpoint'
        ),
    ),
    Variant(
        'a departure is sent only once',
        ((Tombstones, 'find_gone', always(())),),
        test_failures.EndpointTest(
            'test_departure_during_a_partition_is_sent_afterwards'
        ),
    ),
    Variant(
        'renewals are ignored',
        ((Session, '_handlers', {**Session._handlers, LeaseRenewal: ignore}),),
        test_failures.EndpointTest('test_silent_endpoint_ends_by_its_lease'),
    ),
    Variant(
        'no start rule',
        ((StartGate, 'is_met', always(True)),),
        test_failures.StartTest('test_restart_does_not_start_behind'),
    ),
    Variant(
        'relays without new beacons meet the start rule',
        ((StartGate, '__init__', init_beacon_advanced),),
        test_failures.StartTest('test_two_cut_off_relays_do_not_mislead'),
    ),
    Variant(
        'the start rule has no timeout',
        ((StartGate, 'check', wait_without_bound),),
        test_failures.StartTest('test_start_wait_is_bounded'),
    ),
    Variant(
        'staleness is not detected',
        ((Reception, 'is_stale', False),),
        test_failures.StalenessTest(
            'test_proxies_leave_a_relay_that_is_cut_off'
        ),
    ),
    Variant(
        'a source behind its beacons is kept',
        ((SourceStreams, 'leave_behind', ignore),),
        test_failures.StalenessTest(
            'test_relay_that_sends_beacons_but_no_version_is_abandoned',
        ),
    ),
    Variant(
        'no standby is kept',
        (
            (SourceSet, 'has_standby', always(True)),
            (SourceSet, 'list_surplus', list_others),
        ),
        test_failures.StalenessTest(
            'test_version_does_not_depend_on_the_main_source',
        ),
    ),
    Variant(
        'a silent source is kept',
        ((Source, 'is_silent', always(False)),),
        test_failures.StalenessTest(
            'test_proxies_leave_a_relay_that_is_cut_off'
        ),
    ),
    Variant(
        'proxies never return to the preferred relay',
        ((ReturnTimer, 'is_due', False),),
        test_failures.StalenessTest(
            'test_proxy_returns_to_its_preferred_relay'
        ),
    ),
    Variant(
        'joins are not limited',
        ((JoinAdmission, 'admit', always(0)),),
        test_failures.HerdTest('test_refused_join_gets_a_retry_delay'),
    ),
    Variant(
        'messages for a slow receiver are buffered',
        ((Receiver, 'flush', flush_unwritable),),
        test_failures.HerdTest('test_slow_receiver_is_coalesced'),
    ),
    Variant(
        'a reconnected relay is not dialed at once',
        ((MeshPeer, 'redial_now', ignore),),
        test_mesh.MeshTest(
            'test_relay_that_is_heard_is_dialed_during_a_backoff'
        ),
    ),
    Variant(
        'reports name every proxy',
        (
            (relay_source, 'build_report', report_everyone),
            (mesh_receiver, 'build_report', report_everyone),
        ),
        test_failures.HerdTest(
            'test_bytes_of_the_source_do_not_grow_with_the_fleet'
        ),
    ),
    Variant(
        'a wrong delta is applied',
        ((delta, '_check', skip_digest_check),),
        test_delta.DeltaTest('test_wrong_delta_is_refused'),
    ),
)


def run_check(check: TestCase) -> None:
    """Runs a test on a new instance; raises if it fails."""
    type(check)(check._testMethodName).debug()


class VariantTest(TestCase):
    """Tests that the checks pass, and fail on a broken rule."""

    def test_checks_pass_unbroken(self):
        """Without a broken rule every check of a variant passes."""
        for check in {str(one.check): one.check for one in VARIANTS}.values():
            run_check(check)

    def test_every_variant_is_caught(self):
        """Each broken rule makes its check fail."""
        survivors = [
            variant.name for variant in VARIANTS if not self._is_caught(variant)
        ]
        self.assertEqual([], survivors)

    def _is_caught(self, variant: Variant) -> bool:
        patches = [patch.object(*broken) for broken in variant.broken]
        for one in patches:
            one.start()
        try:
            run_check(variant.check)
        except AssertionError:
            return True
        finally:
            for one in patches:
                one.stop()
        return False
