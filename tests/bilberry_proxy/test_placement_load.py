"""Plays loads on many small upstreams, and compares ways to place requests."""

from unittest.mock import patch

from bilberry_proxy.placement import NEAR_WAIT_SHARE
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
OVERLOAD = MANY_SMALL._replace(requests_per_s=192, seconds=4)


def play(load: Load) -> Result:
    """Returns the mean result of several plays."""
    results = [LoadPlay(load, seed).play() for seed in SEEDS]
    return Result(*(sum(parts) / len(parts) for parts in zip(*results)))


def play_with_one_wait(load: Load) -> Result:
    """Returns the result if a request waits as long at the first endpoint."""
    name = 'bilberry_proxy.placement.NEAR_FIRST_WAIT_SHARE'
    with patch(name, NEAR_WAIT_SHARE):
        return play(load)


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


class NearWaitTest(TestCase):
    """Waits at near endpoints, short at all but the last."""

    def test_fewer_requests_are_late_at_many_small_upstreams(self):
        """A slot that is free at another near upstream is found in time."""
        for load in (MANY_SMALL, FEW, LONG_WORK):
            with self.subTest(load=load):
                result = play(load)
                reference = play_with_one_wait(load)
                self.assertLess(result.late, reference.late * FEWER)
                self.assertLess(result.far, reference.far + MORE_FAR)

    def test_overload_serves_no_fewer_in_time(self):
        """Short waits waste no slot when all are in use."""
        result = play(OVERLOAD)
        reference = play_with_one_wait(OVERLOAD)
        self.assertGreater(result.in_time, reference.in_time - 0.01)

    def test_refused_requests_are_refused_at_once(self):
        """Nobody waits for most of the target only to be refused."""
        result = play(OVERLOAD)
        target_s = OVERLOAD.target_ms / 1000
        self.assertLess(result.slowest_refusal_s, target_s / 2)
