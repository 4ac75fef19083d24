"""Tests which version of a service an attempt goes to."""

from random import Random

from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.rollout import Rollout, RolloutState, RolloutTable
from bilberry_core.snapshot import Route
from bilberry_proxy.candidates import Candidates
from bilberry_proxy.endpoint_load import EndpointLoad
from bilberry_proxy.version_choice import draw_new_version, select_version
from testtools import TestCase

ROLLOUT = Rollout('callouts', 'v2', 12_000, share_ppm=20_000, upstreams=2)


def build_endpoint(number: int, version: str) -> Endpoint:
    """Returns a ready upstream."""
    return Endpoint(
        f'i-{number}',
        1,
        1,
        'callouts',
        Address('127.0.0.1', number),
        'a',
        EndpointState.READY,
        6,
        6,
        number,
        version,
    )


OLD = [build_endpoint(number, 'v1') for number in range(40)]
NEW = [build_endpoint(number, 'v2') for number in range(40, 80)]


class VersionChoiceTest(TestCase):
    """Nothing but the drawn share reaches the new version."""

    def test_share_is_drawn_in_the_long_run(self):
        """Two of a hundred first attempts."""
        random = Random(1)
        drawn = sum(draw_new_version(ROLLOUT, random) for _ in range(20_000))
        self.assertAlmostEqual(0.02, drawn / 20_000, delta=0.004)

    def test_few_upstreams_get_the_share(self):
        """The same ones on every proxy, however it knows them."""
        first = select_version([*OLD, *NEW], ROLLOUT, takes_new=True)
        second = select_version([*reversed(NEW), *OLD], ROLLOUT, takes_new=True)
        self.assertEqual([NEW[0], NEW[1]], first)
        self.assertEqual(first, second)

    def test_version_that_was_not_drawn_gets_nothing(self):
        """Not even without any old upstream."""
        self.assertEqual(
            OLD, select_version([*OLD, *NEW], ROLLOUT, takes_new=False)
        )
        self.assertEqual([], select_version(NEW, ROLLOUT, takes_new=False))

    def test_old_version_steps_in_for_missing_new_upstreams(self):
        """A request is not refused for its draw."""
        self.assertEqual(OLD, select_version(OLD, ROLLOUT, takes_new=True))

    def test_rolled_back_version_gets_nothing(self):
        """Whatever an earlier draw said."""
        back = ROLLOUT._replace(state=RolloutState.ROLLED_BACK)
        for takes_new in (True, False):
            chosen = select_version([*OLD, *NEW], back, takes_new=takes_new)
            self.assertEqual(OLD, chosen)
        self.assertFalse(draw_new_version(back, Random(1)))

    def test_old_version_gets_nothing_while_it_finishes(self):
        """Not even without any new upstream."""
        moved = ROLLOUT._replace(state=RolloutState.COMPLETING)
        self.assertEqual(
            NEW, select_version([*OLD, *NEW], moved, takes_new=False)
        )
        self.assertEqual([], select_version(OLD, moved, takes_new=False))

    def test_service_without_rollout_is_not_concerned(self):
        """Its upstreams may have any version."""
        both = [*OLD, *NEW]
        self.assertEqual(both, select_version(both, None, takes_new=True))

    def test_judged_upstreams_are_in_the_subset_of_every_proxy(self):
        """A proxy that calls few of many upstreams finds the judged ones."""
        candidates = Candidates('me', 'a', lambda _endpoint: EndpointLoad())
        route = Route('callouts', (), (*OLD, *NEW))
        candidates.set_rollouts(RolloutTable(1, (ROLLOUT,)))
        chosen = candidates.get_ready(route, takes_new=True)
        self.assertEqual(
            {'i-40', 'i-41'}, {one.endpoint.instance for one in chosen}
        )
        before = candidates.get_ready(route)
        back = ROLLOUT._replace(state=RolloutState.COMPLETING, number=2)
        candidates.set_rollouts(RolloutTable(2, (back,)))
        after = candidates.get_ready(route)
        self.assertEqual({'v1'}, {one.endpoint.version for one in before})
        self.assertEqual({'v2'}, {one.endpoint.version for one in after})
