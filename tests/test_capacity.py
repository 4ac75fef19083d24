"""The page of the planned size agrees with the recorded measurements."""

from testtools import TestCase

from bench.capacity import PAGE, render_page
from bench.capacity_model import Line, Measurements, fit_line


class CapacityTest(TestCase):
    """docs/CAPACITY.md and the fits behind it."""

    def test_page_is_what_the_measurements_give(self):
        """Computing the tables anew changes nothing."""
        page = PAGE.read_text()
        computed = render_page(page, Measurements.from_folder())
        self.assertEqual(page, computed)

    def test_line_through_points(self):
        """A fit tells slope, intercept and the largest distance."""
        line = fit_line([(0, 1), (1, 3), (2, 5)])
        self.assertEqual(Line(2, 1, 0), line)
        self.assertEqual(11, line.at(5))

    def test_one_size_gives_no_slope(self):
        """Points of one size give a constant."""
        self.assertEqual(Line(0, 4, 0), fit_line([(3, 4)]))
