"""Tests of an upstream's announcements: leases, states and errors."""

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
    """A clock that advances only when a test sets it."""

    def __init__(self) -> None:
        """Starts at 100 s."""
        self.seconds: float = 100

    def now(self) -> float:
        """Returns monotonic time, in seconds."""
        return self.seconds

    def wall_ms(self) -> int:
        """Returns wall clock time, in milliseconds."""
        return int(self.seconds * 1000)


class AnnouncementTest(TestCase):
    """Announcements of one upstream to the daemon beside it."""

    def setUp(self):
        """Creates a controller without an upstream."""
        super().setUp()
        self.clock = FakeClock()
        self.board = Board()
        self.controller = AnnouncementController.from_settings(
            SETTINGS, self.board, self.clock
        )

    @property
    def own(self):
        """The daemon's own endpoint on the board."""
        return self.board.own_endpoint.value

    def ask(self, method: str = 'PUT', raw: bytes = b'', **changes):
        """Sends one request of the upstream."""
        body = raw or dumps({**BODY, **changes}).encode()
        request = HttpRequest(method, '/v1/endpoint', (), body)
        return run(self.controller.handle(request))

    def test_announced_upstream_is_on_the_board(self):
        """The record has the address of the daemon's streams.

        The address of the upstream is kept apart from it.
        """
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
        """An announcement that arrives after the upstream left is ignored.

        The daemon was restarted and does not know the upstream.
        """
        self.controller.leave('i-1')
        self.clock.seconds += 2
        self.assertFalse(self.controller.announce(self.build_body()))
        self.assertIsNone(self.own)

    def test_new_start_with_the_same_id_is_not_late(self):
        """An upstream that started after the departure is accepted."""
        self.controller.leave('i-1')
        self.clock.seconds += 2
        restarted = self.build_body(started_ms=101_000, sequence=1)
        self.assertTrue(self.controller.announce(restarted))
        self.assertEqual(EndpointState.READY, self.own.state)

    def test_departure_expires(self):
        """A departure stops blocking announcements after `MAX_DELAY_S`.

        Otherwise one recorded with a wrong clock would block them for long.
        """
        self.controller.leave('i-1')
        self.clock.seconds += MAX_DELAY_S + 1
        self.assertTrue(self.controller.announce(self.build_body()))

    def test_departure_does_not_block_another_upstream(self):
        """Only announcements of the upstream that left are late."""
        self.controller.leave('i-1')
        other = self.build_body(upstream_id='i-2')
        self.assertTrue(self.controller.announce(other))

    def test_renewal_keeps_the_record(self):
        """A renewal keeps the sequence, a change increases it."""
        self.ask()
        first = self.own
        self.ask()
        self.assertEqual(first, self.own)
        self.ask(state='draining')
        self.assertTrue(self.own.is_newer_than(first))

    def test_upstream_with_an_id_is_gone_after_delete(self):
        """`DELETE` names no upstream: it ends the one that is announced."""
        self.ask(upstream_id='i-1', started_ms=90_000, sequence=7)
        self.assertEqual(204, self.ask('DELETE').status)
        self.assertEqual(EndpointState.GONE, self.own.state)
        self.ask(upstream_id='i-1', started_ms=90_000, sequence=6)
        self.assertEqual(EndpointState.GONE, self.own.state)

    def test_silent_upstream_is_gone(self):
        """An upstream is gone once it was silent for a lease, not before."""
        self.ask()
        self.clock.seconds += 5
        self.controller.check_lease()
        self.assertEqual(EndpointState.READY, self.own.state)
        self.clock.seconds += 2
        self.controller.check_lease()
        self.assertEqual(EndpointState.GONE, self.own.state)

    def test_upstream_that_returns_is_a_new_incarnation(self):
        """The record after a DELETE is newer and of another incarnation."""
        self.ask()
        before = self.own
        self.ask('DELETE')
        self.clock.seconds += 1
        self.ask()
        self.assertTrue(self.own.is_newer_than(before))
        self.assertNotEqual(before.incarnation, self.own.incarnation)
        self.assertEqual(self.clock.wall_ms(), self.own.since_ms)

    def test_crashed_upstream_is_gone_at_once(self):
        """A reported crash takes effect before the lease expires."""
        self.ask()
        address = self.board.upstream_address.value
        self.board.upstream_crash.put(UpstreamCrash(address, 1))
        self.assertEqual(EndpointState.GONE, self.own.state)

    def test_draining_daemon_drains_its_endpoint(self):
        """A renewal during the drain does not make the endpoint ready."""
        self.ask()
        self.board.phase.put(Phase.DRAINING)
        self.ask()
        self.assertEqual(EndpointState.DRAINING, self.own.state)

    def test_errors_name_the_key(self):
        """The response names each invalid key."""
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

    def test_odd_announcement_leaves_the_known_one(self):
        """Nested too deep, or with a number that no stream carries."""
        self.ask()
        known = self.own
        deep = b'[' * 100_000 + b']' * 100_000
        self.assertEqual(400, self.ask(raw=b'{"load":%b}' % deep).status)
        self.assertEqual(400, self.ask(raw=b'{"other":%b}' % deep).status)
        for key in ('sequence', 'started_ms', 'cold_ms', 'slots'):
            for number in (2**63, 2**64, -(2**70)):
                answer = self.ask(**{key: number})
                self.assertEqual(400, answer.status, key)
        self.assertEqual(known, self.own)

    def test_unknown_key_is_refused(self):
        """An unknown key is named in the error, not ignored."""
        self.assertIn(b'slot', self.ask(slot=1).body)

    @given(st.binary(max_size=80))
    def test_garbage_is_answered(self, garbage):
        """Arbitrary bytes get status 400."""
        answer = self.ask(raw=garbage or b'{')
        self.assertEqual(400, answer.status)
