"""Tests who is to hold a share of the quotas."""

from bilberry_core.quota import HolderTable, ShareHolder, sum_shares
from bilberry_quotas.shares import (
    MIN_SHARES,
    KnownDaemon,
    choose_divisor,
    find_told_divisor,
    plan_step,
)
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase


class SharesTest(TestCase):
    """Steps that change the holders of shares."""

    @given(st.integers(0, 20_000))
    def test_more_daemons_than_shares(self, daemons):
        """There are few more shares than daemons."""
        divisor = choose_divisor(daemons)
        self.assertTrue(divisor >= max(daemons, MIN_SHARES))
        self.assertTrue(divisor <= max(daemons * 1.25 + 4, MIN_SHARES))

    def test_share_that_shrinks_is_logged_before_its_holder_knows(self):
        """It is told first, and logged when its holder has confirmed it."""
        table = HolderTable(3, (ShareHolder('a', 16),))
        self.assertIsNone(plan_step(table, {'a': KnownDaemon(16)}, 32))
        self.assertEqual(32, find_told_divisor(16, 32))
        step = plan_step(table, {'a': KnownDaemon(32)}, 32)
        self.assertEqual((3, (ShareHolder('a', 32),)), step)

    def test_share_that_grows_is_told_before_it_is_logged(self):
        """It is logged first."""
        table = HolderTable(3, (ShareHolder('a', 32),))
        self.assertEqual(32, find_told_divisor(32, 16))
        step = plan_step(table, {'a': KnownDaemon(32)}, 16)
        self.assertEqual((ShareHolder('a', 16),), step.holders)

    def test_daemon_that_is_gone_keeps_its_share(self):
        """Its room is given to another one in the same step."""
        table = HolderTable(
            1, tuple(ShareHolder(f'd{number}', 16) for number in range(16))
        )
        known = {'d0': KnownDaemon(16, is_gone=True), 'new': KnownDaemon(0)}
        step = plan_step(table, known, 16)
        self.assertEqual(
            (ShareHolder('d0', 0), ShareHolder('new', 16)), step.holders
        )

    @given(
        st.dictionaries(
            st.sampled_from('abcdefgh'), st.sampled_from((2, 4, 8, 16, 32))
        ),
        st.dictionaries(
            st.sampled_from('abcdefghijkl'),
            st.builds(
                KnownDaemon, st.sampled_from((0, 4, 8, 16, 32)), st.booleans()
            ),
        ),
        st.sampled_from((4, 8, 16, 32)),
    )
    def test_holders_hold_more_than_a_quota(self, divisors, known, wanted):
        """Whatever is logged and known, a step makes that no larger than 1."""
        if sum_shares(divisors) > 1:
            return
        table = HolderTable(
            0, tuple(ShareHolder(*one) for one in divisors.items())
        )
        step = plan_step(table, known, wanted)
        after = {**divisors, **dict(step.holders if step else ())}
        held = {name: divisor for name, divisor in after.items() if divisor}
        self.assertTrue(sum_shares(held) <= 1 + 1e-6)
