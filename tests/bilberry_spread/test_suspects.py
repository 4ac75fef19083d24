"""Tests of the set of suspects: size limit, expiry and identity."""

from bilberry_core.board import Suspect
from bilberry_spread.suspects import (
    MAX_SUSPECTS,
    MAX_SUSPICION_MS,
    merge_suspects,
)
from testtools import TestCase


def make_suspect(fingerprint=b'poison', expires_ms=100) -> Suspect:
    """Returns a suspect of one crash."""
    return Suspect(fingerprint, 'booking', 'a', 1, expires_ms)


class MergeTest(TestCase):
    """Tests of merging suspects into a known set."""

    def test_unchanged_set_is_the_same_object(self):
        """Without a new suspect the given dictionary is returned."""
        known = merge_suspects({}, [make_suspect()], 0)
        self.assertIs(known, merge_suspects(known, [make_suspect()], 0))

    def test_expiry_is_capped(self):
        """A daemon whose clock is ahead can't extend a suspicion for long."""
        far = make_suspect(expires_ms=10 * MAX_SUSPICION_MS)
        known = merge_suspects({}, [far], 0)
        self.assertEqual({}, merge_suspects(known, [], MAX_SUSPICION_MS))

    def test_expired_suspects_are_not_taken_over(self):
        """An expired suspect is dropped on arrival."""
        self.assertEqual({}, merge_suspects({}, [make_suspect()], 100))

    def test_size_is_bounded(self):
        """Above the bound the suspects that expire first are dropped."""
        received = [
            make_suspect(str(index).encode(), index + 1)
            for index in range(MAX_SUSPECTS + 10)
        ]
        kept = merge_suspects({}, received, 0)
        self.assertEqual(MAX_SUSPECTS, len(kept))
        self.assertEqual(11, min(one.expires_ms for one in kept.values()))
