"""Tests stops of real daemons while their links carry less than is asked."""

from asyncio import run
from collections import Counter
from random import Random

from bilberry_core.endpoint import Address
from testtools import TestCase

from soak.__main__ import describe
from soak.downloads import Downloads
from soak.full_links import find_broken, run_full_links

SEED = 1
RUNNING = '7.0'
REFUSED = '7.1'


class FullLinksTest(TestCase):
    """Responses that all wait for the link of the daemon beside them."""

    def test_overlapping_stops_cut_responses_on_full_links(self):
        """Whatever an upstream has answered reaches its caller."""
        report = run(run_full_links(SEED))
        self.assertEqual((), report.broken, describe(report))
        self.assertTrue(report.answered)


class FindBrokenTest(TestCase):
    """What counts as a broken promise of the run."""

    def find(self, runs=(), **seen) -> list[str]:
        """Returns what is broken after callers have `seen` something."""
        downloads = Downloads((Address('127.0.0.1', 0),), 'archive', Random(0))
        for name, ids in seen.items():
            getattr(downloads, name).update(ids)
        return find_broken(downloads, Counter(runs))

    def test_response_is_cut_only_if_an_upstream_ran_its_request(self):
        """Others were sent on a connection that had ended."""
        seen = {'cut': {RUNNING: 1.0}}
        self.assertEqual([], self.find(**seen))
        self.assertEqual(
            [f'cut: {RUNNING}'], self.find(runs=(RUNNING,), **seen)
        )

    def test_refusal_of_a_request_that_ran_is_untrue(self):
        """One that did not run is true."""
        seen = {'refused': {REFUSED}}
        self.assertEqual([], self.find(runs=(RUNNING,), **seen))
        self.assertEqual(
            [f'untrue: {REFUSED}'], self.find(runs=(REFUSED,), **seen)
        )

    def test_each_other_kind_is_broken(self):
        """Whether an upstream ran the request or not."""
        for kind in ('silent', 'mixed', 'unexplained'):
            self.assertEqual(
                [f'{kind}: {RUNNING}'], self.find(**{kind: {RUNNING}})
            )
        self.assertEqual(['lost: 7'], self.find(lost={7}))
