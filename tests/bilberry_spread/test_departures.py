"""Tests that an upstream that left is not announced again by a new process."""

from bilberry_core.departure import DEPARTURE_S
from bilberry_core.endpoint import Address, EndpointState
from bilberry_core.settings import ListenSettings
from bilberry_core.upstream_notice import UpstreamIdentity
from bilberry_proxy.announcement import AnnouncementController
from bilberry_proxy.announcement_body import AnnouncementBody
from bilberry_spread.departures import MAX_DEPARTURES, Departures
from testtools import TestCase

from tests.bilberry_spread.fleet import Fleet, Node, make_accepted

REQUESTED = frozenset(('s0',))
UPSTREAM = 'i-1'
LISTEN = ListenSettings(Address('127.0.0.1', 9))
STARTED_MS = 90_000


def build_body(sequence: int, **changes) -> AnnouncementBody:
    """Returns an announcement of the upstream."""
    fields = {
        'service': 's0',
        'address': '127.0.0.1:8080',
        'slots': 12,
        'connections': 110,
        'state': EndpointState.READY,
        'upstream_id': UPSTREAM,
        'started_ms': STARTED_MS,
        'sequence': sequence,
    }
    return AnnouncementBody(**{**fields, **changes})


class DepartureTest(TestCase):
    """A daemon is restarted after its upstream left."""

    def setUp(self):
        """Starts a fleet in which every proxy requests the service."""
        super().setUp()
        self.fleet = Fleet(relays=3)
        self.fleet.accept(make_accepted(1))
        for node in self.fleet.proxies:
            node.board.requested_services.put(REQUESTED)
        self.fleet.run(4)
        self.seen: list[str] = []

    def open_announcements(self, name: str) -> AnnouncementController:
        """Returns the interface of the upstream beside a daemon."""
        node = self.fleet.nodes[name]
        settings = node.settings._replace(listen=LISTEN)
        return AnnouncementController.from_settings(
            settings, node.board, self.fleet.time
        )

    def restart(self, name: str) -> AnnouncementController:
        """Kills a daemon and starts it without its state."""
        self.fleet.nodes[name].kill()
        self.fleet.start(name)
        return self.open_announcements(name)

    def leave(self, name: str) -> None:
        """Announces an upstream, which every proxy sees, and lets it leave."""
        announcements = self.open_announcements(name)
        announcements.announce(build_body(7))
        self.fleet.run(1)
        self.assertEqual(self.list_observers(name), self.find_routing(name))
        announcements.leave(UPSTREAM)

    def list_observers(self, name: str) -> list[Node]:
        """Returns the proxies beside the one of this name."""
        return [node for node in self.fleet.proxies if node.name != name]

    def find_routing(self, name: str) -> list[Node]:
        """Returns the proxies that see the upstream of a daemon."""
        return [
            node
            for node in self.list_observers(name)
            if name in node.board.endpoints.value
        ]

    def run_and_watch(self, name: str, seconds: float) -> None:
        """Collects the proxies that see the upstream at any moment."""
        self.fleet.run(
            seconds,
            lambda: self.seen.extend(
                node.name for node in self.find_routing(name)
            ),
        )

    def get_state(self, name: str) -> EndpointState:
        """Returns the state in which a daemon announces its upstream."""
        return self.fleet.nodes[name].board.own_endpoint.value.state

    def find_relay(self, name: str) -> str:
        """Returns the relay that a proxy is attached to."""
        attachment = self.fleet.nodes[name].controller.attachment
        return attachment.main.peer.instance

    def assert_ended(self, name: str) -> None:
        """Checks that no proxy saw the upstream and that it is gone."""
        self.assertEqual([], self.seen)
        self.assertEqual(EndpointState.GONE, self.get_state(name))

    def test_restarted_daemon_brings_no_left_upstream_back(self):
        """The relay takes no announcement from before the departure."""
        self.leave('p-0')
        self.fleet.run(0.1)
        announcements = self.restart('p-0')
        announcements.announce(build_body(5))
        self.run_and_watch('p-0', 4)
        self.assertFalse(announcements.announce(build_body(6)))
        self.run_and_watch('p-0', 4)
        self.assert_ended('p-0')

    def test_loss_of_the_home_relay_brings_no_left_upstream_back(self):
        """The other relays were told too."""
        self.leave('p-0')
        self.fleet.run(0.1)
        self.fleet.nodes[self.find_relay('p-0')].kill()
        self.fleet.run(1)
        self.restart('p-0').announce(build_body(5))
        self.run_and_watch('p-0', 8)
        self.assert_ended('p-0')

    def test_restart_of_the_home_relay_brings_no_left_upstream_back(self):
        """It hears of the departure from the others again."""
        self.leave('p-0')
        self.fleet.run(0.1)
        home = self.find_relay('p-0')
        self.fleet.nodes[home].kill()
        self.fleet.nodes['p-0'].kill()
        self.fleet.start(home)
        self.fleet.run(1)
        self.fleet.start('p-0')
        announcements = self.open_announcements('p-0')
        announcements.announce(build_body(5))
        self.run_and_watch('p-0', 8)
        self.assert_ended('p-0')

    def test_restart_of_a_relay_brings_no_left_upstream_beside_it_back(self):
        """It announces its own upstream, and is told by the other relays."""
        self.leave('l-0')
        self.fleet.run(0.1)
        announcements = self.restart('l-0')
        announcements.announce(build_body(5))
        self.fleet.run(1)
        self.run_and_watch('l-0', 4)
        self.assert_ended('l-0')

    def test_departure_that_was_told_to_no_relay_is_told_at_the_attachment(
        self,
    ):
        """The daemon was cut off when its upstream left."""
        relays = {node.name for node in self.fleet.relays}
        announcements = self.open_announcements('p-0')
        announcements.announce(build_body(7))
        self.fleet.run(1)
        self.fleet.network.isolate('p-0', relays)
        announcements.leave(UPSTREAM)
        self.fleet.run(1)
        self.fleet.network.heal()
        self.fleet.run(15)
        self.restart('p-0').announce(build_body(5))
        self.run_and_watch('p-0', 4)
        self.assert_ended('p-0')

    def test_daemon_without_a_relay_ends_a_left_upstream_once_it_has_one(self):
        """Until then only the daemon itself believes that it is ready."""
        relays = {node.name for node in self.fleet.relays}
        self.leave('p-0')
        self.fleet.run(0.1)
        self.fleet.network.isolate('p-0', relays)
        announcements = self.restart('p-0')
        announcements.announce(build_body(5))
        self.run_and_watch('p-0', 3)
        self.assertEqual(EndpointState.READY, self.get_state('p-0'))
        self.fleet.network.heal()
        self.run_and_watch('p-0', 20)
        self.assert_ended('p-0')

    def test_next_start_of_a_left_upstream_is_announced_at_once(self):
        """The departure belongs to one start."""
        self.leave('p-0')
        self.fleet.run(0.1)
        announcements = self.restart('p-0')
        self.fleet.run(1)
        announcements.announce(build_body(1, started_ms=STARTED_MS + 1))
        self.fleet.run(0.1)
        self.assertEqual(self.list_observers('p-0'), self.find_routing('p-0'))

    def test_upstream_that_names_no_start_may_return(self):
        """Its next start can't be told from the one that left."""
        announcements = self.open_announcements('p-0')
        announcements.announce(build_body(1, started_ms=0))
        self.fleet.run(1)
        announcements.leave(UPSTREAM)
        self.fleet.run(0.1)
        self.restart('p-0').announce(build_body(1, started_ms=0))
        self.fleet.run(4)
        self.assertEqual(self.list_observers('p-0'), self.find_routing('p-0'))


