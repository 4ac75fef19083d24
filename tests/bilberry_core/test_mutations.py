"""Tests settings and configurations with one part replaced or removed."""

from copy import deepcopy
from datetime import date

from bilberry_core.configuration import encode_configuration
from bilberry_core.configuration_file import (
    parse_configuration,
    validate_content,
)
from bilberry_core.document import render_document
from bilberry_core.settings_file import parse_settings
from hypothesis import example, given
from hypothesis import strategies as st
from returns.result import Failure, Success
from testtools import TestCase
from yaml import safe_load

from tests.bilberry_core.test_configuration_file import GOOD as CONFIGURATION
from tests.bilberry_core.test_settings_file import GOOD as SETTINGS

scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.just(date(2026, 1, 1))
    | st.text(max_size=6)
    | st.sampled_from(['7s', '20%', '127.0.0.1:1', 'replica', 'a' * 2000])
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(scalars, inner, max_size=3)
    ),
    max_leaves=4,
)


@st.composite
def mutations(draw, text):
    """Draws the document in `text` with one part replaced or removed."""
    document = deepcopy(safe_load(text))
    part = document
    while True:
        keys = list(part) if isinstance(part, dict) else list(range(len(part)))
        key = draw(st.sampled_from(keys))
        inner = part[key]
        deeper = isinstance(inner, (dict, list)) and inner
        if not deeper or draw(st.booleans()):
            break
        part = inner
    if draw(st.booleans()):
        part[key] = draw(values)
    elif isinstance(part, dict):
        part[draw(scalars)] = part.pop(key)
    return render_document(document)


class MutationsTest(TestCase):
    """Tests of documents that are valid but for one part."""

    @given(mutations(SETTINGS))
    @example(r'{"a\n\n": 1}')
    def test_settings_give_settings_or_problems(self, text):
        """A mutated document gives problems, each on one line."""
        parsed = parse_settings(text, '/nowhere/settings.yaml')
        self.assertIsInstance(parsed, Failure)
        for problem in parsed.failure():
            self.assertNotIn('\n', problem.describe())

    @given(mutations(CONFIGURATION))
    @example(r'exceptions: {"a\nb": {service: "c\nd"}}')
    @example(r'services: {"a\n": {hosts: [h]}, b: {hosts: [h, "a\n"]}}')
    def test_configuration_is_valid_or_has_problems(self, text):
        """Replicas accept the encoding of every configuration parsed here."""
        parsed = parse_configuration(text, 'fleet.yaml')
        if isinstance(parsed, Success):
            content = encode_configuration(parsed.unwrap())
            self.assertEqual([], validate_content(content))
            return
        for problem in parsed.failure():
            self.assertNotIn('\n', problem.describe())
