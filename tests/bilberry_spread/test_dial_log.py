"""Tests of the record of dials."""

from unittest.mock import Mock, call

from bilberry_core.endpoint import Address
from bilberry_core.settings import Peer
from bilberry_spread.dial_log import DialLog, DialOutcome
from bilberry_spread.source import Reason, Source
from testtools import TestCase

from tests.bilberry_spread.fakes import FakeTime


class DialLogTest(TestCase):
    """Tests of outcomes and durations."""

    def test_only_the_first_outcome_of_a_dial_counts(self):
        """A source that is lost after its beacon is no failed dial."""
        time = FakeTime()
        metrics = Mock()
        log = DialLog(time, metrics)
        peer = Peer('r-1', Address('127.0.0.1', 9), 'a')
        source = Source(peer, Reason.ATTACH, time.now())
        time.run(0.25)
        log.record(source, DialOutcome.BEACON)
        time.run(1)
        log.record(source, DialOutcome.CLOSED)
        self.assertEqual([call('spread.dials.beacon')], metrics.incr.mock_calls)
        self.assertEqual(
            [call('spread.dial.beacon', 250)], metrics.timing.mock_calls
        )