class KeptDeparturesTest(TestCase):
    """A relay keeps departures for a while, and not too many."""

    def setUp(self):
        """Starts without departures."""
        super().setUp()
        self.departures = Departures()

    def add(self, number: int, now: float = 0) -> UpstreamIdentity:
        """Adds the departure of one upstream."""
        upstream = UpstreamIdentity(f'i-{number}', STARTED_MS)
        self.departures.add((upstream,), now, is_local=True)
        return upstream

    def test_departure_expires(self):
        """After `DEPARTURE_S` it is neither known nor told."""
        upstream = self.add(0)
        self.assertTrue(self.departures.has(upstream, DEPARTURE_S - 1))
        self.assertFalse(self.departures.has(upstream, DEPARTURE_S))
        self.assertEqual(0, len(self.departures.find_kept(DEPARTURE_S)))
        self.assertEqual(0, len(self.departures))

    def test_oldest_departures_are_dropped_first(self):
        """The number is bounded, however many upstreams leave at once."""
        every = [self.add(number) for number in range(MAX_DEPARTURES + 1)]
        kept = [one for one in every if self.departures.has(one, 0)]
        self.assertEqual(every[1:], kept)
        self.assertEqual(MAX_DEPARTURES, len(self.departures))

    def test_listener_is_called_once_for_each_departure(self):
        """Daemons that hear of it again tell nobody."""
        new: list = []
        self.departures.listen(lambda added, is_local: new.append(added))
        upstream = self.add(0)
        self.add(0)
        self.assertEqual([{upstream}], new)
