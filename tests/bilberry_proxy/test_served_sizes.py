"""Tests what the daemon beside an upstream knows of its responses."""

from bilberry_core.messages.call import CallStart, Load, ReplyStart
from bilberry_core.policy import Priority
from bilberry_proxy.served_sizes import MAX_KEYS, ServedSizes, build_key
from testtools import TestCase

LONG = 90_000


def build_start(target: bytes, host: bytes = b'a.example') -> CallStart:
    """Returns a call whose sender knows no size."""
    headers = ((b'host', host),)
    return CallStart(
        1, 'service', b'GET', target, headers, b'', True, 1, Priority.NORMAL
    )


def build_reply(length: int) -> ReplyStart:
    """Returns the start of a response that names its length."""
    headers = ((b'content-length', str(length).encode()),)
    return ReplyStart(1, 200, headers, b'', False, Load(0, 0, 0, 0))


class ServedSizesTest(TestCase):
    """Sizes by host and first segment."""

    def test_call_of_a_proxy_that_was_restarted_has_no_size(self):
        """Others have had responses to such calls."""
        sizes = ServedSizes()
        known = build_start(b'/files/1?page=2')
        sizes.record(build_key(known), build_reply(LONG))
        sizes.record(build_key(build_start(b'/list')), build_reply(100))
        for target, size in (
            (b'/files/2', LONG),
            (b'/files?page=3', LONG),
            (b'/list', 0),
            (b'/other', 0),
        ):
            self.assertEqual(size, sizes.estimate(build_start(target)))
        other = build_start(b'/files/1', host=b'b.example')
        self.assertEqual(0, sizes.estimate(other))

    def test_size_that_the_sender_knows_goes_first(self):
        """It knows the route."""
        start = build_start(b'/files/1')._replace(response_bytes=2 * LONG)
        self.assertEqual(2 * LONG, ServedSizes().estimate(start))

    def test_paths_without_end_are_all_remembered(self):
        """The oldest ones are forgotten."""
        sizes = ServedSizes()
        starts = [build_start(b'/%d' % one) for one in range(MAX_KEYS + 1)]
        for start in starts:
            sizes.record(build_key(start), build_reply(LONG))
        self.assertEqual(0, sizes.estimate(starts[0]))
        self.assertEqual(LONG, sizes.estimate(starts[-1]))
