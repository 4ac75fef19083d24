"""Tests of what an upstream says of itself in the headers of responses."""

from bilberry_core.board import Board
from bilberry_core.metric import NullMetrics
from bilberry_core.scrape import ScrapedMetrics
from bilberry_core.upstream_notice import MAX_RATE_LIMIT, UpstreamIdentity
from bilberry_proxy.dialect import OWN_DIALECT
from bilberry_proxy.notice_headers import read_notice_headers
from bilberry_proxy.notice_keeper import UNNAMED_S, NoticeKeeper
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

LIMIT = OWN_DIALECT.rate_limit
LEAVING = OWN_DIALECT.leaving
FIRST = UpstreamIdentity('i-1', 1000)
SECOND = UpstreamIdentity('i-2', 2000)
UNREADABLE = (
    b'',
    b' ',
    b'-1',
    b'+5',
    b'nan',
    b'NaN',
    b'inf',
    b'-inf',
    b'1e5',
    b'1e400',
    b'1_000',
    b'0x10',
    b'1000001',
    b'9' * 400,
    b'5 6',
    b'5, 6',
    b'ten',
    b'\xff',
)


class FakeClock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        """Starts at a time of 100 seconds."""
        self.seconds: float = 100

    def now(self) -> float:
        """Returns the time, in seconds."""
        return self.seconds


class HeaderTest(TestCase):
    """Headers are read strictly."""

    def test_decimal_numbers_are_read(self):
        """A limit is a decimal number of requests a second."""
        for text, limit in (
            (b'14.1', 14.1),
            (b'0', 0),
            (b'0.25', 0.25),
            (b'.5', 0.5),
            (b'7.', 7),
            (b' 12 ', 12),
            (b'1000000', 1e6),
        ):
            read = read_notice_headers(((LIMIT, text),), OWN_DIALECT)
            self.assertEqual((limit, None), read[:2])

    def test_unreadable_limits_are_faults(self):
        """Empty, negative, infinite and huge values name no limit."""
        for text in UNREADABLE:
            read = read_notice_headers(((LIMIT, text),), OWN_DIALECT)
            self.assertIsNone(read.rate_limit, text)
            self.assertIsNotNone(read.rate_limit_fault, text)

    def test_limit_named_twice_counts_if_both_agree(self):
        """Two different limits name none."""
        for second, limit in ((b'5', 5), (b'6', None), (b'', None)):
            headers = ((LIMIT, b'5'), (LIMIT, second))
            read = read_notice_headers(headers, OWN_DIALECT)
            self.assertEqual(limit, read.rate_limit)
            self.assertEqual(limit is None, read.rate_limit_fault is not None)

    def test_only_one_says_that_an_upstream_leaves(self):
        """Any other value than `0` is a fault."""
        for text, leaving, faulty in (
            (b'1', True, False),
            (b'0', False, False),
            (b'true', False, True),
            (b'', False, True),
        ):
            read = read_notice_headers(((LEAVING, text),), OWN_DIALECT)
            self.assertEqual(leaving, read.is_leaving)
            self.assertEqual(faulty, read.leaving_fault is not None)

    @given(st.lists(st.binary(max_size=30), max_size=3))
    def test_any_bytes_can_be_read(self, values):
        """No value raises an error, and every limit is in range."""
        headers = tuple((LIMIT, text) for text in values)
        read = read_notice_headers(headers, OWN_DIALECT)
        if read.rate_limit is not None:
            self.assertTrue(0 <= read.rate_limit <= MAX_RATE_LIMIT)


class KeeperTest(TestCase):
    """The newest notice of one upstream."""

    def setUp(self):
        """Creates the keeper of an upstream that has announced itself."""
        super().setUp()
        self.board = Board()
        self.clock = FakeClock()
        self.metrics = ScrapedMetrics(NullMetrics())
        self.keeper = NoticeKeeper(
            self.board, self.clock, self.metrics, OWN_DIALECT
        )
        self.board.upstream.put(FIRST)

    def observe(self, *headers, identity=FIRST):
        """Passes on the headers of one response; returns the limit kept."""
        self.keeper.observe(identity, headers)
        return self.board.upstream_notice.value.rate_limit

    def test_newest_limit_holds(self):
        """A limit may be lowered and raised."""
        named = [self.observe((LIMIT, text)) for text in (b'9', b'3', b'40')]
        self.assertEqual([9, 3, 40], named)

    def test_limit_ends_when_responses_stop_naming_it(self):
        """A single response without it does not end it."""
        self.observe((LIMIT, b'9'))
        kept = [self.observe()]
        self.clock.seconds += UNNAMED_S / 2
        kept.append(self.observe())
        self.clock.seconds += UNNAMED_S / 2
        kept.append(self.observe())
        self.assertEqual([9, 9, None], kept)

    def test_limit_named_again_goes_on(self):
        """The time without it starts anew."""
        self.observe((LIMIT, b'9'))
        self.observe()
        self.clock.seconds += UNNAMED_S
        self.observe((LIMIT, b'9'))
        self.assertEqual(9, self.observe())

    def test_unreadable_limit_neither_names_nor_ends_one(self):
        """The limit before it holds; each fault is counted and logged."""
        with self.assertLogs('bilberry_proxy.notice_keeper', 'WARNING') as log:
            for text in UNREADABLE:
                self.assertIsNone(self.observe((LIMIT, text)))
            self.observe((LIMIT, b'9'))
            for text in UNREADABLE:
                self.clock.seconds += UNNAMED_S
                self.assertEqual(9, self.observe((LIMIT, text)))
        self.assertEqual(2 * len(UNREADABLE), len(log.records))
        name = 'bilberry_notice_unreadable_total{kind=""}'
        counted = f'{name} {len(log.records)}.0'
        self.assertIn(counted, self.metrics.render().decode())

    def test_notice_of_another_start_is_not_taken(self):
        """A late response of the upstream before says nothing of this one."""
        self.board.upstream.put(SECOND)
        self.assertIsNone(self.observe((LIMIT, b'9')))
        self.assertEqual(9, self.observe((LIMIT, b'9'), identity=SECOND))

    def test_new_start_has_no_notice(self):
        """Neither the limit nor the departure of the one before holds."""
        self.observe((LIMIT, b'9'), (LEAVING, b'1'))
        self.assertTrue(self.board.upstream_notice.value.is_leaving)
        self.board.upstream.put(SECOND)
        notice = self.board.upstream_notice.value
        self.assertEqual((SECOND, None, False), tuple(notice))

    def test_leaving_is_never_taken_back(self):
        """Responses that were on their way do not end it."""
        self.observe((LEAVING, b'1'))
        self.observe()
        self.observe((LEAVING, b'0'))
        self.assertTrue(self.board.upstream_notice.value.is_leaving)
