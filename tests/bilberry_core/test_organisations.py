"""Tests organisations in the operators' configuration."""

from bilberry_core.configuration import (
    Configuration,
    decode_configuration,
    encode_configuration,
)
from bilberry_core.configuration_file import (
    parse_configuration,
    render_configuration,
    validate_content,
)
from bilberry_core.organisation import Organisation, compute_key_digest
from bilberry_core.policy import Priority
from msgpack import unpackb
from testtools import TestCase

KEY = 'a-key-that-nobody-may-see'
DIGEST = compute_key_digest(KEY.encode())
TEXT = f"""
organisations:
  acme:
    key_digests: [{DIGEST}]
    priority: urgent
    rate: 12.5
    burst: 20
"""


class OrganisationsTest(TestCase):
    """What a configuration with organisations holds, and what it must not."""

    def test_parsing_and_rendering_are_inverse(self):
        """With every key."""
        parsed = parse_configuration(TEXT, 'a').unwrap()
        expected = Organisation('acme', (DIGEST,), Priority.URGENT, 12.5, 20)
        self.assertEqual((expected,), parsed.organisations)
        again = parse_configuration(render_configuration(parsed), 'a')
        self.assertEqual(parsed, again.unwrap())
        encoded = encode_configuration(parsed)
        self.assertEqual(parsed, decode_configuration(encoded))
        self.assertEqual([], validate_content(encoded))

    def test_organisation_without_a_rate_is_refused(self):
        """It has no limit, in the file and in what replicas store."""
        text = '\n'.join(TEXT.splitlines()[:-2])
        for rate in ('', '\n    rate: 0', '\n    rate: 0.0'):
            parsed = parse_configuration(f'{text}{rate}', 'a').unwrap()
            encoded = encode_configuration(parsed)
            self.assertEqual([], validate_content(encoded))
            self.assertEqual(parsed, decode_configuration(encoded))

    def test_key_of_two_organisations_is_refused_by_their_names(self):
        """The problem shows neither the key nor its digest."""
        text = f'{TEXT}  other:\n    key_digests: [{DIGEST}]\n'
        (problem,) = parse_configuration(text, 'a').failure()
        shown = problem.describe()
        self.assertIn('acme', shown)
        self.assertIn('other', shown)
        self.assertNotIn(DIGEST, shown)

    def test_key_in_place_of_its_digest_is_refused_and_not_shown(self):
        """An operator may mistake one for the other."""
        problems = parse_configuration(TEXT.replace(DIGEST, KEY), 'a')
        for problem in problems.failure():
            self.assertNotIn(KEY, problem.describe())

    def test_configuration_without_organisations_is_encoded_as_before(self):
        """A release that knows none decodes it."""
        self.assertEqual(4, len(unpackb(encode_configuration(Configuration()))))
