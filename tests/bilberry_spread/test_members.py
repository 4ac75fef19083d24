"""Tests of relays that are discovered from the replicated log."""

from random import Random

from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.endpoint import Address
from bilberry_core.metric import NullMetrics
from bilberry_core.settings import ListenSettings, Peer, Role, Settings
from bilberry_spread.members import list_replicas
from bilberry_spread.mesh_set import MeshSet
from bilberry_spread.pacing import SourcePicker
from bilberry_spread.runtime import Runtime
from testtools import TestCase

from tests.bilberry_spread.fakes import FakeNetwork, FakeTime, ignore

SETTINGS = Settings(
    'fleet',
    '10.0.0.1',
    'a',
    'region',
    frozenset((Role.RELAY, Role.REPLICA)),
    ListenSettings(Address('10.0.0.1', 7620)),
    b'secret',
)


def build_peer(number: int, port: int = 7620, domain: str = 'a') -> Peer:
    """Returns a replica with an address of its own."""
    host = f'10.0.0.{number}'
    return Peer(host, Address(host, port), domain)


class MembersTest(TestCase):
    """Tests of changes to the members of a fleet."""

    def test_holders_of_an_epoch_are_the_replicas(self):
        """The replicas have failure domains, unlike seed addresses."""
        holders = (Holder('10.0.0.2', '10.0.0.2', 7620, 'b'),)
        self.assertEqual(
            (build_peer(2, domain='b'),),
            list_replicas(ClaimEpoch(1, holders)),
        )
        self.assertEqual((), list_replicas(None))

    def test_mesh_follows_the_members(self):
        """A removed relay or one with a new address is dropped.

        The relay's own daemon is not a peer.
        """
        time = FakeTime()
        network = FakeNetwork(time, Random(1))
        runtime = Runtime(
            network.make_dialer('10.0.0.1'),
            time,
            time,
            Random(1),
            NullMetrics(),
        )
        mesh = MeshSet(SETTINGS, runtime, ignore)
        self.assertEqual((), mesh.update_peers((build_peer(1), build_peer(2))))
        self.assertEqual(['10.0.0.2'], [one.peer.instance for one in mesh])
        kept = mesh.find('10.0.0.2')
        self.assertEqual((), mesh.update_peers((build_peer(2), build_peer(3))))
        self.assertIs(kept, mesh.find('10.0.0.2'))
        dropped = mesh.update_peers((build_peer(3, port=7621),))
        self.assertEqual({'10.0.0.2', '10.0.0.3'}, set(dropped))
        self.assertIsNone(mesh.find('10.0.0.2'))

    def test_picker_uses_the_replaced_sources(self):
        """After `replace` the seed addresses are no longer picked."""
        picker = SourcePicker((build_peer(2),))
        picker.replace((build_peer(3), build_peer(4)))
        self.assertEqual(build_peer(3), picker.preferred)
        picked = [picker.pick() for _ in range(2)]
        self.assertEqual([build_peer(3), build_peer(4)], picked)
