"""Tests that documents are loaded within limits, and rendered."""

from os import mkfifo
from pathlib import Path
from tempfile import TemporaryDirectory

from bilberry_core.document import (
    MAX_DOCUMENT_BYTES,
    MAX_NODES,
    load_document,
    render_document,
)
from bilberry_core.text_file import read_text_file
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure
from testtools import TestCase

ALIAS_BOMB = """
a: &a [x, x, x, x, x, x, x, x, x]
b: &b [*a, *a, *a, *a, *a, *a, *a, *a, *a]
c: &c [*b, *b, *b, *b, *b, *b, *b, *b, *b]
"""

REFUSED = {
    'alias "a" is not allowed': ALIAS_BOMB,
    'nested deeper': '[' * 100,
    'nesting depth': '[' * 100_000,
    'more than 100000 keys': f'[{"1," * MAX_NODES}]',
    'more than 1024 characters at line 2': f'a: 1\nb: {"9" * 2000}',
    'characters at line 1': f'1{":59" * 100_000}',
    'value of more than': f'? 0x{"f" * 100_000}\n: 1',
    f'at most {MAX_DOCUMENT_BYTES}': ' ' * (MAX_DOCUMENT_BYTES + 1),
    'duplicate key "a" in the mapping at line 1': 'a: 1\na: 2',
    'tag "tag:yaml.org,2002:python': 'a: !!python/object:os.system x',
    'month must be': 'a: 2001-99-99',
    'unhashable key': '? [a]\n: 1',
    'another document': '--- a\n--- b',
    'control characters': '\x00',
    'expected YAML': '\ud800',
    'for merging': '<<: 1',
}

plain = st.text(alphabet='abc: -#"[]{},é\n', max_size=8)
documents = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | plain,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(plain, inner, max_size=3)
    ),
    max_leaves=6,
)


class DocumentTest(TestCase):
    """Tests of loading and rendering documents."""

    def test_invalid_documents_are_rejected(self):
        """Each invalid document is rejected with its own reason."""
        for reason, text in REFUSED.items():
            loaded = load_document(text)
            self.assertIsInstance(loaded, Failure, reason)
            self.assertIn(reason, loaded.failure())

    @given(documents)
    def test_rendering_is_reversible(self, document):
        """Loading a rendered document returns an equal one."""
        loaded = load_document(render_document(document))
        self.assertEqual(document, loaded.unwrap())

    @given(st.binary(max_size=60))
    def test_any_bytes_give_a_result(self, garbage):
        """Any text is loaded or rejected with a one-line message."""
        loaded = load_document(garbage.decode(errors='replace'))
        if isinstance(loaded, Failure):
            self.assertNotIn('\n', loaded.failure())


class TextFileTest(TestCase):
    """Tests of files named by users."""

    def test_unusable_files_are_refused(self):
        """Pipes, folders, missing, long and undecodable files are rejected."""
        with TemporaryDirectory() as name:
            folder = Path(name)
            mkfifo(folder / 'pipe')
            (folder / 'long').write_bytes(b'12345')
            (folder / 'binary').write_bytes(b'\xff')
            bad = ('pipe', '', 'missing', 'long', 'binary', 'nul\0')
            for each in bad:
                found = read_text_file(folder / each, 4)
                self.assertIsInstance(found, Failure, each)
