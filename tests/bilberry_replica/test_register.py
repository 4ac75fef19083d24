"""The register: conflicts, resends, bounds, and refused content."""

from bilberry_core.acceptance import (
    Accepted,
    ChangeIdReused,
    Conflict,
    NotAccepted,
)
from bilberry_core.configuration import (
    Configuration,
    RouteException,
    Service,
    encode_configuration,
)
from bilberry_core.configuration_file import validate_content
from bilberry_core.messages.replica import LoggedChange
from bilberry_core.policy import PolicyChange
from bilberry_replica.register import Register
from testtools import TestCase

from tests.bilberry_replica.fleet import build_change


def apply(register: Register, change_id: str, base: int, name: str = 'a'):
    """Applies a change in term 1."""
    change = build_change(change_id, base, name)
    return register.apply(1, LoggedChange(change, 0))


class RegisterTest(TestCase):
    """Changes applied in the order of the log."""

    def test_outcomes_survive_a_snapshot(self):
        """A resend returns the first outcome; other content is refused."""
        register = Register()
        self.assertEqual(Accepted(1), apply(register, '1', 0))
        self.assertIsInstance(apply(register, '2', 7), NotAccepted)
        register = Register.decode(register.encode())
        self.assertEqual(Accepted(1, resent=True), apply(register, '1', 0))
        self.assertEqual(
            ChangeIdReused('1', 1),
            apply(register, '1', 0, 'b'),
        )
        self.assertIsInstance(apply(register, '2', 7), NotAccepted)

    def test_conflict_contains_the_newer_versions(self):
        """A conflict contains each version after the base, oldest first."""
        register = Register()
        for version in range(4):
            apply(register, str(version), version)
        conflict = apply(register, 'late', 2)
        self.assertIsInstance(conflict, Conflict)
        self.assertEqual([3, 4], [entry.version for entry in conflict.newer])

    def test_history_and_outcomes_are_bounded(self):
        """The oldest ones are dropped; the version still grows."""
        register = Register(history_count=3, outcome_count=2)
        for version in range(9):
            apply(register, str(version), version)
        self.assertEqual(
            [9, 8, 7],
            [entry.version for entry in register.read_history(99)],
        )
        self.assertIsInstance(apply(register, '0', 0), Conflict)
        self.assertEqual(Accepted(9, resent=True), apply(register, '8', 8))

    def test_every_error_of_content_is_reported(self):
        """Undeclared services, blank reasons and shared hosts are reported."""
        rule = RouteException('r', 'ghost', ' ', PolicyChange())
        content = encode_configuration(
            Configuration(
                services=(Service('b', ('x',)), Service('a', ('x',))),
                exceptions=(rule, rule),
            ),
        )
        errors = ' '.join(validate_content(content))
        for part in (
            'expected a text that is not blank',
            "host 'x' already belongs to service 'b'",
            "expected a declared service, got 'ghost'",
        ):
            self.assertIn(part, errors)
        self.assertEqual(1, len(validate_content(b'garbage')))

    def test_duplicates_and_disorder_are_not_canonical(self):
        """A configuration has one encoding, so that digests can be compared."""
        rule = RouteException('r', 'a', 'why', PolicyChange(retries=1))
        services = (Service('a'), Service('b'))
        for configuration in (
            Configuration(services=tuple(reversed(services))),
            Configuration(services=(*services, services[1])),
            Configuration(services=services, exceptions=(rule, rule)),
        ):
            content = encode_configuration(configuration)
            self.assertEqual(
                ['configuration: expected its canonical encoding'],
                validate_content(content),
            )


class NumberedVersionTest(TestCase):
    """Operators who number versions themselves."""

    def apply(self, register, change_id, base, version):
        """Applies a change that names its version."""
        change = build_change(change_id, base, 'a')._replace(version=version)
        return register.apply(1, LoggedChange(change, 0))

    def test_version_numbers_only_grow(self):
        """Numbers may be skipped; one that is not newer is a conflict."""
        register = Register()
        self.assertEqual(Accepted(7), self.apply(register, '1', 0, 7))
        self.assertIsInstance(self.apply(register, '2', 7, 7), Conflict)
        self.assertIsInstance(self.apply(register, '3', 7, 5), Conflict)
        self.assertEqual(Accepted(12), self.apply(register, '4', 7, 12))
        self.assertEqual(
            Accepted(7, resent=True),
            self.apply(register, '1', 0, 7),
        )

    def test_change_ahead_of_its_base_may_be_resent(self):
        """A change that arrived before its base is accepted when resent."""
        register = Register()
        self.assertIsInstance(self.apply(register, '2', 3, 4), NotAccepted)
        self.apply(register, '1', 0, 3)
        self.assertEqual(Accepted(4), self.apply(register, '2', 3, 4))
