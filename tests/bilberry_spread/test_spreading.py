"""Tests without faults: accepted versions and announcements arrive."""

from bilberry_core.board import ClaimEpoch, Holder, Suspect
from bilberry_core.endpoint import EndpointState
from bilberry_core.messages.spread import BeaconUpdate
from testtools import TestCase

from tests.bilberry_spread.fleet import Fleet, make_accepted, make_endpoint


class SpreadingTest(TestCase):
    """Tests of fleets with relays and with replicas as relays."""

    def test_version_reaches_every_proxy(self):
        """Every proxy runs an accepted version."""
        for relays in (0, 3):
            fleet = Fleet(relays=relays)
            fleet.run(2)
            fleet.accept(make_accepted(1))
            fleet.run(0.2)
            self.assertEqual(
                {1},
                {node.board.snapshot.value.version for node in fleet.proxies},
            )

    def test_endpoint_reaches_proxies_that_want_its_service(self):
        """Only proxies that want a service get updates of its endpoints."""
        for relays in (0, 3):
            fleet = Fleet(relays=relays)
            fleet.accept(make_accepted(1))
            first, second, third = fleet.proxies[:3]
            second.board.requested_services.put(frozenset(('s0',)))
            third.board.requested_services.put(frozenset(('s1',)))
            fleet.run(2)
            first.board.own_endpoint.put(make_endpoint(first.name))
            fleet.run(0.2)
            self.assertEqual({first.name}, second.board.endpoints.value.keys())
            self.assertEqual({}, third.board.endpoints.value)
            gone = make_endpoint(first.name, 2, EndpointState.GONE)
            first.board.own_endpoint.put(gone)
            fleet.run(0.2)
            self.assertEqual({}, second.board.endpoints.value)

    def test_replicas_know_the_version_of_every_proxy(self):
        """Version reports of relays reach the board of a replica."""
        for relays in (0, 3):
            fleet = Fleet(relays=relays)
            fleet.accept(make_accepted(1))
            fleet.run(3)
            proxies = fleet.nodes['r-0'].board.proxies.value
            names = {node.name for node in fleet.proxies}
            self.assertEqual(names, names & proxies.keys())
            self.assertEqual({1}, set(proxies.values()))

    def test_replica_that_is_no_relay_exchanges_endpoints(self):
        """A replica's own endpoint is distributed, and it receives others."""
        for relays in (0, 3):
            fleet = Fleet(relays=relays)
            replica = fleet.nodes['r-0']
            first, second = fleet.proxies[:2]
            first.board.requested_services.put(frozenset(('s0',)))
            second.board.own_endpoint.put(make_endpoint(second.name))
            replica.board.own_endpoint.put(make_endpoint('r-0'))
            fleet.run(4)
            names = {'r-0', second.name}
            self.assertEqual(names, first.board.endpoints.value.keys())
            self.assertEqual(names, replica.board.endpoints.value.keys())

    def test_suspect_reaches_everyone_and_expires(self):
        """A suspect reported by one proxy is known to all until it expires."""
        for relays in (0, 3):
            fleet = Fleet(relays=relays)
            fleet.run(3)
            expires_ms = fleet.time.wall_ms() + 60_000
            suspect = Suspect(b'f', 's0', 'x', 1, expires_ms)
            first = fleet.proxies[0]
            first.board.suspects.put({(b'f', 'x', 1): suspect})
            fleet.run(0.2)
            for node in fleet.proxies + fleet.relays[-3:]:
                known = tuple(node.board.suspects.value.values())
                self.assertEqual((suspect,), known)
            fleet.run(61)
            for node in fleet.nodes.values():
                self.assertEqual({}, node.board.suspects.value)

    def test_claim_epoch_reaches_everyone(self):
        """Claim holders reach every proxy; an older epoch changes nothing."""
        for relays in (0, 3):
            fleet = Fleet(relays=relays)
            fleet.run(3)
            holders = (Holder('r-0', '127.0.0.1', 1, 'a'),)
            moving = ClaimEpoch(2, holders, holders)
            settled = ClaimEpoch(2, holders)
            old = ClaimEpoch(1, holders)
            replicas = [fleet.nodes[f'r-{number}'] for number in range(3)]
            for epoch in (moving, settled):
                for replica in replicas:
                    replica.board.claim_epoch.put(epoch)
                fleet.run(0.2)
            replicas[0].board.claim_epoch.put(old)
            fleet.run(0.2)
            for node in fleet.proxies:
                self.assertEqual(settled, node.board.claim_epoch.value)

    def test_standby_gets_fewer_beacons_until_it_is_attached(self):
        """A standby costs a fraction of the bytes of the main stream."""
        fleet = Fleet(relays=3, proxies=1)
        fleet.accept(make_accepted(1))
        fleet.run(4)
        sources = fleet.proxies[0].controller.attachment._sources
        main = sources.main.peer.instance
        standby = sources.others[0].peer.instance
        self.assertEqual(8, self._count_beacons(fleet, main))
        self.assertEqual(4, self._count_beacons(fleet, standby))
        fleet.nodes[main].kill()
        fleet.run(0.5)
        self.assertEqual(standby, sources.main.peer.instance)
        self.assertEqual(8, self._count_beacons(fleet, standby))

    def _count_beacons(self, fleet, relay: str) -> int:
        """Returns the beacons that a relay sends to p-0 in 4 seconds."""
        for link in fleet.network.links:
            link.sent.clear()
        fleet.run(4)
        return sum(
            isinstance(sent, BeaconUpdate)
            for link in fleet.network.links
            for sent in link.sent
            if (link.node, link.other) == (relay, 'p-0')
        )
