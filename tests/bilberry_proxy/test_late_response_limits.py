"""Tests how long a response goes on after its deadline."""

from math import ceil

from bilberry_proxy.late_response import (
    LATE_CHECK_S,
    MAX_KNOWN_BYTES,
    MAX_LATE_S,
    MIN_PROGRESS_BYTES,
    LateResponse,
)
from testtools import TestCase

CHECKS = ceil(MAX_LATE_S / LATE_CHECK_S)


def build_late(length: int | None) -> LateResponse:
    """Returns a response of this length."""
    if length is None:
        return LateResponse(())
    return LateResponse(((b'content-length', str(length).encode()),))


class LateResponseTest(TestCase):
    """Checks at and after the deadline."""

    def count_checks(self, late: LateResponse, received: int, has_room: bool):
        """Returns after how many checks it ends; 0 if it goes on."""
        for check in range(100):
            late.add(received)
            now = check * LATE_CHECK_S
            if not late.may_go_on(now, has_room=has_room):
                return check
        return 0

    def test_response_that_its_caller_takes_slowly_is_cut(self):
        """Its length is known; it waits for nobody else, or it advances."""
        for received, has_room in ((0, False), (MIN_PROGRESS_BYTES, True)):
            late = build_late(MAX_KNOWN_BYTES)
            self.assertEqual(0, self.count_checks(late, received, has_room))

    def test_response_that_its_upstream_does_not_end_goes_on(self):
        """It sends nothing, or a little every so often."""
        for received in (0, 1, MIN_PROGRESS_BYTES - 1):
            late = build_late(MAX_KNOWN_BYTES)
            self.assertEqual(CHECKS, self.count_checks(late, received, True))

    def test_response_without_an_end_goes_on(self):
        """Nobody knows its length, or it is beyond all bounds."""
        for length in (None, MAX_KNOWN_BYTES + 1):
            for received in (0, 1 << 20):
                for has_room in (True, False):
                    late = build_late(length)
                    checks = self.count_checks(late, received, has_room)
                    self.assertEqual(CHECKS, checks)
