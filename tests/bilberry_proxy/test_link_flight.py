"""Tests what counts as being on the link."""

from bilberry_proxy.link_flight import STALLED_S, LinkFlight
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

SIZE = 100


class LinkFlightTest(TestCase):
    """Slices of several streams on one link."""

    def test_later_slice_shows_that_earlier_ones_have_left(self):
        """Their receivers may be busy."""
        flight = LinkFlight()
        first, second, third = (flight.send(SIZE, 0) for _ in range(3))
        self.assertTrue(flight.acknowledge(second))
        self.assertEqual(third.size, flight.measure(0))
        self.assertFalse(flight.acknowledge(first))
        self.assertEqual(third.size, flight.measure(0))

    def test_slice_that_nobody_acknowledges_stops_counting(self):
        """After a while."""
        flight = LinkFlight()
        flight.send(SIZE, 0)
        flight.send(SIZE, STALLED_S / 2)
        self.assertEqual(2 * SIZE, flight.measure(STALLED_S))
        self.assertEqual(SIZE, flight.measure(STALLED_S * 1.25))

    def test_removed_slice_does_not_count(self):
        """Its call was cancelled."""
        flight = LinkFlight()
        first, second = (flight.send(SIZE, 0) for _ in range(2))
        flight.remove(first)
        flight.remove(first)
        self.assertEqual(second.size, flight.measure(0))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('send', 'acknowledge', 'remove')),
                st.integers(0, 20),
            ),
            max_size=40,
        )
    )
    def test_size_is_that_of_the_slices_left(self, steps):
        """Whatever happens to them, and in whatever order."""
        flight = LinkFlight()
        sent = []
        left = set()
        for number, (step, index) in enumerate(steps):
            if step == 'send':
                sent.append(flight.send(index, 0))
                left.add(sent[-1])
            elif sent:
                chosen = sent[(index + number) % len(sent)]
                if step == 'remove':
                    flight.remove(chosen)
                    left.discard(chosen)
                elif flight.acknowledge(chosen):
                    left = {
                        one for one in left if one.position > chosen.position
                    }
            self.assertEqual(sum(one.size for one in left), flight.measure(0))
