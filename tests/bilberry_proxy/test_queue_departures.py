"""Tests the estimate of a wait from the departures of earlier calls."""

from bilberry_proxy.early_offers import MAX_EARLY, EarlyOffers
from bilberry_proxy.queue_departures import QueueDepartures
from testtools import TestCase

INITIAL_S = 0.5
FAST_S = 0.01
LATENCY_US = 120_000
SLOTS = 3


class QueueDeparturesTest(TestCase):
    """The calls of one priority in one queue."""

    def test_new_queue_uses_the_mean_duration(self):
        """No departure was seen."""
        departures = QueueDepartures()
        departures.record_arrival(0, is_first=True)
        self.assertEqual(
            2 * INITIAL_S, departures.estimate_wait_s(1, 0, INITIAL_S)
        )

    def test_wait_follows_the_departures(self):
        """Also of those that got their slot elsewhere."""
        departures = QueueDepartures()
        departures.record_arrival(0, is_first=True)
        for index in range(1, 100):
            departures.record_departure(index * FAST_S)
        wait_s = departures.estimate_wait_s(9, 99 * FAST_S, INITIAL_S)
        self.assertAlmostEqual(10 * FAST_S, wait_s, places=3)

    def test_queue_that_stands_still_is_not_taken_as_fast(self):
        """Its upstream froze after many fast calls."""
        departures = QueueDepartures()
        departures.record_arrival(0, is_first=True)
        for index in range(1, 100):
            departures.record_departure(index * FAST_S)
        self.assertGreater(departures.estimate_wait_s(1, 3, INITIAL_S), 2)

    def test_time_without_a_queue_does_not_count(self):
        """A quiet hour is not a slow departure."""
        departures = QueueDepartures()
        for start in range(0, 3600, 600):
            departures.record_arrival(start, is_first=True)
            departures.record_departure(start + FAST_S)
        departures.record_arrival(3600, is_first=True)
        wait_s = departures.estimate_wait_s(0, 3600, INITIAL_S)
        self.assertAlmostEqual(FAST_S, wait_s, places=3)


class EarlyOffersTest(TestCase):
    """How many slots are offered before they are free."""

    def test_fast_senders_are_offered_free_slots_only(self):
        """The slot stands empty for a moment."""
        self.assertEqual(0, EarlyOffers().count(LATENCY_US, SLOTS))

    def test_slow_ways_are_bridged(self):
        """A slot is free every 40 ms, and its request takes 50 or 500 ms."""
        offers = EarlyOffers()
        for _ in range(100):
            offers.record_take(0.05)
        self.assertEqual(2, offers.count(LATENCY_US, SLOTS))
        for _ in range(100):
            offers.record_take(0.5)
        self.assertEqual(MAX_EARLY, offers.count(LATENCY_US, SLOTS))

    def test_unknown_upstream_gets_no_early_request(self):
        """Without slots or durations nothing can be planned."""
        self.assertEqual(0, EarlyOffers().count(0, SLOTS))
        self.assertEqual(0, EarlyOffers().count(LATENCY_US, 0))
