"""Tests what is known of the size of responses."""

from bilberry_proxy.response_size import (
    LONG_BYTES,
    MAX_BYTES,
    ResponseSizes,
    parse_length,
)
from testtools import TestCase

ROUTE = ('service', 'route')


class ResponseSizeTest(TestCase):
    """Sizes that responses name, or have."""

    def test_only_long_responses_have_an_estimate(self):
        """Nothing is known before the first one."""
        sizes = ResponseSizes()
        self.assertEqual(0, sizes.estimate(ROUTE))
        sizes.update(ROUTE, LONG_BYTES)
        self.assertEqual(0, sizes.estimate(ROUTE))
        sizes.update(ROUTE, 3 * LONG_BYTES)
        self.assertLess(LONG_BYTES, sizes.estimate(ROUTE))

    def test_size_that_is_no_number_of_bytes_breaks_every_later_call(self):
        """It would not fit into the message that starts a call."""
        for text in (b'', b'-1', b'12a', b'9' * 16, b'9' * 5000):
            self.assertIsNone(parse_length(((b'content-length', text),)))
        sizes = ResponseSizes()
        length = parse_length(((b'content-length', b'9' * 15),))
        sizes.update(ROUTE, length)
        self.assertEqual(MAX_BYTES, sizes.estimate(ROUTE))
