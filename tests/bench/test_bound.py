"""Tests the bound of what callers can get in time."""

from itertools import product

from msgspec.structs import replace
from testtools import TestCase

from bench.bound import (
    Call,
    Demand,
    Fleet,
    Kind,
    Service,
    Trouble,
    compute_bound,
    compute_bounds,
)

#: Two upstreams of two slots, one twice as fast: 30 requests of 0.1 s a second.
SERVICE = Service('reads', 2, (0.5, 1.0))
LISTS = Service('lists', 10, (1.0,))


def compute_one(kinds, services=(SERVICE,), **options) -> float:
    """Returns the bound of the first second."""
    return compute_bounds(Fleet(services, kinds, seconds=1, **options))[0]


class BoundTest(TestCase):
    """What the slots, speeds and links of a fleet allow."""

    def test_load_that_fits_can_be_served_whole(self):
        """All of its credit."""
        self.assertEqual(1, compute_one((Kind('read', 'reads', 30, 0.1),)))

    def test_overload_earns_what_the_slots_carry(self):
        """Half of twice the load."""
        bound = compute_one((Kind('read', 'reads', 60, 0.1),))
        self.assertAlmostEqual(0.5, bound, places=2)

    def test_what_is_worth_more_for_its_work_is_served_first(self):
        """20 of 30 slots go to the dearer kind, 10 to half of the other."""
        kinds = (
            Kind('book', 'reads', 20, 0.1, worth=3),
            Kind('read', 'reads', 20, 0.1),
        )
        self.assertAlmostEqual(70 / 80, compute_one(kinds), places=2)

    def test_wait_for_a_call_holds_a_slot(self):
        """Each request works for 0.1 s and waits for 0.2 s."""
        kind = Kind('read', 'reads', 30, 0.1, calls=(Call('lists', 1, 0.2),))
        bound = compute_one((kind,), (SERVICE, LISTS))
        self.assertAlmostEqual(1 / (1 + 30 * 0.2 / 4), bound, places=2)

    def test_called_service_may_bind(self):
        """It has slots for one call in two."""
        kind = Kind('read', 'lists', 20, 0, calls=(Call('reads', 2, 0.1),))
        bound = compute_one((kind,), (SERVICE, LISTS))
        self.assertAlmostEqual(0.75, bound, places=2)

    def test_link_may_bind(self):
        """Its upstreams have slots for ten times as many."""
        service = replace(SERVICE, link_bytes=1000)
        kind = Kind('load', 'reads', 3, 0.1, response_bytes=1000)
        self.assertAlmostEqual(
            2 / 3, compute_one((kind,), (service,)), places=2
        )

    def test_troubles_take_capacity_in_their_time(self):
        """Half of the upstreams are gone in the second second."""
        trouble = Trouble(1, 2, 'reads', left=0.5)
        kinds = (Kind('read', 'reads', 30, 0.1),)
        bounds = compute_bounds(Fleet((SERVICE,), kinds, (trouble,), seconds=3))
        self.assertEqual([1, 1], [bounds[0], bounds[2]])
        self.assertAlmostEqual(0.5, bounds[1], places=2)

    def test_no_price_beats_what_can_be_earned(self):
        """A bound is never below a plan that keeps all limits."""
        demands = (
            Demand(3, {'a': 0.9, 'b': 0.3}),
            Demand(2, {'a': 0.4, 'b': 0.8}),
            Demand(1, {'b': 0.5}),
        )
        shares = [step / 10 for step in range(11)]
        best = max(
            (3 * one + 2 * two + three) / 6
            for one, two, three in product(shares, repeat=3)
            if 0.9 * one + 0.4 * two <= 1
            and 0.3 * one + 0.8 * two + 0.5 * three <= 1
        )
        bound = compute_bound(demands)
        self.assertGreaterEqual(bound, best)
        self.assertLess(bound, best + 0.1)
