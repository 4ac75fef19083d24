"""Tests of the streams between relays."""

from random import Random

from bilberry_core.endpoint import Address
from bilberry_core.messages.spread import VersionReport
from bilberry_core.metric import NullMetrics
from bilberry_core.settings import ListenSettings, Peer, Role, Settings
from bilberry_spread.mesh import MAX_DIALS
from bilberry_spread.mesh_set import MeshSet
from bilberry_spread.runtime import Runtime
from testtools import TestCase

from tests.bilberry_spread.fakes import FakeLink, FakeTime, ignore

OTHER = Peer('l-1', Address('127.0.0.1', 9), 'b')
SETTINGS = Settings(
    'fleet',
    'l-0',
    'a',
    'region',
    frozenset((Role.RELAY,)),
    ListenSettings(Address('127.0.0.1', 0)),
    b'secret',
)


class PendingDialer:
    """A dialer whose dials last until the test ends them."""

    def __init__(self) -> None:
        """Starts without dials."""
        self.dials: list = []

    def dial(self, _peer, on_open, on_failure) -> None:
        """Records the callbacks of a dial."""
        self.dials.append((on_open, on_failure))


class SentLink(FakeLink):
    """A link that records what is sent."""

    def __init__(self) -> None:
        """Starts open."""
        super().__init__(None, 'l-0', 'l-1')

    def send(self, sent) -> None:
        """Records a message."""
        self.sent.append(sent)

    def close(self) -> None:
        """Closes this end."""
        self.is_open = False


class MeshTest(TestCase):
    """Tests of the stream that one relay dials to another."""

    def setUp(self):
        """Starts the first dial."""
        super().setUp()
        self.time = FakeTime()
        self.dialer = PendingDialer()
        runtime = Runtime(
            self.dialer, self.time, self.time, Random(1), NullMetrics()
        )
        self.mesh = MeshSet(SETTINGS, runtime, ignore)
        self.mesh.update_peers((OTHER,))
        self.mesh.tick()

    def test_relay_that_is_heard_is_dialed_beside_a_dial_under_way(self):
        """The first stream that opens is used, the other one closed."""
        for _time in range(5):
            self.mesh.on_relay_heard('l-1')
        self.assertEqual(MAX_DIALS, len(self.dialer.dials))
        first, second = SentLink(), SentLink()
        self.dialer.dials[1][0](first)
        self.dialer.dials[0][0](second)
        self.assertEqual((True, False), (first.is_open, second.is_open))

    def test_relay_that_is_heard_is_dialed_during_a_backoff(self):
        """A backoff ends when the relay joins or asks to be dialed."""
        for _time in range(8):
            self.dialer.dials[-1][1]()
            self.time.run(20)
            self.mesh.tick()
        self.dialer.dials[-1][1]()
        dials = len(self.dialer.dials)
        self.mesh.on_relay_heard('l-1')
        self.assertEqual(dials + 1, len(self.dialer.dials))

    def test_relay_whose_stream_ended_is_asked_to_dial(self):
        """The request goes out on the own stream, which may still be open."""
        link = SentLink()
        self.dialer.dials[0][0](link)
        link.sent.clear()
        self.mesh.on_relay_left('l-1')
        self.assertEqual([VersionReport({})], link.sent)
