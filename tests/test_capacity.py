"""Tests that docs/CAPACITY.md agrees with the recorded measurements."""

from testtools import TestCase

from bench.capacity import PAGE, render_page
from bench.capacity_model import FittedLine, Measurements, fit_line


class CapacityTest(TestCase):
    """The tables of docs/CAPACITY.md and the fits that they use."""

    def test_page_is_what_the_measurements_give(self):
        """Recomputing the tables changes nothing on the page."""
        page = PAGE.read_text()
        computed = render_page(page, Measurements.from_folder())
        self.assertEqual(page, computed)

    def test_line_through_points(self):
        """A fit returns slope, intercept and largest deviation."""
        line = fit_line([(0, 1), (1, 3), (2, 5)])
        self.assertEqual(FittedLine(2, 1, 0), line)
        self.assertEqual(11, line.at(5))

    def test_one_size_gives_no_slope(self):
        """Points of one size give a constant line."""
        self.assertEqual(FittedLine(0, 4, 0), fit_line([(3, 4)]))
