"""Tests of merging claim records and of counting majorities."""

from bilberry_claims.limit import MAX_DISPUTED
from bilberry_claims.quorum import count_majority, count_sources, is_quorum
from bilberry_claims.record import (
    ClaimRecord,
    Vote,
    decode_record,
    encode_record,
    merge_records,
    withdraw_token,
)
from bilberry_core.board import Holder
from bilberry_core.claim import ClaimKey, StoredAnswer
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

_TOKENS = st.sampled_from([bytes([number]) for number in range(12)])
_VOTES = st.builds(Vote, _TOKENS, st.just(b'body'))


def _drop_withdrawn(record):
    """Returns the record without withdrawn votes, as a holder stores it."""
    votes = [one for one in record.votes if one.token not in record.withdrawn]
    return record._replace(votes=tuple(votes))


_RECORDS = st.builds(
    ClaimRecord,
    st.just(ClaimKey('booking', 'k')),
    st.lists(_VOTES, max_size=2, unique=True).map(tuple),
    st.integers(1, 9),
    st.one_of(st.none(), st.just(StoredAnswer(200, (), b'answer'))),
    st.booleans(),
    st.lists(_TOKENS, max_size=3, unique=True).map(tuple),
).map(_drop_withdrawn)


class RecordTest(TestCase):
    """Merging, withdrawal and encoding of records."""

    @given(_RECORDS)
    def test_encoding_round_trip(self, record):
        self.assertEqual(record, decode_record(encode_record(record)))

    @given(_RECORDS, _RECORDS)
    def test_merge_keeps_answers_and_live_votes(self, own, other):
        merged = merge_records(own, other)
        settled = own.is_settled or other.is_settled
        self.assertEqual(settled, merged.is_settled)
        live = {*own.tokens, *other.tokens}
        live -= {*own.withdrawn, *other.withdrawn}
        if not settled:
            self.assertEqual(live, set(merged.tokens))

    @given(st.lists(_RECORDS, min_size=10, max_size=20))
    def test_votes_beyond_the_limit_never_free_the_key(self, records):
        merged = ClaimRecord(records[0].claim)
        cleared = [
            one._replace(answer=None, is_dropped=False, withdrawn=())
            for one in records
        ]
        for record in cleared:
            merged = merge_records(merged, record)
        self.assertLessEqual(len(merged.votes), MAX_DISPUTED)
        tokens = {token for record in cleared for token in record.tokens}
        for token in tokens - {min(tokens, default=b'')}:
            merged = withdraw_token(merged, token)
        self.assertEqual(bool(tokens), bool(merged.votes))


class QuorumTest(TestCase):
    """Majorities intersect, and span several failure domains."""

    @given(st.integers(1, 9), st.data())
    def test_majorities_and_sources_intersect(self, size, drawn):
        names = st.permutations(range(size))
        majority = set(drawn.draw(names)[: count_majority(size)])
        sources = set(drawn.draw(names)[: count_sources(size)])
        self.assertTrue(majority & sources)
        self.assertGreater(2 * count_majority(size), size)

    def test_majority_of_one_domain_is_not_enough(self):
        holders = [
            Holder(str(number), '', 0, 'a' if number < 3 else 'b')
            for number in range(5)
        ]
        self.assertFalse(is_quorum(holders, ['0', '1', '2']))
        self.assertTrue(is_quorum(holders, ['0', '1', '4']))
        self.assertTrue(is_quorum(holders[:3], ['0', '1']))
