"""The upstream's announcements: leases, states and errors by key."""

from asyncio import run
from json import dumps

from bilberry_core.board import Board, Phase, UpstreamCrash
from bilberry_core.endpoint import Address, EndpointState
from bilberry_core.http import HttpRequest
from bilberry_core.settings import ListenSettings, Role, Settings
from bilberry_proxy.announcement import AnnouncementController
from bilberry_proxy.announcement_body import AnnouncementBody
from bilberry_proxy.upstream_starts import MAX_DELAY_S
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

ADDRESS = Address('127.0.0.1', 7000)
BODY = {
    'service': 'callouts',
    'address': '127.0.0.1:8080',
    'slots': 12,
    'connections': 110,
    'state': 'ready',
}
SETTINGS = Settings(
    fleet='fleet',
    instance='node-1',
    failure_domain='one',
    region='region',
    roles=frozenset((Role.PROXY,)),
    listen=ListenSettings(ADDRESS, ADDRESS, ADDRESS),
    secret=b'secret',
)


class FakeClock:
    """A clock that stands still until it is moved."""

    def __init__(self) -> None:
        """Starts at 100 s."""
        self.seconds: float = 100

    def now(self) -> float:
        """Returns monotonic time."""
        return self.seconds

    def wall_ms(self) -> int:
        """Returns wall clock time."""
        return int(self.seconds * 1000)


class AnnouncementTest(TestCase):
    """One upstream and the daemon beside it."""

    def setUp(self):
        """Starts without an upstream."""
        super().setUp()
        self.clock = FakeClock()
        self.board = Board()
        self.controller = AnnouncementController.from_settings(
            SETTINGS, self.board, self.clock
        )

    @property
    def own(self):
        """The endpoint on the blackboard."""
        return self.board.own_endpoint.value

    def ask(self, method: str = 'PUT', raw: bytes = b'', **changes):
        """Sends one request of the upstream."""
        body = raw or dumps({**BODY, **changes}).encode()
        request = HttpRequest(method, '/v1/endpoint', (), body)
        return run(self.controller.handle(request))

    def test_announced_upstream_is_on_the_blackboard(self):
        """The record names the daemon's streams, not the upstream."""
        self.assertEqual(204, self.ask().status)
        self.assertEqual(ADDRESS, self.own.address)
        self.assertEqual(EndpointState.READY, self.own.state)
        self.assertEqual(
            Address('127.0.0.1', 8080), self.board.upstream_address.value
        )

    def build_body(self, **changes) -> AnnouncementBody:
        """Returns an announcement with an identity."""
        body = AnnouncementBody(
            **{
                **BODY,
                'state': EndpointState.READY,
                'upstream_id': 'i-1',
                'started_ms': 90_000,
                'sequence': 7,
                **changes,
            },
        )
        return body

    def test_upstream_that_left_unheard_does_not_come_back(self):
        """The daemon was restarted; a late announcement is no new start."""
        self.controller.leave('i-1')
        self.clock.seconds += 2
        self.assertFalse(self.controller.announce(self.build_body()))
        self.assertIsNone(self.own)

    def test_new_start_under_the_same_name_is_no_late_one(self):
        """It began after the one before it had left."""
        self.controller.leave('i-1')
        self.clock.seconds += 2
        reborn = self.build_body(started_ms=101_000, sequence=1)
        self.assertTrue(self.controller.announce(reborn))
        self.assertEqual(EndpointState.READY, self.own.state)

    def test_departure_is_forgotten_in_time(self):
        """A clock that was wrong then keeps no upstream out for ever."""
        self.controller.leave('i-1')
        self.clock.seconds += MAX_DELAY_S + 1
        self.assertTrue(self.controller.announce(self.build_body()))

    def test_other_upstream_is_not_taken_for_the_one_that_left(self):
        """Only the one named has left."""
        self.controller.leave('i-1')
        other = self.build_body(upstream_id='i-2')
        self.assertTrue(self.controller.announce(other))

    def test_renewal_is_no_new_record(self):
        """A renewal keeps the sequence, a change makes it grow."""
        self.ask()
        first = self.own
        self.ask()
        self.assertEqual(first, self.own)
        self.ask(state='draining')
        self.assertTrue(self.own.is_newer_than(first))

    def test_silent_upstream_is_gone(self):
        """The lease ends with the upstream's silence, not before."""
        self.ask()
        self.clock.seconds += 5
        self.controller.check_lease()
        self.assertEqual(EndpointState.READY, self.own.state)
        self.clock.seconds += 2
        self.controller.check_lease()
        self.assertEqual(EndpointState.GONE, self.own.state)

    def test_upstream_that_comes_back_is_another_incarnation(self):
        """After it was gone its record is newer and of another run."""
        self.ask()
        before = self.own
        self.ask('DELETE')
        self.clock.seconds += 1
        self.ask()
        self.assertTrue(self.own.is_newer_than(before))
        self.assertNotEqual(before.incarnation, self.own.incarnation)
        self.assertEqual(self.clock.wall_ms(), self.own.since_ms)

    def test_crashed_upstream_is_gone_at_once(self):
        """No lease is waited for when the process was found gone."""
        self.ask()
        address = self.board.upstream_address.value
        self.board.upstream_crash.put(UpstreamCrash(address, 1))
        self.assertEqual(EndpointState.GONE, self.own.state)

    def test_draining_daemon_drains_its_endpoint(self):
        """A renewal during the drain does not make it ready again."""
        self.ask()
        self.board.phase.put(Phase.DRAINING)
        self.ask()
        self.assertEqual(EndpointState.DRAINING, self.own.state)

    def test_errors_name_the_key(self):
        """Each wrong key is named in the answer."""
        wrong = {
            'slots': 0,
            'connections': 'many',
            'state': 'gone',
            'address': 'nowhere',
            'service': '',
        }
        for key, text in wrong.items():
            answer = self.ask(**{key: text})
            self.assertEqual(400, answer.status, key)
            self.assertIn(key, answer.body.decode())
        self.assertIsNone(self.own)

    def test_unknown_key_is_refused(self):
        """A misspelt key is named, not ignored."""
        self.assertIn(b'slot', self.ask(slot=1).body)

    @given(st.binary(max_size=80))
    def test_garbage_is_answered(self, garbage):
        """Any bytes get an answer and change nothing."""
        answer = self.ask(raw=garbage or b'{')
        self.assertEqual(400, answer.status)
