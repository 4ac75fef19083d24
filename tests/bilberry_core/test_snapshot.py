"""Tests of snapshots: routes, host names and ranked exceptions."""

from bilberry_core.configuration import (
    AcceptedVersion,
    Configuration,
    RouteException,
    Service,
    compute_digest,
    decode_configuration,
    encode_configuration,
)
from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.error import ConfigurationError
from bilberry_core.policy import CallPolicy, PolicyChange, Priority
from bilberry_core.snapshot import compile_snapshot, decide_policy
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase


def make_endpoint(service: str) -> Endpoint:
    """Returns a ready endpoint of a service."""
    return Endpoint(
        instance=f'{service}-1',
        incarnation=1,
        sequence=1,
        service=service,
        address=Address('127.0.0.1', 9),
        failure_domain='a',
        state=EndpointState.READY,
        slots=12,
        connections=110,
    )


CONFIGURATION = Configuration(
    services=(Service('callouts', ('callouts.example',)),),
    exceptions=(
        RouteException(
            'night',
            'callouts',
            'dispatch at night',
            PolicyChange(priority=Priority.URGENT, timeout_ms=900),
            path_prefix='/open',
        ),
        RouteException(
            'all',
            'callouts',
            'slow disks',
            PolicyChange(timeout_ms=7000),
        ),
    ),
)


class SnapshotTest(TestCase):
    """Tests of compiled snapshots."""

    def setUp(self):
        """Compiles the configuration with endpoints of two services."""
        super().setUp()
        accepted = AcceptedVersion(
            3,
            1,
            compute_digest(CONFIGURATION),
            CONFIGURATION,
        )
        endpoints = {
            name: (make_endpoint(name),) for name in ('callouts', 'unknown')
        }
        self.snapshot = compile_snapshot(accepted, endpoints)

    def test_unknown_service_has_no_route(self):
        """An endpoint of an undeclared service is omitted."""
        self.assertEqual({'callouts'}, set(self.snapshot.routes))

    def test_host_leads_to_service(self):
        """A declared host name and the service's own name both route."""
        self.assertEqual(
            {'callouts': 'callouts', 'callouts.example': 'callouts'},
            self.snapshot.services_by_host,
        )

    def test_longest_prefix_wins(self):
        """The exception with the longest path prefix applies."""
        decision = decide_policy(self.snapshot, 'callouts', 'GET', '/open/4')
        self.assertEqual('night', decision.exception)
        self.assertEqual(900, decision.policy.timeout_ms)
        self.assertEqual(CallPolicy().retries, decision.policy.retries)

    def test_wide_exception_covers_the_rest(self):
        """Other paths use the exception without a prefix."""
        decision = decide_policy(self.snapshot, 'callouts', 'GET', '/other')
        self.assertEqual('slow disks', decision.reason)

    def test_encoding_is_reversible(self):
        """Decoding an encoded configuration returns an equal one."""
        encoded = encode_configuration(CONFIGURATION)
        self.assertEqual(CONFIGURATION, decode_configuration(encoded))

    @given(st.binary(max_size=80))
    def test_garbage_is_a_typed_error(self, garbage):
        """Any bytes give a configuration or a ConfigurationError."""
        try:
            decode_configuration(garbage)
        except ConfigurationError:
            return
