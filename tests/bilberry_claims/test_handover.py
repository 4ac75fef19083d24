"""Tests that a handover is complete once a majority is caught up."""

from bilberry_claims.handover import Handover
from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.messages.claim import (
    HolderPhase,
    HolderStanding,
    HolderStatus,
)
from testtools import TestCase

_HOLDERS = tuple(Holder(name, '', 0, name) for name in 'abc')
_EPOCH = ClaimEpoch(2, _HOLDERS, _HOLDERS[:1])
_NUMBER = 4


def _status(epoch=_NUMBER, is_caught_up=True):
    standing = HolderStanding(HolderPhase.FULL, 1, {})
    return HolderStatus(0, epoch, standing, is_caught_up)


class HandoverTest(TestCase):
    """Statuses of other holders, as received by one replica."""

    def test_own_and_one_other_are_a_majority(self):
        handover = Handover('a', _EPOCH)
        handover.receive('b', _status())
        self.assertFalse(handover.is_complete)
        handover.record_own()
        self.assertTrue(handover.is_complete)
        self.assertEqual((), handover.poll())

    def test_unready_old_or_foreign_status_does_not_count(self):
        handover = Handover('a', _EPOCH)
        handover.record_own()
        handover.receive('b', _status(is_caught_up=False))
        handover.receive('b', _status(_NUMBER - 1))
        handover.receive('d', _status())
        self.assertFalse(handover.is_complete)
        self.assertEqual(['b', 'c'], [one.instance for one in handover.poll()])

    def test_no_probe_is_sent_without_a_handover(self):
        handover = Handover('a', ClaimEpoch(2, _HOLDERS))
        self.assertEqual((), handover.poll())
