"""Tests of how the responses of several servers to a change combine."""

from bilberry_core.endpoint import Address
from bilberry_core.http import HttpResponse
from bilberryctl.client import Attempt, Reply
from testtools import TestCase

SERVER = Address('127.0.0.1', 7003)


def build_reply(*statuses: int) -> Reply:
    """Returns a reply; status 0 stands for a lost response."""
    return Reply(
        tuple(
            Attempt(SERVER, HttpResponse(status), '', status in {500, 504})
            if status
            else Attempt(SERVER, None, 'no answer', undecided=True)
            for status in statuses
        ),
    )


class ReplyTest(TestCase):
    """Tests whether a change may have been accepted."""

    def test_only_a_decisive_status_settles_a_lost_response(self):
        """Only an outcome of the replicated log settles a lost response.

        Other refusals do not show whether the lost attempt was accepted.
        """
        for settling in (200, 201, 409, 412):
            for lost in (0, 500, 504):
                self.assertFalse(build_reply(lost, settling).is_undecided)
        for other in (400, 401, 403, 404, 421, 422, 428, 503):
            self.assertTrue(build_reply(0, other).is_undecided, other)
            self.assertTrue(build_reply(504, other).is_undecided, other)

    def test_refusals_by_all_servers_are_decisive(self):
        """If every server refused the change, it was not accepted."""
        for status in (400, 401, 403, 421, 422, 503):
            self.assertFalse(build_reply(421, status).is_undecided)
