"""Plays loads on many small upstreams, and compares ways to place requests."""

from unittest.mock import patch

from bilberry_proxy.placement import Placement
from bilberry_proxy.router import Router
from testtools import TestCase

from tests.bilberry_proxy.played_load import Load, LoadPlay, Result

SEEDS = (1, 2)
#: Share of requests in time where there are slots for all.
ALL_IN_TIME = 0.95
#: Share of late requests of the reference that counts as clearly fewer.
FEWER = 0.75
#: Further calls that may leave their failure domain, per request.
MORE_FAR = 0.05

#: Eight upstreams of three slots in each domain, four fifths in use.
MANY_SMALL = Load(
    domains=('a', 'b', 'c'),
    senders=20,
    speeds=(0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7),
    slots=3,
    work_s=0.14,
    requests_per_s=128,
    target_ms=500,
    deadline_s=2.5,
    seconds=6,
)
#: Three upstreams in each domain, so that the last near one is soon reached.
FEW = MANY_SMALL._replace(
    speeds=(0.6, 1.0, 1.4), slots=5, work_s=0.15, requests_per_s=80
)
#: Long work, nine tenths of the slots in use.
LONG_WORK = MANY_SMALL._replace(
    speeds=(0.6, 1.0, 1.4) * 4,
    slots=5,
    work_s=0.37,
    requests_per_s=146,
    target_ms=1000,
)
#: Twice as many requests in one domain as in the others, where slots are free.
ONE_DOMAIN_FULL = MANY_SMALL._replace(requests_per_s=96, first_factor=2)
#: A fifth more than all slots can run.
OVERLOAD_FACTOR = 1.2
OVERLOAD = MANY_SMALL._replace(requests_per_s=192, seconds=4)
#: Callers with little slack, who return; three tenths more than can be served.
RETURNING = OVERLOAD._replace(
    speeds=(1.0, 1.0, 1.0, 1.0),
    slots=9,
    work_s=0.06,
    requests_per_s=690,
    target_ms=150,
    deadline_s=1.2,
    returns=2,
)
#: Three times as many for a moment, then three quarters.
BURST = RETURNING._replace(
    requests_per_s=400, burst_s=0.7, burst_factor=3, seconds=3
)


def play(load: Load) -> Result:
    """Returns the mean result of several plays."""
    results = [LoadPlay(load, seed).play() for seed in SEEDS]
    return Result(*(sum(parts) / len(parts) for parts in zip(*results)))


def play_at_one_place(load: Load) -> Result:
    """Returns the result if a request waits at one endpoint only."""
    module = 'bilberry_proxy.placement'
    with patch(f'{module}.MAX_NEAR_PLACES', 1):
        with patch(f'{module}.MAX_FAR_PLACES', 0):
            return play(load)


def play_without_memory(load: Load) -> Result:
    """Returns the result if each return counts as a first request."""
    with patch('tests.bilberry_proxy.played_load.Placement', _Forgetful):
        return play(load)


class _Forgetful(Placement):
    """A placement that takes each request for the first of its caller."""

    def __init__(self, router: Router, _started_at: float) -> None:
        """Begins at the arrival of the request."""
        super().__init__(router, router._clock.now())


class FullDomainTest(TestCase):
    """A failure domain with many upstreams, none of which has a slot free."""

    def test_full_domain_uses_the_free_slots_of_others(self):
        """All upstreams together can run every request."""
        result = play(ONE_DOMAIN_FULL)
        self.assertLess(result.refused, 0.01)
        self.assertGreater(result.in_time, ALL_IN_TIME)

    def test_full_domain_is_not_left_by_more_than_it_must(self):
        """A third of its requests find no slot there; calls cost bytes."""
        result = play(ONE_DOMAIN_FULL)
        self.assertLess(result.far, 0.5)


class FirstSlotTest(TestCase):
    """Requests go where a slot is free first."""

    def test_fewer_requests_are_late_than_at_one_place(self):
        """A slot that is free at another upstream is found in time."""
        for load in (MANY_SMALL, FEW, LONG_WORK):
            with self.subTest(load=load):
                result = play(load)
                reference = play_at_one_place(load)
                missed = 1 - result.in_time
                self.assertLess(missed, (1 - reference.in_time) * FEWER)

    def test_domains_with_free_slots_are_seldom_left(self):
        """Traffic between domains is expensive."""
        for load in (MANY_SMALL, FEW, LONG_WORK):
            with self.subTest(load=load):
                self.assertLess(play(load).far, MORE_FAR)

    def test_overload_is_served_as_far_as_slots_go(self):
        """In time, within a tenth of the most that can be served."""
        served_at_most = 1 / OVERLOAD_FACTOR
        self.assertGreater(play(OVERLOAD).in_time, 0.9 * served_at_most)

    def test_refused_requests_are_refused_early(self):
        """Nobody waits for most of the target only to be refused."""
        result = play(OVERLOAD)
        target_s = OVERLOAD.target_ms / 1000
        self.assertLess(result.slowest_refusal_s, target_s / 2)


class ReturnTest(TestCase):
    """Callers return after a refusal, in lasting overload."""

    def test_returning_callers_do_not_make_others_late(self):
        """As many are served as before, and more of them in time."""
        result = play(RETURNING)
        reference = play_without_memory(RETURNING)
        self.assertGreater(result.in_time, reference.in_time + 0.05)
        self.assertLess(result.refused, reference.refused + 0.02)

    def test_late_callers_are_served_once_a_burst_has_passed(self):
        """They stay away for longer; nobody else is made late by them."""
        result = play(BURST)
        with patch('bilberry_proxy.placement.LATE_RETRY_AFTER_SHARE', 0):
            reference = play(BURST)
        self.assertLess(result.refused, reference.refused - 0.01)
        self.assertGreater(result.in_time, reference.in_time - 0.01)
